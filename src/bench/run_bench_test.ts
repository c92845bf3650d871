import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeCapacity, loadAssumptions } from "./assumptions.js";
import { runBench } from "./run_bench.js";

const YUSHAN = loadAssumptions("bench/assumptions/yushan.json");
const SHORT_YUSHAN = {
  ...YUSHAN,
  seconds: 200,
  events: [
    { atMs: 30_000, kind: "endpointTurnsCold", dataCentre: "dc1" },
    { atMs: 60_000, kind: "dataCentreOut", dataCentre: "dc3" },
    { atMs: 100_000, kind: "dataCentreBack", dataCentre: "dc3" },
  ],
};

describe("runBench", () => {
  // Policies can only be compared on the same requests.
  it("offers each policy the same requests", () => {
    const best = runBench(SHORT_YUSHAN, { policy: "best", seed: 3 });
    const router = runBench(SHORT_YUSHAN, { policy: "hornbeamrill", seed: 3 });
    assert.equal(best.offered, router.offered);
    assert.equal(best.dcLeaveOffered, router.dcLeaveOffered);
    for (const [name, { offered }] of Object.entries(best.classes)) {
      assert.equal(router.classes[name]?.offered, offered, name);
    }
  });

  // Guards against decisions that can't be reproduced from the seed.
  it("gives the same result for the same seed", () => {
    const run = () =>
      runBench(SHORT_YUSHAN, { policy: "hornbeamrill", seed: 5 });
    assert.deepEqual(run(), run());
  });

  // Guards against lost requests and overloaded cold endpoints.
  it("loses no request and overloads no cold endpoint", () => {
    for (const seed of [1, 2]) {
      const result = runBench(SHORT_YUSHAN, { policy: "hornbeamrill", seed });
      assert.equal(result.lost, 0);
      assert.equal(result.coldOverloads, 0);
    }
  });

  // Guards against a load that is computed from a part of the fleet.
  it("computes less capacity without one of the data centres", () => {
    const whole = computeCapacity(YUSHAN);
    const remainingCapacity = computeCapacity(YUSHAN, "dc3");
    assert.ok(remainingCapacity > 0 && remainingCapacity < whole);
  });
});
