import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { HeldMemory } from "../adapters/received/index.js";
import { Connections } from "../proxy/request/connections.js";
import {
  ATTEMPT_FAILURE,
  readAnswerBody,
  sendAttempt,
} from "../proxy/request/send_attempt.js";
import { platformWire } from "./platform_wire.js";

const formatAnswer = (id: string, body: string) =>
  `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n` +
  `Content-Length: ${body.length}\r\n\r\n${body}`;

describe("kept-alive connections to endpoints", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** Answers each request by its id, then calls `onAnswered`. */
  async function startEndpoint(onAnswered: (socket: Socket) => void) {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const id = /Attempt-Id: (\w+)/i.exec(data.toString())?.[1] ?? "";
        socket.write(formatAnswer(id, `own ${id}`));
        onAnswered(socket);
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

  function send(
    connections: Connections,
    port: number,
    id: string,
    options: {
      maxConnections?: number;
      maySend?: () => boolean;
      signal?: AbortSignal;
      body?: Buffer;
    } = {},
  ) {
    return sendAttempt({
      maySend: options.maySend ?? (() => true),
      onHead: () => undefined,
      address: "127.0.0.1",
      port,
      method: options.body === undefined ? "GET" : "POST",
      path: "/a/",
      headers: ["Host", "h", "Attempt-Id", id],
      body: options.body ?? Buffer.alloc(0),
      requestId: id,
      agent: connections.getAgent("i-1", options.maxConnections ?? 8),
      wire: platformWire,
      signal: options.signal ?? AbortSignal.timeout(3_000),
    });
  }

  async function sendAndRead(
    connections: Connections,
    port: number,
    id: string,
  ) {
    const head = await send(connections, port, id);
    assert.ok(head.isOk());
    const body = await readAnswerBody(head.value.message, {
      memory: new HeldMemory(),
    });
    assert.ok(body.isOk());
    return body.value.toString();
  }

  function createConnections(): Connections {
    const controller = new AbortController();
    closers.push(() => controller.abort());
    return new Connections(controller.signal);
  }

  it("are reused", async () => {
    const { port, sockets } = await startEndpoint(() => undefined);
    const connections = createConnections();
    for (const id of ["a", "b", "c"]) {
      assert.equal(await sendAndRead(connections, port, id), `own ${id}`);
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    assert.equal(sockets.length, 1);
  });

  // The next request would get an answer that belongs to no request.
  it("are closed when bytes arrive that no request asked for", {
    timeout: 5_000,
  }, async () => {
    const { port, sockets } = await startEndpoint((socket) => {
      setTimeout(() => socket.write(formatAnswer("x", "late")), 10);
    });
    const connections = createConnections();
    for (const id of ["a", "b", "c"]) {
      assert.equal(await sendAndRead(connections, port, id), `own ${id}`);
      const socket = sockets.at(-1);
      assert.ok(socket);
      if (!socket.closed) await once(socket, "close");
    }
    assert.equal(sockets.length, 3);
  });

  // While a request waits for a connection, its endpoint may stop taking more.
  it("carry no request that must not be sent any more once they open", async () => {
    for (const isNewConnection of [true, false]) {
      const received: string[] = [];
      const { port } = await startEndpoint((socket) => {
        socket.on("data", (data) => received.push(data.toString()));
      });
      const connections = createConnections();
      if (!isNewConnection) {
        await sendAndRead(connections, port, "a");
        await new Promise((resolve) => setTimeout(resolve, 20));
      }
      let isSendAllowed = true;
      const sent = send(connections, port, "b", {
        maxConnections: 1,
        maySend: () => isSendAllowed,
      });
      isSendAllowed = false;
      const result = await sent;
      assert.ok(result.isErr());
      assert.equal(result.error.kind, ATTEMPT_FAILURE.withheld);
      await new Promise((resolve) => setTimeout(resolve, 50));
      assert.ok(!received.join("").includes("Attempt-Id: b"));
    }
  });

  // Its caller's time may be up long before a connection is free.
  it("don't keep an attempt that waits for one when it is aborted", async () => {
    const { port } = await startEndpoint(() => undefined);
    const connections = createConnections();
    // Its body is not read, so it keeps the only connection.
    const first = await send(connections, port, "a", { maxConnections: 1 });
    assert.ok(first.isOk());
    const waiting = send(connections, port, "b", {
      maxConnections: 1,
      signal: AbortSignal.timeout(50),
    });
    const result = await Promise.race([waiting, delay(1_000)]);
    assert.ok(result !== undefined, "the attempt is still open");
    assert.ok(result.isErr());
    assert.equal(result.error.kind, ATTEMPT_FAILURE.notSent);
  });

  it("are closed after a refusal of a request whose body is not read", async () => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", (data) => {
        const id = /Attempt-Id: (\w+)/i.exec(data.toString())?.[1] ?? "";
        if (id === "b") socket.write(formatAnswer(id, "own b"));
        else {
          socket.pause();
          socket.write(
            `HTTP/1.1 503 Full\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
          );
        }
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const { port } = address;
    const connections = createConnections();
    const body = Buffer.alloc(33_554_432);
    const refused = await send(connections, port, "a", {
      maxConnections: 1,
      body,
    });
    assert.ok(refused.isErr());
    assert.equal(refused.error.kind, ATTEMPT_FAILURE.notRun);
    const sent = send(connections, port, "b", { maxConnections: 1 });
    const result = await Promise.race([sent, delay(1_500)]);
    assert.ok(result?.isOk(), "the connection is not free");
  });

  it("of an endpoint that was removed are closed", async () => {
    const { port, sockets } = await startEndpoint(() => undefined);
    const connections = createConnections();
    await sendAndRead(connections, port, "a");
    await new Promise((resolve) => setTimeout(resolve, 20));
    connections.remove("i-1");
    await sendAndRead(connections, port, "b");
    assert.equal(sockets.length, 2);
  });
});
