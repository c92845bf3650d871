import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeCarriedShares } from "./outage.js";
import { computeCapacity, loadAssumptions } from "./workload.js";

const IKENNA = loadAssumptions("bench/assumptions/ikenna.json");

describe("capacity that a data centre leaves behind", () => {
  const rest = computeCapacity(IKENNA, "dc2");

  // Guards against a bound that no router could reach: a long specification
  // can't end in time on the large version that is left, at speed 0.9.
  it("counts only the lengths that can end in time", () => {
    const shares = computeCarriedShares(IKENNA, "dc2", rest / 2);
    // ln(19.594 s * 0.9 * 33 / 500 - prompt's part) at sigma 0.5 is 0.55.
    assert.ok(Math.abs((shares.get("rope_specification") ?? 0) - 0.71) < 0.01);
    assert.ok((shares.get("shift_report") ?? 0) > 0.98);
    assert.equal(shares.get("stock_lookup"), 1);
  });

  // Guards against an outage bound that ignores the load.
  it("limits a class to what its replicas can carry", () => {
    const shares = computeCarriedShares(IKENNA, "dc2", rest * 2);
    const share = shares.get("shift_report") ?? 0;
    assert.ok(Math.abs(share - 0.5) < 0.01, `${share}`);
    assert.equal(shares.get("stock_lookup"), 1);
  });
});
