import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  chooseFirstModel,
  chooseNextModel,
  computeConfidenceBound,
} from "./cascade.js";

const STATE = {
  models: ["small", "middle", "large"],
  model: "small",
  confidence: 20,
  attemptsLeft: 2,
  budgetUse: 0,
  spentMs: 40,
  largerStartMs: 50,
  targetMs: 1_000,
};

describe("cascade", () => {
  it("begins with the smallest model", () => {
    assert.equal(chooseFirstModel(STATE.models), "small");
    assert.equal(chooseFirstModel([]), "");
  });

  it("asks the largest model when the answer is in doubt", () => {
    assert.equal(chooseNextModel(STATE), "large");
  });

  it("keeps an answer that the model trusts", () => {
    assert.equal(chooseNextModel({ ...STATE, confidence: 80 }), undefined);
  });

  // A doubtful answer serves the caller better than none.
  it("keeps a doubtful answer where nobody may be asked again", () => {
    assert.equal(chooseNextModel({ ...STATE, attemptsLeft: 0 }), undefined);
    assert.equal(chooseNextModel({ ...STATE, budgetUse: 1 }), undefined);
    assert.equal(chooseNextModel({ ...STATE, model: "large" }), undefined);
  });

  // More escalations than the endpoints bear make every answer late.
  it("asks less often the later the larger answer would begin", () => {
    const bounds = [0, 0.4, 0.7, 1, 1.5, 2, 3, 9].map(computeConfidenceBound);
    assert.deepEqual(
      bounds,
      [...bounds].sort((a, b) => b - a),
    );
    assert.equal(bounds.at(-1), 0);
    assert.equal(
      chooseNextModel({ ...STATE, largerStartMs: 2_500 }),
      undefined,
    );
  });
});
