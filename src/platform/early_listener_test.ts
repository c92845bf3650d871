import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer as createTcpServer,
} from "node:net";
import { afterEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import { EarlyListener } from "./early_listener.js";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";

async function findFreePort(): Promise<number> {
  const server = createTcpServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Sends a request on a new connection; returns the whole raw answer. */
function sendRawRequest(port: number): Promise<string> {
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

  function createAnsweringServer(): Server {
    const server = createServer((_request, response) => response.end("served"));
    servers.push(server);
    return server;
  }

  // A caller who connects while the program is loading must not be refused.
  it("hands over the connections from before and after it", async () => {
    const listenAddress = { address: "127.0.0.1", port: await findFreePort() };
    const earlyListener = new EarlyListener(listenAddress);
    await delay(20);
    const earlyAnswers = [
      sendRawRequest(listenAddress.port),
      sendRawRequest(listenAddress.port),
    ];
    await delay(50);
    assert.ok(earlyListener.isListeningOn(listenAddress));
    await earlyListener.handOverTo(createAnsweringServer());
    for (const answer of [
      ...earlyAnswers,
      sendRawRequest(listenAddress.port),
    ]) {
      assert.match(await answer, /served$/);
    }
  });

  it("does not claim another port, nor one that was in use", async () => {
    const listenAddress = { address: "127.0.0.1", port: await findFreePort() };
    const first = new EarlyListener(listenAddress);
    const second = new EarlyListener(listenAddress);
    servers.push(first, second);
    await delay(20);
    assert.ok(
      !first.isListeningOn({ ...listenAddress, port: listenAddress.port + 1 }),
    );
    assert.ok(!second.isListeningOn(listenAddress));
  });

  // A planned stop must still find the idle connections to close.
  it("hands over connections so that the server can close them", async () => {
    const listenAddress = { address: "127.0.0.1", port: await findFreePort() };
    const earlyListener = new EarlyListener(listenAddress);
    await delay(20);
    const socket = connect(listenAddress.port, "127.0.0.1");
    socket.on("error", () => undefined);
    await delay(20);
    const server = createAnsweringServer();
    await earlyListener.handOverTo(server);
    await delay(20);
    const closed = new Promise((resolve) => socket.once("close", resolve));
    server.closeAllConnections();
    await closed;
  });
});

describe("an entry that has just started", () => {
  const system = new TestSystem();
  afterEach(() => system.close());

  // Its view is loaded a moment later; a refusal would cost the caller a retry.
  it("serves a request that comes before its view is loaded", async () => {
    await system.startStore();
    system.store.put("config", "main", createConfiguration());
    await system.startReplica({ id: "i-1" });
    system.store.delayMs = 60;
    await system.startEntry();
    const answer = await system.call("/safe/a");
    assert.equal(answer.status, 200);
  });
});
