import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEmptyState } from "./fleet_state.js";
import { RolloutGuard } from "./rollout_guard.js";

function createGuard(seed: number, share = 0.5) {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const guard = new RolloutGuard({ random });
  const rollouts = { v2: { version: "v2", share } };
  guard.setState({ ...createEmptyState(), rollouts });
  const record = (goodShare: number) =>
    guard.recordVerdict("v2", "chat", random() < goodShare);
  return { guard, record };
}

describe("roll-out guard", () => {
  // Guards against a bad version that keeps serving: at most 1% of an hour's
  // requests may go to it, which is a few dozen.
  it("stops a version about 20 verdicts after it gets worse", () => {
    const verdictCounts: number[] = [];
    for (let seed = 1; seed <= 41; seed++) {
      const { guard, record } = createGuard(seed);
      for (let i = 0; i < 100; i++) record(0.75);
      // Skips runs stopped by chance, which the next test bounds.
      if (guard.listOpen(Array(99).fill("v2")).length === 0) continue;
      let verdicts = 1;
      while (record(0.35) === undefined && verdicts < 200) verdicts++;
      verdictCounts.push(verdicts);
      assert.deepEqual(guard.listOpen(["v1", "v2"]), ["v1"]);
    }
    verdictCounts.sort((a, b) => a - b);
    assert.ok(verdictCounts.length >= 35, `${verdictCounts.length} runs`);
    assert.ok(
      (verdictCounts[verdictCounts.length >> 1] ?? 0) <= 22,
      `${verdictCounts}`,
    );
    assert.ok((verdictCounts.at(-1) ?? 0) <= 90, `${verdictCounts}`);
  });

  // Guards against roll-outs that are often stopped by chance.
  it("keeps a steady version in at least 26 of 30 runs", () => {
    let stopped = 0;
    for (let seed = 1; seed <= 30; seed++) {
      const { record } = createGuard(seed);
      let isStopped = false;
      for (let i = 0; i < 200; i++) isStopped ||= record(0.75) !== undefined;
      if (isStopped) stopped++;
    }
    assert.ok(stopped <= 4, `${stopped} of 30 runs stopped a steady version`);
  });

  // Guards against a full share for a version without any verdict.
  it("raises exposure with verdicts up to the ticket's share", () => {
    const { guard, record } = createGuard(1);
    const first = guard.getExposure("v2");
    assert.ok(first <= 0.05);
    for (let i = 0; i < 60; i++) record(1);
    const later = guard.getExposure("v2");
    assert.ok(later > first && later < 0.5);
    for (let i = 0; i < 200; i++) record(1);
    assert.equal(guard.getExposure("v2"), 0.5);
  });

  // Guards against a roll-out that is stopped by one cold endpoint.
  it("counts simultaneous failures of one endpoint once", () => {
    const { guard } = createGuard(1);
    for (let i = 0; i < 16; i++) {
      assert.equal(guard.recordFailure("v2", "e1", 1_000 + i), undefined);
    }
    let reason: string | undefined;
    for (let i = 2; i < 6; i++) {
      reason ??= guard.recordFailure("v2", `e${i}`, 1_000);
    }
    assert.match(reason ?? "", /^health fell/);
  });

  // Guards against a version that stays stopped after its hold is lifted.
  it("starts without evidence when an operator lifts the hold", () => {
    const { guard, record } = createGuard(3, 1);
    while (record(0) === undefined);
    const rollouts = { v2: { version: "v2", share: 1 } };
    const hold = { version: "v2", reason: "", revision: 1 };
    const state = { ...createEmptyState(), rollouts };
    guard.setState({ ...state, holds: { v2: hold } });
    assert.deepEqual(guard.listOpen(["v2"]), []);
    guard.setState(state);
    assert.ok(guard.getExposure("v2") > 0);
    const openLists = Array.from({ length: 200 }, () => guard.listOpen(["v2"]));
    assert.ok(openLists.some((versions) => versions.length === 1));
  });
});
