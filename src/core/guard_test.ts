import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createEmptyState } from "./fleet_state.js";
import { Guard } from "./guard.js";

function createGuard(seed: number, share = 0.5) {
  const generator = xoroshiro128plus(seed);
  const random = () => uniformFloat64(generator);
  const guard = new Guard({ random });
  const rollouts = { v2: { version: "v2", share } };
  guard.setState({ ...createEmptyState(), rollouts });
  const record = (goodShare: number) =>
    guard.recordVerdict("v2", "chat", random() < goodShare);
  return { guard, record };
}

describe("roll-out guard", () => {
  // Guards against a bad version that goes on serving: 1% of an hour's
  // requests is a few dozen.
  it("cuts a version that turned bad after about 20 verdicts", () => {
    const delays: number[] = [];
    for (let seed = 1; seed <= 41; seed++) {
      const { guard, record } = createGuard(seed);
      for (let i = 0; i < 100; i++) record(0.75);
      // Skips runs cut by chance, which the next test bounds.
      if (guard.filter(Array(99).fill("v2")).length === 0) continue;
      let verdicts = 1;
      while (record(0.35) === undefined && verdicts < 200) verdicts++;
      delays.push(verdicts);
      assert.deepEqual(guard.filter(["v1", "v2"]), ["v1"]);
    }
    delays.sort((a, b) => a - b);
    assert.ok(delays.length >= 35, `${delays.length} runs`);
    assert.ok((delays[delays.length >> 1] ?? 0) <= 22, `${delays}`);
    assert.ok((delays.at(-1) ?? 0) <= 90, `${delays}`);
  });

  // Guards against roll-outs that are stopped by chance.
  it("keeps a steady version in at least 26 of 30 runs", () => {
    let cut = 0;
    for (let seed = 1; seed <= 30; seed++) {
      const { record } = createGuard(seed);
      let held = false;
      for (let i = 0; i < 200; i++) held ||= record(0.75) !== undefined;
      if (held) cut++;
    }
    assert.ok(cut <= 4, `${cut} of 30 runs cut a steady version`);
  });

  // Guards against a full share for a version that nobody has seen answer.
  it("raises exposure with evidence up to the ticket's share", () => {
    const { guard, record } = createGuard(1);
    const first = guard.getExposure("v2");
    assert.ok(first <= 0.05);
    for (let i = 0; i < 60; i++) record(1);
    const later = guard.getExposure("v2");
    assert.ok(later > first && later < 0.5);
    for (let i = 0; i < 200; i++) record(1);
    assert.equal(guard.getExposure("v2"), 0.5);
  });

  // Guards against one cold endpoint that ends a roll-out.
  it("counts failures of one endpoint at one time once", () => {
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

  // Guards against a hold that outlives the operator's decision.
  it("starts afresh when an operator lifts the hold", () => {
    const { guard, record } = createGuard(3, 1);
    while (record(0) === undefined);
    const rollouts = { v2: { version: "v2", share: 1 } };
    const hold = { version: "v2", reason: "", revision: 1 };
    const state = { ...createEmptyState(), rollouts };
    guard.setState({ ...state, holds: { v2: hold } });
    assert.deepEqual(guard.filter(["v2"]), []);
    guard.setState(state);
    assert.ok(guard.getExposure("v2") > 0);
    const open = Array.from({ length: 200 }, () => guard.filter(["v2"]));
    assert.ok(open.some((versions) => versions.length === 1));
  });
});
