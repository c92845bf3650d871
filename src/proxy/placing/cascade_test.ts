import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  chooseFirstModel,
  chooseNextModel,
  computeConfidenceBound,
} from "./cascade.js";
import { SettledDoubts } from "./settled_doubts.js";

const COSTS = new Map([
  ["small", 0.1],
  ["middle", 0.5],
  ["large", 1],
]);

const STATE = {
  models: ["small", "middle", "large"],
  model: "small",
  confidence: 20,
  attemptsLeft: 2,
  budgetUse: 0,
  spentMs: 40,
  largerStartMs: 50,
  targetMs: 1_000,
  getCost: (model: string) => COSTS.get(model),
  estimateSettled: (_model: string, guess: number) => guess,
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

  // The largest model's time and price are saved where less will do.
  it("asks a model in between about a slight doubt", () => {
    const slight = { ...STATE, confidence: 50 };
    assert.equal(chooseNextModel(slight), "middle");
    const model = "middle";
    assert.equal(chooseNextModel({ ...slight, model }), "large");
  });

  it("asks the largest where the model in between could not be followed", () => {
    const slight = { ...STATE, confidence: 50 };
    assert.equal(chooseNextModel({ ...slight, attemptsLeft: 1 }), "large");
    const getCost = () => undefined;
    assert.equal(chooseNextModel({ ...slight, getCost }), "large");
  });

  it("learns whether the model in between settles such doubts", () => {
    const doubts = new SettledDoubts();
    const slight = {
      ...STATE,
      confidence: 50,
      estimateSettled: (model: string, guess: number) =>
        doubts.estimate("route", model, 50, guess),
    };
    assert.equal(chooseNextModel(slight), "middle");
    for (let i = 0; i < 20; i++) doubts.record("route", "middle", 50, false);
    assert.equal(chooseNextModel(slight), "large");
    for (let i = 0; i < 200; i++) doubts.record("route", "middle", 50, true);
    assert.equal(chooseNextModel(slight), "middle");
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
