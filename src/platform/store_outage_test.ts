import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { STORE_FAILURE, type StoreFailure } from "./errors.js";
import { StoreOutage } from "./store_outage.js";

const LOST: StoreFailure = { kind: STORE_FAILURE.noAnswer, detail: "reset" };
const LONGEST_PAUSE_MS = 40;

describe("outage of the store", () => {
  let controller = new AbortController();
  afterEach(() => controller.abort());

  function createOutage(): StoreOutage {
    controller = new AbortController();
    return new StoreOutage({
      getLongestPauseMs: () => LONGEST_PAUSE_MS,
      random: () => 0.5,
      signal: controller.signal,
    });
  }

  const sleep = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));

  // Each call to a store that is down is paid for and delays its recovery.
  it("lets one call at a time probe, however many wait", async () => {
    const outage = createOutage();
    let running = 0;
    let most = 0;
    let calls = 0;
    const send = async () => {
      running++;
      calls++;
      most = Math.max(most, running);
      await sleep(1);
      running--;
      return LOST;
    };
    await outage.run(send);
    const callers = Array.from({ length: 20 }, async () => {
      while (!controller.signal.aborted) await outage.run(send);
    });
    await sleep(10 * LONGEST_PAUSE_MS);
    controller.abort();
    await Promise.all(callers);
    assert.equal(most, 1);
    assert.ok(calls >= 3 && calls <= 12, `${calls} calls`);
  });

  it("lets all go on as soon as one call succeeds", async () => {
    const outage = createOutage();
    let isDown = true;
    let succeeded = 0;
    const send = async () => {
      if (isDown) return LOST;
      succeeded++;
      return undefined;
    };
    await outage.run(send);
    const callers = Array.from({ length: 10 }, async () => {
      while ((await outage.run(send)) !== undefined);
    });
    await sleep(LONGEST_PAUSE_MS);
    isDown = false;
    await Promise.all(callers);
    assert.equal(succeeded, 10);
    assert.equal(outage.isOn, false);
  });

  // A caller whose need ended must not keep the turn of the others.
  it("passes the turn on when the call is no longer wanted", async () => {
    const outage = createOutage();
    await outage.run(async () => LOST);
    let calls = 0;
    const send = async () => {
      calls++;
      return undefined;
    };
    const unwanted = outage.run(send, () => false);
    const wanted = outage.run(send);
    await Promise.all([unwanted, wanted]);
    assert.equal(calls, 1);
    assert.equal(outage.isOn, false);
  });

  it("counts an answer with a reason as a sign of life", async () => {
    const outage = createOutage();
    const detail = "gone";
    await outage.run(async () => LOST);
    await outage.run(async () => ({ kind: STORE_FAILURE.historyGone, detail }));
    assert.equal(outage.isOn, false);
  });
});
