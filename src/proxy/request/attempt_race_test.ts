import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { AttemptRace, RACE_EVENT } from "./attempt_race.js";
import type { AnsweredAttempt, AttemptOutcome } from "./attempt_runner.js";
import { OVERLAP_DECISION } from "./silence_decision.js";

/** Longer than two endpoints may work on a request. */
const BLOCKED_MS = 400;
const ATTEMPT = {} as AnsweredAttempt;
const keepNewest = () => OVERLAP_DECISION.keepNewest;
const FAILED = { kind: "unknown", detail: "cancelled" } as const;

describe("AttemptRace", () => {
  const cleanups: (() => void)[] = [];
  afterEach(() => {
    for (const cleanUp of cleanups.splice(0)) cleanUp();
  });

  /** Both ends of a connection. */
  async function createConnection(): Promise<[Socket, Socket]> {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    cleanups.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    const accepted = new Promise<Socket>((resolve) =>
      server.once("connection", resolve),
    );
    const local = connect(address.port, "127.0.0.1");
    const remote = await accepted;
    cleanups.push(() => local.destroy());
    cleanups.push(() => remote.destroy());
    return [local, remote];
  }

  const createRace = () =>
    new AttemptRace({ onFailed: () => {}, discard: () => FAILED });

  // After a stall of the process, timers run before data is read, so an attempt
  // could be aborted although its answer had arrived.
  it("keeps an attempt whose answer came while the process was stalled", async () => {
    const [local, remote] = await createConnection();
    const race = createRace();
    const waitForAnswer = (signal: AbortSignal) =>
      new Promise<AttemptOutcome>((resolve) => {
        local.once("data", () =>
          resolve({ kind: "answered", attempt: ATTEMPT }),
        );
        signal.addEventListener("abort", () => resolve(FAILED));
      });
    race.start(({ signal }) => waitForAnswer(signal), keepNewest);
    race.start(({ signal, onSent }) => {
      onSent();
      setTimeout(() => {
        setImmediate(() => {
          remote.write("answer");
          const untilMs = performance.now() + BLOCKED_MS;
          while (performance.now() < untilMs);
        });
      }, 50);
      return new Promise((resolve) =>
        signal.addEventListener("abort", () => resolve(FAILED)),
      );
    }, keepNewest);
    const timer = setTimeout(() => race.close(), 2 * BLOCKED_MS + 200);
    const event = await race.next();
    clearTimeout(timer);
    assert.equal(event?.kind, RACE_EVENT.answered);
    race.close();
  });

  // The process would end with an unhandled rejection, and the request hang.
  it("reports an attempt whose code throws", async () => {
    const race = createRace();
    race.start(async () => {
      throw new Error("broken");
    }, keepNewest);
    await assert.rejects(race.next(), /broken/);
  });
});
