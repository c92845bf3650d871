import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { ReplacementSearch } from "./replacement_search.js";
import { type AnswerSink, sendStream } from "./send_answer.js";
import { OVERLAP_DECISION } from "./silence_decision.js";
import { requestStream } from "./stream_fixtures_test.js";

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

  // After a stall of the process, timers run before data is read, so the silent
  // endpoint could be given up although its next event had arrived.
  it("keeps an endpoint whose data came while the process was stalled", async () => {
    let goOn = () => {};
    const message = await requestStream((socket) => {
      socket.write("id: 0\ndata: a\n\n");
      goOn = () => socket.end("id: 1\ndata: b\n\n");
    }, cleanups);
    const search = new ReplacementSearch({
      stallTimeoutMs: STALL_TIMEOUT_MS,
      find: ({ signal, onSent }) => {
        onSent(() => OVERLAP_DECISION.keepNewest);
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
