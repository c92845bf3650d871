import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  decideOverlap,
  isWorthKeeping,
  OVERLAP_DECISION,
} from "./silence_decision.js";

const { keepEarlier, keepNewest } = OVERLAP_DECISION;

describe("decideOverlap", () => {
  // It was kept although it was as silent, and the earlier one went on.
  it("keeps the earlier endpoint where the newest is late", () => {
    const silence = { silentMs: 700, timeLeftMs: 3_000 };
    assert.equal(decideOverlap(silence, 20), keepEarlier);
    assert.equal(decideOverlap(silence, 150), keepEarlier);
  });

  // A sound endpoint that reads a long prompt would never get its time.
  it("keeps the newest endpoint where its answer is not yet due", () => {
    const silence = { silentMs: 700, timeLeftMs: 3_000 };
    assert.equal(decideOverlap(silence, 151), keepNewest);
    assert.equal(decideOverlap(silence, 900), keepNewest);
  });

  // An endpoint that is gone would keep the request until the deadline, and
  // another attempt begins from the start.
  it("keeps the newest endpoint after a long silence", () => {
    assert.equal(
      decideOverlap({ silentMs: 1_199, timeLeftMs: 3_000 }, 20),
      keepEarlier,
    );
    assert.equal(
      decideOverlap({ silentMs: 1_200, timeLeftMs: 3_000 }, 20),
      keepNewest,
    );
  });

  // With a short deadline there was no time left for another endpoint.
  it("leaves a quarter of a short time to the newest endpoint", () => {
    assert.equal(
      decideOverlap({ silentMs: 149, timeLeftMs: 451 }, 20),
      keepEarlier,
    );
    assert.equal(
      decideOverlap({ silentMs: 150, timeLeftMs: 450 }, 20),
      keepNewest,
    );
  });
});

describe("isWorthKeeping", () => {
  it("ends with three quarters of what callers wait", () => {
    assert.ok(isWorthKeeping({ silentMs: 0, timeLeftMs: 100 }));
    assert.ok(!isWorthKeeping({ silentMs: 100, timeLeftMs: 0 }));
    assert.ok(isWorthKeeping({ silentMs: 1_400, timeLeftMs: 60_000 }));
    assert.ok(!isWorthKeeping({ silentMs: 1_600, timeLeftMs: 60_000 }));
  });
});
