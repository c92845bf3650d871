import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computePageIntervalMs } from "./receipts.js";

describe("the time between ledger pages", () => {
  it("is a second in a small fleet", () => {
    assert.equal(computePageIntervalMs(4), 1_000);
  });

  it("keeps 380 entries within 20 pages a second, not 380", () => {
    const pagesPerSecond = 380 / (computePageIntervalMs(380) / 1_000);
    assert.ok(pagesPerSecond <= 20, `${pagesPerSecond} pages a second`);
  });
});
