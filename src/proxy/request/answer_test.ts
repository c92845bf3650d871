import assert from "node:assert/strict";
import { type IncomingMessage, request } from "node:http";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { type AnswerSink, sendStream } from "./answer.js";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const STALL_MS = 300;

interface FakeSink extends AnswerSink {
  readonly written: Buffer[];
}

/** A caller that takes each write at once, or only after some time. */
function createFakeSink(drainMs?: number): FakeSink {
  const written: Buffer[] = [];
  return {
    written,
    writeHead: () => {},
    write: (data) => {
      written.push(data);
      return drainMs === undefined;
    },
    waitDrain: () => new Promise((resolve) => setTimeout(resolve, drainMs)),
    end: () => {},
    destroy: () => {},
    refuse: () => {},
  };
}

describe("stream of an answer", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** The answer of an endpoint that writes what it likes after the head. */
  async function openAnswer(
    write: (socket: Socket) => void,
  ): Promise<IncomingMessage> {
    const server = createServer((socket) => {
      closers.push(() => socket.destroy());
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(HEAD);
        write(socket);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const outgoing = request({ host: "127.0.0.1", port: address.port });
    closers.push(() => outgoing.destroy());
    outgoing.on("error", () => undefined);
    outgoing.end();
    return await new Promise((resolve) => outgoing.once("response", resolve));
  }

  function writeEvery(socket: Socket, ms: number, data: string): void {
    const timer = setInterval(() => socket.write(data), ms);
    closers.push(() => clearInterval(timer));
  }

  const run = (
    message: IncomingMessage,
    sink: AnswerSink,
    mayGiveUp = () => true,
  ) =>
    sendStream(sink, {
      message,
      stallMs: STALL_MS,
      mayGiveUp,
      signal: AbortSignal.timeout(2_000),
    });

  // Timers run before reads once a process that was held up goes on.
  it("goes on when its events came while the process was held up", async () => {
    const message = await openAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => {
        setImmediate(() => {
          socket.end("id: 1\ndata: b\n\n");
          const untilMs = performance.now() + 2 * STALL_MS;
          while (performance.now() < untilMs);
        });
      }, STALL_MS / 2);
    });
    const end = await sendStream(createFakeSink(), {
      message,
      stallMs: STALL_MS,
      mayGiveUp: () => true,
      signal: AbortSignal.timeout(5_000),
    });
    assert.deepEqual(end, {
      isComplete: true,
      lastEventId: 1,
      detail: undefined,
    });
  });

  // The endpoint is sound; a cut would have the rest run once more elsewhere.
  it("goes on while the caller reads slowly", async () => {
    const message = await openAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => socket.end("id: 1\ndata: b\n\n"), 50);
    });
    const sink = createFakeSink(2 * STALL_MS);
    const end = await run(message, sink);
    assert.deepEqual(end, {
      isComplete: true,
      lastEventId: 1,
      detail: undefined,
    });
    assert.equal(sink.written.length, 2);
  });

  // The wait for the caller must not hide that the endpoint went silent.
  it("ends when the endpoint is silent after the caller has read", async () => {
    const message = await openAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
    });
    const end = await run(message, createFakeSink(50));
    assert.equal(end.isComplete, false);
    assert.match(end.detail ?? "", /No event/);
  });

  // Cut, the answer would be lost, while the endpoint is still at work.
  it("waits for a silent endpoint where nobody else can go on", async () => {
    const message = await openAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => socket.end("id: 1\ndata: b\n\n"), 3 * STALL_MS);
    });
    const end = await run(message, createFakeSink(), () => false);
    assert.equal(end.isComplete, true);
    assert.equal(end.lastEventId, 1);
  });

  it("gives a silent endpoint up once somebody else can go on", async () => {
    const message = await openAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
    });
    let asked = 0;
    const end = await run(message, createFakeSink(), () => ++asked > 2);
    assert.equal(end.isComplete, false);
    assert.equal(asked, 3);
  });

  // A stream that only shows signs of life keeps its caller waiting.
  for (const [name, data] of [
    ["comments", ": still here\n\n"],
    ["blank lines", "\n\n"],
    ["fields that are no event", "retry: 10\n\n"],
    ["bytes without the end of an event", "x"],
  ] as const) {
    it(`ends when only ${name} come`, async () => {
      const message = await openAnswer((socket) =>
        writeEvery(socket, 50, data),
      );
      const startedAtMs = performance.now();
      const end = await run(message, createFakeSink());
      assert.equal(end.isComplete, false);
      assert.match(end.detail ?? "", /No event/);
      assert.ok(performance.now() - startedAtMs < 4 * STALL_MS);
    });
  }

  it("goes on while events come with pauses shorter than the bound", async () => {
    const message = await openAnswer((socket) => {
      writeEvery(socket, STALL_MS / 2, "data: x\r\n\n");
      setTimeout(() => socket.end(), 4 * STALL_MS);
    });
    const end = await run(message, createFakeSink());
    assert.equal(end.isComplete, true);
  });

  // Bytes without end would fill the memory of a small host.
  it("ends when an event exceeds its largest size", async () => {
    let sent = 0;
    const chunk = "x".repeat(16_384);
    const message = await openAnswer((socket) => {
      const writeMore = () => {
        while (!socket.destroyed && socket.write(chunk)) sent += chunk.length;
      };
      socket.on("drain", writeMore);
      socket.write("data: ");
      writeMore();
    });
    const startedAtMs = performance.now();
    const end = await run(message, createFakeSink());
    assert.equal(end.isComplete, false);
    assert.match(end.detail ?? "", /exceeds/);
    assert.ok(performance.now() - startedAtMs < STALL_MS);
    assert.ok(sent < 16_777_216, `${sent} bytes were sent`);
  });
});
