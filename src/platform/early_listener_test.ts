import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, createServer as listen } from "node:net";
import { afterEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import { EarlyListener } from "./early_listener.js";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";

async function findFreePort(): Promise<number> {
  const server = listen();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Sends a request on a new connection; the whole answer. */
function callRaw(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    socket.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    let text = "";
    socket.on("data", (chunk) => {
      text += chunk.toString();
    });
    socket.once("error", reject);
    socket.once("close", () => resolve(text));
  });
}

describe("early listener", () => {
  const servers: { close(): unknown }[] = [];
  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
  });

  function createAnswering(): Server {
    const server = createServer((_request, response) => response.end("served"));
    servers.push(server);
    return server;
  }

  // A caller who comes while the program is loaded must not be refused.
  it("hands on callers that came before and after it", async () => {
    const place = { address: "127.0.0.1", port: await findFreePort() };
    const early = new EarlyListener(place);
    await delay(20);
    const before = [callRaw(place.port), callRaw(place.port)];
    await delay(50);
    assert.ok(early.isHolding(place));
    await early.bindTo(createAnswering());
    for (const answer of [...before, callRaw(place.port)]) {
      assert.match(await answer, /served$/);
    }
  });

  it("holds no other port, nor one that was taken", async () => {
    const place = { address: "127.0.0.1", port: await findFreePort() };
    const first = new EarlyListener(place);
    const second = new EarlyListener(place);
    servers.push(first, second);
    await delay(20);
    assert.ok(!first.isHolding({ ...place, port: place.port + 1 }));
    assert.ok(!second.isHolding(place));
  });

  // Idle connections must still be found at a planned stop.
  it("leaves its connections to be closed by the server", async () => {
    const place = { address: "127.0.0.1", port: await findFreePort() };
    const early = new EarlyListener(place);
    await delay(20);
    const socket = connect(place.port, "127.0.0.1");
    socket.on("error", () => undefined);
    await delay(20);
    const server = createAnswering();
    await early.bindTo(server);
    await delay(20);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    server.closeAllConnections();
    await closed;
  });
});

describe("an entry that has just started", () => {
  const system = new TestSystem();
  afterEach(() => system.close());

  // Its view comes a moment later; a refusal would cost the caller a repeat.
  it("serves a request that comes before its view of the fleet", async () => {
    await system.startStore();
    system.store.put("config", "main", createConfiguration());
    await system.startReplica({ id: "i-1" });
    system.store.delayMs = 60;
    await system.startEntry();
    const answer = await system.call("/safe/a");
    assert.equal(answer.status, 200);
  });
});
