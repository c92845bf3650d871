import assert from "node:assert/strict";
import { Agent, type Server, request as sendRequest } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { receivedMemory } from "../adapters/received/index.js";
import { createOwnServer } from "./own_server.js";

const BODY = Buffer.alloc(1_000_000, "x");
const MAX_CONNECTIONS = 2;

describe("a server on one of the entry's own ports", () => {
  let server: Server;
  let port: number;
  let refusals: string[];
  const sockets: Socket[] = [];
  beforeEach(async () => {
    refusals = [];
    receivedMemory.setRefusalListener((source, reason) =>
      refusals.push(`${source} ${reason}`),
    );
    const options = {
      source: "monitor",
      maxConnections: MAX_CONNECTIONS,
    } as const;
    server = createOwnServer(options, (request, response) => {
      let bytes = 0;
      request.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
      });
      request.once("end", () => setTimeout(() => response.end(`${bytes}`), 5));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    ({ port } = server.address() as AddressInfo);
  });
  afterEach(() => {
    receivedMemory.setRefusalListener(() => {});
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
    server.closeAllConnections();
  });

  const open = () => {
    const socket = connect(port, "127.0.0.1").on("error", () => undefined);
    sockets.push(socket);
    return socket;
  };
  const waitForClose = (socket: Socket) =>
    new Promise((resolve) => socket.once("close", resolve).resume());

  // Entries keep their connections, and their messages have many pieces.
  it("reads bodies to their end on a kept connection", async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const localPorts = new Set<number | undefined>();
    for (let i = 0; i < 3; i++) {
      const text = await new Promise((resolve, reject) => {
        const outgoing = sendRequest({ port, agent, method: "POST" });
        outgoing.once("error", reject).once("response", (answer) => {
          localPorts.add(outgoing.socket?.localPort);
          answer.once("data", (data) => resolve(String(data)));
        });
        outgoing.end(BODY);
      });
      assert.equal(text, `${BODY.length}`);
    }
    agent.destroy();
    assert.equal(localPorts.size, 1);
    assert.deepEqual(refusals, []);
  });

  it("closes a connection whose requests come before their answers", async () => {
    const socket = open();
    socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3));
    await waitForClose(socket);
    assert.deepEqual(refusals, ["monitor pipelined"]);
  });

  // Connections on which nothing came kept out all others for 15 s.
  it("closes the one that was silent for longest above its limit", async () => {
    const silent: Socket[] = [];
    for (let i = 0; i < MAX_CONNECTIONS; i++) {
      const socket = open();
      await new Promise((resolve) => socket.once("connect", resolve));
      silent.push(socket);
    }
    const [first, ...others] = silent;
    assert.ok(first);
    const closed = waitForClose(first);
    const late = open();
    const answered = new Promise((resolve) => late.once("data", resolve));
    late.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    await Promise.all([closed, answered]);
    assert.ok(others.every(({ readyState }) => readyState === "open"));
    assert.deepEqual(refusals, ["monitor many-connections"]);
  });
});
