import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { renderBurnHtml } from "./burn_html.js";
import { BurnTotals } from "./burn_report.js";
import { formatBurnReport } from "./burn_text.js";
import { getHour, HOUR_MS, type SloEvent, SloHour } from "./slo_counts.js";

const NOW_MS = 500_000 * HOUR_MS;
const MINUTE_MS = 60_000;

function createEvent(part: Partial<SloEvent> = {}): SloEvent {
  return {
    atMs: NOW_MS - MINUTE_MS,
    account: "pumps",
    requestClass: "chat",
    version: "small-1",
    dataCentre: "dc1",
    total: 1,
    failed: false,
    slow: false,
    ...part,
  };
}

function createReport(events: SloEvent[], account = "pumps") {
  const objective = { availability: 0.99, latencyMs: 900, quality: 0.9 };
  const period = { fromMs: NOW_MS - 72 * HOUR_MS, toMs: NOW_MS };
  const totals = new BurnTotals(period, { [account]: objective });
  const hours = new Map<number, SloHour>();
  for (const event of events) {
    const number = getHour(event.atMs);
    const hour = hours.get(number) ?? new SloHour(number);
    hours.set(number, hour);
    hour.add(event);
  }
  for (const hour of hours.values()) totals.add(hour.createDocument("entry1"));
  return totals.createReport(true);
}

describe("burn report", () => {
  it("fires only while the short window is over the threshold too, so the alert ends with the fault", () => {
    const failed = createEvent({ failed: true });
    const past = createEvent({ failed: true, atMs: NOW_MS - 40 * MINUTE_MS });
    const getWindow = (events: SloEvent[]) =>
      createReport(events).objectives.find((o) => o.kind === "availability")
        ?.windows[0];
    const now = getWindow([failed, createEvent(), createEvent()]);
    assert.ok(now?.isFiring && Math.abs(now.longRate - 100 / 3) < 1e-9);
    const over = getWindow([past, createEvent(), createEvent()]);
    assert.ok(over && over.longRate > 14.4 && !over.isFiring);
  });

  it("names the versions and data centres with the most bad requests", () => {
    const bad = { version: "small-2", dataCentre: "dc2", failed: true };
    const report = createReport([
      createEvent(),
      ...Array.from({ length: 3 }, () => createEvent(bad)),
      createEvent({ failed: true }),
    ]);
    const burn = report.objectives.find((o) => o.kind === "availability");
    assert.deepEqual(burn?.versions[0], {
      name: "small-2",
      total: 3,
      bad: 3,
      share: 0.75,
    });
    assert.equal(burn?.dataCentres[0]?.name, "dc2");
    assert.ok(burn && Math.abs(burn.budgetLeft - (1 - 80)) < 1e-9);
  });

  it("measures quality over rated answers only, since most are never rated", () => {
    const rating = { total: 0, acceptable: false } as const;
    const report = createReport([
      ...Array.from({ length: 98 }, () => createEvent()),
      createEvent({ acceptable: true }),
      createEvent(rating),
    ]);
    const burn = report.objectives.find((o) => o.kind === "quality");
    assert.deepEqual([burn?.total, burn?.bad], [2, 1]);
  });

  it("leaves out accounts without an objective unless there is one for *", () => {
    assert.equal(createReport([createEvent()], "ropes").objectives.length, 0);
    const rated = createEvent({ acceptable: true });
    assert.equal(createReport([rated], "*").objectives.length, 3);
  });

  it("escapes names in the page, so that no script in them runs", () => {
    const report = createReport(
      [createEvent({ account: "<script>x", version: "a&b", failed: true })],
      "*",
    );
    const html = renderBurnHtml(report);
    assert.ok(!html.includes("<script") && html.includes("&lt;script&gt;x"));
    assert.ok(html.includes("<polyline") && !/(src|href)=/.test(html));
    assert.match(formatBurnReport(report), /availability: target 99\.0%/);
  });
});

describe("service-level counts", () => {
  it("stay under the store's size limit however many names requests use", () => {
    const hour = new SloHour(getHour(NOW_MS));
    const total = 100_000;
    for (let count = 0; count < total; count += 1) {
      const account = `account-${count % 5_000}`;
      const atMs = NOW_MS + (count % 60) * MINUTE_MS;
      const version = `version-${count % 4_000}`;
      hour.add(createEvent({ account, version, atMs }));
    }
    const document = hour.createDocument("entry1");
    assert.ok(JSON.stringify(document).length < 1_000_000);
    const minutes = document.series.flatMap((series) => series.minutes);
    const sum = minutes.reduce((all, minute) => all + (minute[1] ?? 0), 0);
    assert.equal(sum, total, "requests went uncounted");
  });
});
