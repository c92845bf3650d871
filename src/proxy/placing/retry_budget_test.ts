import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RetryBudget } from "./retry_budget.js";

const LIMITS = { ratio: 0.9, windowMs: 10_000, allowance: 54 };

function createBudget(
  sharerCount: number | undefined,
  startedAtMs = -20_000,
): RetryBudget {
  return new RetryBudget({
    ...LIMITS,
    countSharers: () => sharerCount,
    startedAtMs,
  });
}

describe("retry budget", () => {
  // More retries would overload a service that already fails.
  it("limits all entry processes together in any window", () => {
    const event = fc.record({
      entry: fc.nat({ max: 3 }),
      gapMs: fc.nat({ max: 400 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 400 }), (events) => {
        const budgets = [0, 1, 2, 3].map(() => createBudget(4));
        const requests: number[] = [];
        const retries: number[] = [];
        let nowMs = 0;
        for (const { entry, gapMs, isRequest } of events) {
          nowMs += gapMs;
          const budget = budgets[entry];
          if (isRequest) {
            budget?.recordRequest("svc", nowMs);
            requests.push(nowMs);
          } else if (budget?.spend("svc", nowMs)) retries.push(nowMs);
        }
        for (const endMs of retries) {
          const isInWindow = (atMs: number) =>
            atMs > endMs - LIMITS.windowMs && atMs <= endMs;
          const maxRetries =
            LIMITS.ratio * requests.filter(isInWindow).length +
            LIMITS.allowance;
          assert.ok(retries.filter(isInWindow).length <= maxRetries);
        }
      }),
    );
  });

  it("gives a single entry the whole allowance except for the margin", () => {
    const budget = createBudget(1);
    let spent = 0;
    while (budget.spend("svc", 0)) spent++;
    assert.equal(spent, Math.floor(0.8 * 54));
    assert.ok(budget.spend("svc", 10_001));
  });

  // An entry that doesn't know how many others there are may be one of many.
  it("spends none of the allowance while the entries aren't known", () => {
    const budget = createBudget(undefined);
    assert.equal(budget.spend("svc", 0), false);
    for (let i = 0; i < 10; i++) budget.recordRequest("svc", 0);
    assert.equal(budget.spend("svc", 0), true);
  });

  // Each life of an entry that restarts would spend the whole part once more.
  it("spends little of the allowance in the window after a start", () => {
    const budget = createBudget(1, 0);
    let spent = 0;
    while (budget.spend("svc", 1_000)) spent++;
    assert.equal(spent, Math.floor(0.1 * 54));
    while (budget.spend("svc", 12_000)) spent++;
    assert.equal(spent, Math.floor(0.1 * 54) + Math.floor(0.8 * 54));
  });

  // What one entry saved could come on top of what others spend when callers
  // move to them.
  it("forgets the credit of requests after a quarter of the window", () => {
    const budget = createBudget(undefined);
    const countLeft = (nowMs: number) => {
      let spent = 0;
      while (budget.spend("svc", nowMs)) spent++;
      return spent;
    };
    for (let i = 0; i < 100; i++) budget.recordRequest("svc", 0);
    assert.equal(countLeft(2_500), 72);
    for (let i = 0; i < 100; i++) budget.recordRequest("svc", 20_000);
    assert.equal(countLeft(22_501), 0);
  });

  // Parts of a retry must add up for an entry with few requests.
  it("adds credit and allowance up to whole retries", () => {
    const budget = createBudget(64);
    assert.equal(budget.spend("svc", 0), false);
    budget.recordRequest("svc", 0);
    assert.equal(budget.spend("svc", 0), true);
    budget.recordRequest("svc", 1_000);
    assert.equal(budget.spend("svc", 1_000), true);
    budget.recordRequest("svc", 2_000);
    assert.equal(budget.spend("svc", 2_000), false);
  });
});
