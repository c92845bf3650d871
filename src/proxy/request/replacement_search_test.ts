import assert from "node:assert/strict";
import { type IncomingMessage, request } from "node:http";
import { createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { ReplacementSearch } from "./replacement_search.js";
import { type AnswerSink, sendStream } from "./send_answer.js";

const HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const STALL_TIMEOUT_MS = 100;
/** Longer than two endpoints may work on a request. */
const BLOCKED_MS = 400;

const SINK: AnswerSink = {
  writeHead: () => {},
  write: () => true,
  waitForDrain: async () => {},
  end: () => {},
  destroy: () => {},
  refuse: () => {},
};

describe("ReplacementSearch", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) cleanUp();
  });

  /** Answer of an endpoint that sends a head and then calls `write`. */
  async function requestAnswer(
    write: (socket: Socket) => void,
  ): Promise<IncomingMessage> {
    const server = createServer((socket) => {
      cleanups.push(() => socket.destroy());
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(HEAD);
        write(socket);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    cleanups.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const outgoing = request({ host: "127.0.0.1", port: address.port });
    cleanups.push(() => outgoing.destroy());
    outgoing.on("error", () => undefined);
    outgoing.end();
    return await new Promise((resolve) => outgoing.once("response", resolve));
  }

  // After a stall of the process, timers run before data is read, so the silent
  // endpoint could be given up although its next event had arrived.
  it("keeps an endpoint whose data came while the process was stalled", async () => {
    let goOn = () => {};
    const message = await requestAnswer((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      goOn = () => socket.end("id: 1\ndata: b\n\n");
    });
    const search = new ReplacementSearch({
      find: ({ signal, onSent }) => {
        onSent();
        setTimeout(() => {
          setImmediate(() => {
            goOn();
            const untilMs = performance.now() + BLOCKED_MS;
            while (performance.now() < untilMs);
          });
        }, 50);
        return new Promise((resolve) =>
          signal.addEventListener("abort", () => resolve(undefined)),
        );
      },
      discard: () => {},
    });
    const end = await sendStream(SINK, {
      message,
      stallTimeoutMs: STALL_TIMEOUT_MS,
      onStall: () => search.start(),
      onEvent: () => search.cancel(),
      abandonSignal: search.abandonSignal,
      signal: AbortSignal.timeout(5_000),
    });
    assert.equal(end.detail, undefined);
    assert.equal(end.isComplete, true);
  });
});
