import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { chooseFirstModel, chooseNextModel } from "./cascade.js";

const STATE = {
  models: ["small", "middle", "large"],
  model: "small",
  confidence: 20,
  attemptsLeft: 2,
  budgetUse: 0,
  largerStartMs: 50,
  leftMs: 5_000,
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
});
