import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeCapacity, loadAssumptions } from "./assumptions.js";
import { computeCarriedShares } from "./carried_shares.js";

const IKENNA = loadAssumptions("bench/assumptions/ikenna.json");

describe("shares carried while a data centre is out", () => {
  const remainingCapacity = computeCapacity(IKENNA, "dc2");

  // Guards against a bound that no router could reach: the remaining replica
  // of the large version has speed 0.9, too slow for a long specification.
  it("counts only the lengths that can end before the deadline", () => {
    const shares = computeCarriedShares(IKENNA, "dc2", remainingCapacity / 2);
    // ln(19.594 s * 0.9 * 33 / 500 - prompt's part) at sigma 0.5 is 0.55.
    assert.ok(Math.abs((shares.get("rope_specification") ?? 0) - 0.71) < 0.01);
    assert.ok((shares.get("shift_report") ?? 0) > 0.98);
    assert.equal(shares.get("stock_lookup"), 1);
  });

  // Guards against a bound that ignores how full the replicas are.
  it("limits the share of a class to the capacity of its replicas", () => {
    const shares = computeCarriedShares(IKENNA, "dc2", remainingCapacity * 2);
    const share = shares.get("shift_report") ?? 0;
    assert.ok(Math.abs(share - 0.5) < 0.01, `${share}`);
    assert.equal(shares.get("stock_lookup"), 1);
  });
});
