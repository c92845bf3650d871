import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RepeatBudget } from "./repeat_budget.js";

const BOUNDS = { ratio: 0.9, windowMs: 10_000, allowance: 54 };

describe("repeat budget", () => {
  // More repeats than this overload a service that is failing already.
  it("keeps all entries together under the bound in any window", () => {
    const event = fc.record({
      entry: fc.nat({ max: 3 }),
      gapMs: fc.nat({ max: 400 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 400 }), (events) => {
        const entries = [0, 1, 2, 3].map(() => new RepeatBudget(BOUNDS));
        const requests: number[] = [];
        const repeats: number[] = [];
        let nowMs = 0;
        for (const { entry, gapMs, isRequest } of events) {
          nowMs += gapMs;
          const budget = entries[entry];
          if (isRequest) {
            budget?.recordRequest("svc", nowMs);
            requests.push(nowMs);
          } else if (budget?.spend("svc", 4, nowMs)) repeats.push(nowMs);
        }
        for (const end of repeats) {
          const isIn = (atMs: number) =>
            atMs > end - BOUNDS.windowMs && atMs <= end;
          const most =
            BOUNDS.ratio * requests.filter(isIn).length + BOUNDS.allowance;
          assert.ok(repeats.filter(isIn).length <= most);
        }
      }),
    );
  });

  it("lets a single entry use the whole allowance but a margin", () => {
    const budget = new RepeatBudget(BOUNDS);
    let spent = 0;
    while (budget.spend("svc", 1, 0)) spent++;
    assert.equal(spent, Math.ceil(0.8 * 54));
    assert.ok(budget.spend("svc", 1, 10_001));
  });
});
