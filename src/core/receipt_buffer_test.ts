import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computePageIntervalMs } from "./receipt_buffer.js";

describe("interval of ledger pages", () => {
  it("is a second in a small fleet", () => {
    assert.equal(computePageIntervalMs(4), 1_000);
  });

  it("limits 380 entries together to 20 pages per second", () => {
    const pagesPerSecond = 380 / (computePageIntervalMs(380) / 1_000);
    assert.ok(pagesPerSecond <= 20, `${pagesPerSecond} pages a second`);
  });
});
