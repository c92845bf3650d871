import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { type AnswerSink, sendStream } from "./send_answer.js";
import { requestStream } from "./stream_fixtures_test.js";

const STALL_TIMEOUT_MS = 300;

interface FakeSink extends AnswerSink {
  readonly written: Buffer[];
}

/** A caller that accepts each write at once, or drains after `drainMs`. */
function createFakeSink(drainMs?: number): FakeSink {
  const written: Buffer[] = [];
  return {
    written,
    writeHead: () => {},
    write: (data) => {
      written.push(data);
      return drainMs === undefined;
    },
    waitForDrain: () => new Promise((resolve) => setTimeout(resolve, drainMs)),
    end: () => {},
    destroy: () => {},
    refuse: () => {},
  };
}

describe("sendStream", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) cleanUp();
  });

  const requestAnswer = (write: (socket: Socket) => void) =>
    requestStream(write, cleanups);

  function writeEvery(socket: Socket, ms: number, data: string): void {
    const timer = setInterval(() => socket.write(data), ms);
    cleanups.push(() => clearInterval(timer));
  }

  const sendToSink = (
    message: IncomingMessage,
    sink: AnswerSink,
    canResumeElsewhere = () => true,
    timeoutMs = 2_000,
  ) => {
    const controller = new AbortController();
    return sendStream(sink, {
      message,
      stallTimeoutMs: STALL_TIMEOUT_MS,
      onStall: () => {
        if (canResumeElsewhere()) controller.abort();
      },
      abandonSignal: controller.signal,
      signal: AbortSignal.timeout(timeoutMs),
    });
  };

  // After a stall of the process, timers run before data is read, so the stall
  // timeout could break a stream whose events have already arrived.
  it("continues when events came while the process was stalled", async () => {
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => {
        setImmediate(() => {
          socket.end("id: 1\ndata: b\n\n");
          const untilMs = performance.now() + 2 * STALL_TIMEOUT_MS;
          while (performance.now() < untilMs);
        });
      }, STALL_TIMEOUT_MS / 2);
    });
    const end = await sendToSink(message, createFakeSink(), () => true, 5_000);
    assert.deepEqual(end, {
      isComplete: true,
      lastEventId: 1,
      hasBegun: true,
      isCut: false,
      detail: undefined,
    });
  });

  // The endpoint has not stalled; breaking the stream would have another
  // endpoint run the rest.
  it("continues while the caller reads slowly", async () => {
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => socket.end("id: 1\ndata: b\n\n"), 50);
    });
    const sink = createFakeSink(2 * STALL_TIMEOUT_MS);
    const end = await sendToSink(message, sink);
    assert.deepEqual(end, {
      isComplete: true,
      lastEventId: 1,
      hasBegun: true,
      isCut: false,
      detail: undefined,
    });
    assert.equal(sink.written.length, 2);
  });

  // Waiting for a slow caller must not hide that the endpoint has stalled.
  it("breaks when the endpoint stalls after a slow caller read", async () => {
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
    });
    const end = await sendToSink(message, createFakeSink(50));
    assert.equal(end.isComplete, false);
    assert.match(end.detail ?? "", /No event/);
  });

  // Breaking the stream would lose the answer of an endpoint still working.
  it("waits for a stalled endpoint while no other can resume", async () => {
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      setTimeout(() => socket.end("id: 1\ndata: b\n\n"), 3 * STALL_TIMEOUT_MS);
    });
    const end = await sendToSink(message, createFakeSink(), () => false);
    assert.equal(end.isComplete, true);
    assert.equal(end.lastEventId, 1);
  });

  it("breaks a stalled stream once another endpoint can resume", async () => {
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
    });
    let checks = 0;
    const end = await sendToSink(message, createFakeSink(), () => ++checks > 2);
    assert.equal(end.isComplete, false);
    assert.equal(checks, 3);
  });

  // Bytes that complete no event must not restart the stall timeout, or the
  // caller would wait without end.
  for (const [name, data] of [
    ["comments", ": still here\n\n"],
    ["blank lines", "\n\n"],
    ["fields other than data and id", "retry: 10\n\n"],
    ["bytes of an incomplete event", "x"],
  ] as const) {
    it(`breaks when only ${name} come`, async () => {
      const message = await requestAnswer((socket) =>
        writeEvery(socket, 50, data),
      );
      const startedAtMs = performance.now();
      const end = await sendToSink(message, createFakeSink());
      assert.equal(end.isComplete, false);
      assert.match(end.detail ?? "", /No event/);
      assert.ok(performance.now() - startedAtMs < 4 * STALL_TIMEOUT_MS);
    });
  }

  it("continues while events come within the stall timeout", async () => {
    const message = await requestAnswer((socket) => {
      writeEvery(socket, STALL_TIMEOUT_MS / 2, "data: x\r\n\n");
      setTimeout(() => socket.end(), 4 * STALL_TIMEOUT_MS);
    });
    const end = await sendToSink(message, createFakeSink());
    assert.equal(end.isComplete, true);
  });

  // An event of unlimited size would exhaust the memory of a small host.
  it("breaks when an event exceeds the largest size", async () => {
    let sentBytes = 0;
    const chunk = "x".repeat(16_384);
    const message = await requestAnswer((socket) => {
      const writeMore = () => {
        while (!socket.destroyed && socket.write(chunk))
          sentBytes += chunk.length;
      };
      socket.on("drain", writeMore);
      socket.write("data: ");
      writeMore();
    });
    const startedAtMs = performance.now();
    const end = await sendToSink(message, createFakeSink());
    assert.equal(end.isComplete, false);
    assert.match(end.detail ?? "", /exceeds/);
    assert.ok(performance.now() - startedAtMs < STALL_TIMEOUT_MS);
    assert.ok(sentBytes < 16_777_216, `${sentBytes} bytes were sent`);
  });
});
