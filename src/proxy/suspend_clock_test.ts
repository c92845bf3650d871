import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Freshness } from "./fleet/index.js";
import { SuspendClock } from "./suspend_clock.js";

function createClock() {
  const times = { monotonicMs: 0, wallClockMs: 1_000_000 };
  const clock = new SuspendClock({
    readMonotonicMs: () => times.monotonicMs,
    readWallClockMs: () => times.wallClockMs,
  });
  const advance = (monotonicMs: number, wallClockMs = monotonicMs) => {
    times.monotonicMs += monotonicMs;
    times.wallClockMs += wallClockMs;
    return clock.now();
  };
  return { clock, advance };
}

describe("suspend clock", () => {
  // The monotonic clock stops while a host is suspended.
  it("counts the time of a suspension", () => {
    const { advance } = createClock();
    assert.equal(advance(100), 100);
    assert.equal(advance(10, 3_510), 3_610);
    assert.equal(advance(100), 3_710);
  });

  it("never goes back when the wall clock is set back", () => {
    const { advance } = createClock();
    advance(100);
    assert.equal(advance(10, -5_000), 110);
    // Setting it forward again looks like a suspension. Counting too much time
    // is the safe side: data is taken for older than it is.
    assert.equal(advance(10, 5_010), 5_120);
  });

  it("ignores the drift of the clocks", () => {
    const { clock, advance } = createClock();
    for (let i = 0; i < 100; i++) advance(100, 101);
    assert.equal(clock.now(), 10_000);
  });
});

describe("freshness", () => {
  // An API key may have been withdrawn while the host was suspended.
  it("is lost in a suspension until the next confirmation", async () => {
    const { clock, advance } = createClock();
    let confirmationRequests = 0;
    const freshness = new Freshness(clock, () => confirmationRequests++);
    freshness.confirm(clock.now());
    assert.equal(await freshness.waitUntilFresh(3_000, 10), true);
    advance(1, 4_000);
    assert.equal(await freshness.waitUntilFresh(3_000, 10), false);
    assert.equal(confirmationRequests, 1);
  });

  it("waits for the confirmation that it requests", async () => {
    const { clock, advance } = createClock();
    const freshness: Freshness = new Freshness(clock, () =>
      setTimeout(() => freshness.confirm(clock.now()), 5),
    );
    advance(10);
    assert.equal(await freshness.waitUntilFresh(3_000, 1_000), true);
  });
});
