import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { runBench } from "./run.js";
import { computeCapacity, loadAssumptions } from "./workload.js";

const YUSHAN = loadAssumptions("bench/assumptions/yushan.json");
const SHORT = {
  ...YUSHAN,
  seconds: 200,
  events: [
    { atMs: 30_000, kind: "endpointTurnsCold", dataCentre: "dc1" },
    { atMs: 60_000, kind: "dataCentreOut", dataCentre: "dc3" },
    { atMs: 100_000, kind: "dataCentreBack", dataCentre: "dc3" },
  ],
};

describe("bench", () => {
  // Guards against comparisons of policies on different requests.
  it("offers each policy the same requests", () => {
    const best = runBench(SHORT, { policy: "best", seed: 3 });
    const router = runBench(SHORT, { policy: "hornbeamrill", seed: 3 });
    assert.equal(best.offered, router.offered);
    assert.equal(best.dcLeaveOffered, router.dcLeaveOffered);
    for (const [name, { offered }] of Object.entries(best.classes)) {
      assert.equal(router.classes[name]?.offered, offered, name);
    }
  });

  // Guards against decisions that a seed can't replay.
  it("gives the same result for the same seed", () => {
    const run = () => runBench(SHORT, { policy: "hornbeamrill", seed: 5 });
    assert.deepEqual(run(), run());
  });

  // Guards against lost requests and overloaded cold endpoints.
  it("loses no request and overloads no cold endpoint", () => {
    for (const seed of [1, 2]) {
      const result = runBench(SHORT, { policy: "hornbeamrill", seed });
      assert.equal(result.lost, 0);
      assert.equal(result.coldOverloads, 0);
    }
  });

  // Guards against a load that leaves most of the fleet out of account.
  it("sets the load on a capacity that shrinks with the fleet", () => {
    const whole = computeCapacity(YUSHAN);
    const rest = computeCapacity(YUSHAN, "dc3");
    assert.ok(rest > 0 && rest < whole);
  });
});
