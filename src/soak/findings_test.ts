import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Findings, PROPERTIES } from "./findings.js";

describe("the findings of a soak", () => {
  it("lists a property whose checks judged no case as not exercised", () => {
    const findings = new Findings(PROPERTIES);
    // A check that looks and finds nothing to judge adds no case.
    findings.addCase("coldOverload", 0);
    findings.addCase("ranTwice", 1);
    const missing = findings.listNotExercised();
    assert.ok(missing.includes("coldOverload"));
    assert.ok(!missing.includes("ranTwice"));
  });
});
