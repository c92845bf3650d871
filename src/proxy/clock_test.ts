import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { SuspendClock } from "./clock.js";
import { Freshness } from "./fleet/index.js";

function createClock() {
  const times = { steady: 0, day: 1_000_000 };
  const clock = new SuspendClock({
    steady: () => times.steady,
    timeOfDay: () => times.day,
  });
  const pass = (steadyMs: number, dayMs = steadyMs) => {
    times.steady += steadyMs;
    times.day += dayMs;
    return clock.now();
  };
  return { clock, pass };
}

describe("suspend clock", () => {
  // The steady clock stands still while a host is suspended.
  it("counts the time of a suspension", () => {
    const { pass } = createClock();
    assert.equal(pass(100), 100);
    assert.equal(pass(10, 3_510), 3_610);
    assert.equal(pass(100), 3_710);
  });

  it("never goes back when the time of day is set back", () => {
    const { pass } = createClock();
    pass(100);
    assert.equal(pass(10, -5_000), 110);
    // The way back looks like a suspension, which errs on the safe side.
    assert.equal(pass(10, 5_010), 5_120);
  });

  it("ignores the drift of the clocks", () => {
    const { clock, pass } = createClock();
    for (let i = 0; i < 100; i++) pass(100, 101);
    assert.equal(clock.now(), 10_000);
  });
});

describe("freshness", () => {
  // A key may have been withdrawn while the host was suspended.
  it("is old after a suspension until it is confirmed", async () => {
    const { clock, pass } = createClock();
    let asked = 0;
    const freshness = new Freshness(clock, () => asked++);
    freshness.confirm(clock.now());
    assert.equal(await freshness.isFresh(3_000, 10), true);
    pass(1, 4_000);
    assert.equal(await freshness.isFresh(3_000, 10), false);
    assert.equal(asked, 1);
  });

  it("waits for the confirmation that it asks for", async () => {
    const { clock, pass } = createClock();
    const freshness: Freshness = new Freshness(clock, () =>
      setTimeout(() => freshness.confirm(clock.now()), 5),
    );
    pass(10);
    assert.equal(await freshness.isFresh(3_000, 1_000), true);
  });
});
