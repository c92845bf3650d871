import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";
import { StoreOutage } from "./store_outage.js";

const NO_ANSWER: StoreFailure = {
  kind: STORE_FAILURE.noAnswer,
  detail: "reset",
};
const MAX_PAUSE_MS = 40;

describe("store outage", () => {
  let controller = new AbortController();
  afterEach(() => controller.abort());

  function createOutage(): StoreOutage {
    controller = new AbortController();
    return new StoreOutage({
      getMaxProbePauseMs: () => MAX_PAUSE_MS,
      random: () => 0.5,
      signal: controller.signal,
    });
  }

  const delay = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));

  // Each call to a store that is down is a cost and delays its recovery.
  it("lets one call at a time probe the store, however many wait", async () => {
    const outage = createOutage();
    let running = 0;
    let maxRunning = 0;
    let calls = 0;
    const send = async () => {
      running++;
      calls++;
      maxRunning = Math.max(maxRunning, running);
      await delay(1);
      running--;
      return NO_ANSWER;
    };
    await outage.run(send);
    const callers = Array.from({ length: 20 }, async () => {
      while (!controller.signal.aborted) await outage.run(send);
    });
    await delay(10 * MAX_PAUSE_MS);
    controller.abort();
    await Promise.all(callers);
    assert.equal(maxRunning, 1);
    assert.ok(calls >= 3 && calls <= 12, `${calls} calls`);
  });

  it("lets all callers continue as soon as one call succeeds", async () => {
    const outage = createOutage();
    let isDown = true;
    let succeeded = 0;
    const send = async () => {
      if (isDown) return NO_ANSWER;
      succeeded++;
      return undefined;
    };
    await outage.run(send);
    const callers = Array.from({ length: 10 }, async () => {
      while ((await outage.run(send)) !== undefined);
    });
    await delay(MAX_PAUSE_MS);
    isDown = false;
    await Promise.all(callers);
    assert.equal(succeeded, 10);
    assert.equal(outage.isOngoing, false);
  });

  // A call that is no longer wanted must not keep the others waiting.
  it("passes the turn on from a call that is no longer wanted", async () => {
    const outage = createOutage();
    await outage.run(async () => NO_ANSWER);
    let calls = 0;
    const send = async () => {
      calls++;
      return undefined;
    };
    const unwanted = outage.run(send, () => false);
    const wanted = outage.run(send);
    await Promise.all([unwanted, wanted]);
    assert.equal(calls, 1);
    assert.equal(outage.isOngoing, false);
  });

  it("ends once the store answers why it refuses a call", async () => {
    const outage = createOutage();
    const detail = "gone";
    await outage.run(async () => NO_ANSWER);
    await outage.run(async () => ({ kind: STORE_FAILURE.historyGone, detail }));
    assert.equal(outage.isOngoing, false);
  });

  // The others would wait for a probe that nobody makes any more.
  it("goes on with another probe after one that throws", async () => {
    const outage = createOutage();
    await outage.run(async () => NO_ANSWER);
    const thrown = outage.run(() => Promise.reject(new Error("odd")));
    const next = outage.run(async () => undefined);
    await assert.rejects(thrown, /odd/);
    await next;
    assert.equal(outage.isOngoing, false);
  });
});
