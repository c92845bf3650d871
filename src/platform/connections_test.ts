import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { readAnswerBody, startAttempt } from "../proxy/request/attempt.js";
import { Connections } from "../proxy/request/connections.js";
import { platformWire } from "./headers.js";

const formatAnswer = (id: string, body: string) =>
  `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n` +
  `Content-Length: ${body.length}\r\n\r\n${body}`;

describe("kept connections to endpoints", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** Answers each request by its id; `after` acts on the connection then. */
  async function startEndpoint(after: (socket: Socket) => void) {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const id = /Attempt-Id: (\w+)/i.exec(data.toString())?.[1] ?? "";
        socket.write(formatAnswer(id, `own ${id}`));
        after(socket);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => {
      server.close();
      for (const socket of sockets) socket.destroy();
    });
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    return { port: address.port, sockets };
  }

  async function call(connections: Connections, port: number, id: string) {
    const head = await startAttempt({
      address: "127.0.0.1",
      port,
      method: "GET",
      path: "/a/",
      headers: ["Host", "h", "Attempt-Id", id],
      body: Buffer.alloc(0),
      requestId: id,
      agent: connections.getAgent("i-1", 8),
      wire: platformWire,
      signal: AbortSignal.timeout(3_000),
    });
    assert.ok(head.isOk());
    const body = await readAnswerBody(head.value.message);
    assert.ok(body.isOk());
    return body.value.toString();
  }

  function createConnections(): Connections {
    const controller = new AbortController();
    closers.push(() => controller.abort());
    return new Connections(controller.signal);
  }

  it("are used again", async () => {
    const { port, sockets } = await startEndpoint(() => undefined);
    const connections = createConnections();
    for (const id of ["a", "b", "c"]) {
      assert.equal(await call(connections, port, id), `own ${id}`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.equal(sockets.length, 1);
  });

  // The next request would be handed an answer that belongs to no request.
  it("are closed when bytes arrive that nobody asked for", async () => {
    const { port, sockets } = await startEndpoint((socket) => {
      setTimeout(() => socket.write(formatAnswer("x", "late")), 10);
    });
    const connections = createConnections();
    for (const id of ["a", "b", "c"]) {
      assert.equal(await call(connections, port, id), `own ${id}`);
      await new Promise((resolve) => setTimeout(resolve, 40));
    }
    assert.equal(sockets.length, 3);
  });

  it("of an endpoint that is gone are closed", async () => {
    const { port, sockets } = await startEndpoint(() => undefined);
    const connections = createConnections();
    await call(connections, port, "a");
    await new Promise((resolve) => setTimeout(resolve, 20));
    connections.remove("i-1");
    await call(connections, port, "b");
    assert.equal(sockets.length, 2);
  });
});
