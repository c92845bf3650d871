import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatSource, RatingTotals } from "./rating_totals.js";

const KEY = { requestClass: "chat", version: "small-1" };

describe("rating totals", () => {
  it("add nothing when a report is repeated or older than known", () => {
    const totals = new RatingTotals();
    const source = formatSource("e1", 1_000);
    const report = { ...KEY, source, accepted: 3, rejected: 1 };
    assert.deepEqual(totals.merge(report), {
      ...KEY,
      accepted: 3,
      rejected: 1,
    });
    assert.equal(totals.merge(report), undefined);
    assert.equal(totals.merge({ ...report, accepted: 2 }), undefined);
    const later = totals.merge({ ...report, accepted: 5 });
    assert.deepEqual(later, { ...KEY, accepted: 2, rejected: 0 });
  });

  it("keep only the latest run of a process, so that they stay bounded", () => {
    const totals = new RatingTotals();
    const count = { ...KEY, accepted: 1, rejected: 0 };
    const [first, second] = [formatSource("e1", 1), formatSource("e1", 40)];
    totals.merge({ ...count, source: first });
    totals.merge({ ...count, source: second });
    assert.equal(totals.merge({ ...count, source: first }), undefined);
    assert.deepEqual(totals.takeChangesFor("e2"), [
      { ...count, source: second },
    ]);
  });

  it("are sent in bounded messages and once to each process", () => {
    const totals = new RatingTotals();
    for (let index = 0; index < 120; index++) {
      const version = `v${index}`;
      totals.add("e1", { ...KEY, version, accepted: 1, rejected: 0 });
    }
    const sizes = [1, 2, 3, 4].map(() => totals.takeChangesFor("e2").length);
    assert.deepEqual(sizes, [50, 50, 20, 0]);
  });

  it("drop new totals when the table is full, and count none twice", () => {
    const totals = new RatingTotals();
    for (let index = 0; index <= 32_768; index++) {
      const version = `v${index}`;
      totals.add("e1", { ...KEY, version, accepted: 1, rejected: 0 });
    }
    assert.equal(totals.dropped, 1);
  });
});
