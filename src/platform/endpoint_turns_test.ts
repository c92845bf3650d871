import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { HeldMemory } from "../adapters/received/index.js";
import { Connections } from "../proxy/request/connections.js";
import { readAnswerBody, sendAttempt } from "../proxy/request/send_attempt.js";
import { platformWire } from "./platform_wire.js";

const BODY = Buffer.from(
  Array.from({ length: 60_000 }, (_, i) => `${i},`).join(""),
);

/** Writes an answer in some of the ways in which endpoints frame it. */
const framings: Readonly<
  Record<string, (socket: Socket, head: string) => void>
> = {
  "a length": (socket, head) => {
    socket.write(`${head}Content-Length: ${BODY.length}\r\n\r\n`);
    socket.write(BODY);
  },
  chunks: (socket, head) => {
    socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    for (let i = 0; i < BODY.length; i += 1_000) {
      const chunk = BODY.subarray(i, i + 1_000);
      socket.write(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    socket.write("0\r\n\r\n");
  },
  "the connection's end": (socket, head) => {
    socket.write(`${head}Connection: close\r\n\r\n`);
    socket.end(BODY);
  },
};

describe("connections that wait for their turn", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  async function startEndpoint(write: (socket: Socket, head: string) => void) {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const id = /Attempt-Id: (\w+)/i.exec(data.toString())?.[1] ?? "";
        write(
          socket,
          `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n`,
        );
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

  /** `partMs` is the time that each part takes. */
  function createConnections(partMs: number): Connections {
    const controller = new AbortController();
    closers.push(() => controller.abort());
    let nowMs = 0;
    return new Connections(controller.signal, () => {
      nowMs += partMs;
      return nowMs;
    });
  }

  /** In each turn, the time is used up by the first part. */
  const createSlowConnections = () => createConnections(1_000);

  const send = (connections: Connections, port: number, id: string) =>
    sendAttempt({
      maySend: () => true,
      onHead: () => undefined,
      address: "127.0.0.1",
      port,
      method: "GET",
      path: "/a/",
      headers: ["Host", "h", "Attempt-Id", id],
      body: Buffer.alloc(0),
      requestId: id,
      agent: connections.getAgent("i-1", 8),
      wire: platformWire,
      signal: AbortSignal.timeout(8_000),
    });

  for (const [name, write] of Object.entries(framings)) {
    it(`lose no byte of answers with ${name}`, async () => {
      const { port, sockets } = await startEndpoint(write);
      const connections = createSlowConnections();
      for (let round = 0; round < 3; round++) {
        const ids = ["a", "b", "c"].map((id) => `${id}${round}`);
        const bodies = await Promise.all(
          ids.map(async (id) => {
            const head = await send(connections, port, id);
            assert.ok(head.isOk());
            const body = await readAnswerBody(head.value.message, {
              memory: new HeldMemory(),
            });
            assert.ok(body.isOk());
            return body.value;
          }),
        );
        for (const body of bodies) assert.ok(body.equals(BODY));
      }
      assert.equal(sockets.length, name === "the connection's end" ? 9 : 3);
    });
  }

  // Its answer may be paused for a slow caller while the connection waits.
  it("go on after their reader has paused", async () => {
    const { port } = await startEndpoint(framings["a length"] ?? (() => {}));
    const head = await send(createSlowConnections(), port, "a");
    assert.ok(head.isOk());
    const { message } = head.value;
    const chunks: Buffer[] = [];
    for await (const chunk of message) {
      chunks.push(chunk);
      if (chunks.length % 20 === 0) {
        message.pause();
        await new Promise((resolve) => setTimeout(resolve, 5));
      }
    }
    assert.ok(Buffer.concat(chunks).equals(BODY));
  });

  // In small parts only, an answer of 1 MB took twice the time.
  for (const [name, partMs, mostBytes] of [
    ["large parts of what is quick", 0, 32_768],
    ["small parts of what is slow", 1, 4_096],
  ] as const) {
    it(`take ${name}`, async () => {
      const { port } = await startEndpoint(framings["a length"] ?? (() => {}));
      const head = await send(createConnections(partMs), port, "a");
      assert.ok(head.isOk());
      const { message } = head.value;
      let largest = 0;
      message.on("data", (chunk: Buffer) => {
        largest = Math.max(largest, chunk.length);
      });
      await once(message, "end");
      assert.ok(largest <= mostBytes && largest > mostBytes / 4, `${largest}`);
    });
  }
});
