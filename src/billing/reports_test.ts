import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { formatCostReport } from "../core/index.js";
import {
  createReceipt,
  FakeStore,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import { readBurnReport, readCostReport } from "./reports.js";
import { SloCounter } from "./slo_counter.js";

const NEVER_ABORTED = new AbortController().signal;
const HOUR_MS = 3_600_000;

function putObject(store: FakeStore, key: string, value: unknown) {
  store.objects.set(key, { key, version: 1, value });
}

function createStore(clock: VirtualClock, pages: number) {
  const store = FakeStore.createScripted(clock);
  const owner = "entry1-a.1";
  for (let page = 1; page <= pages; page += 1) {
    const atMs = clock.now() - (pages - page) * 60_000;
    const receipts = [{ ...createReceipt(`p${page}`), atMs }];
    const key = `ledger/${owner}/${String(page).padStart(8, "0")}`;
    putObject(store, key, { kind: "page", owner, page, receipts });
  }
  const receipt = { ...createReceipt("lost"), atMs: clock.now() };
  putObject(store, "ledger/recovered/lost", { owner, receipt });
  const bill = { ...receipt, requestId: "order", account: "ropes" };
  putObject(store, "claims/ropes/k-1", { state: "done", bill });
  putObject(store, "claims/ropes/k-2", { state: "claimed", quote: bill });
  return store;
}

describe("cost report", () => {
  it("counts pages, recovered receipts and claims, each once", async () => {
    const clock = new VirtualClock();
    const store = createStore(clock, 600);
    const report = await clock.runUntilSettled(
      readCostReport(store, {
        nowMs: clock.now(),
        hours: 1,
        signal: NEVER_ABORTED,
      }),
    );
    const { total, accounts, versions, isComplete } = report._unsafeUnwrap();
    // 61 pages lie in the hour, both ends included.
    assert.deepEqual([total.requests, total.cost], [63, 315]);
    assert.deepEqual(
      accounts.map(({ name, requests }) => [name, requests]),
      [
        ["pumps", 62],
        ["ropes", 1],
      ],
    );
    assert.deepEqual(
      versions.map(({ name, cost }) => [name, cost]),
      [
        ["large-1", 252],
        ["small-1", 63],
      ],
    );
    assert.ok(isComplete && store.calls < 60, `${store.calls} calls`);
    assert.match(formatCostReport(report._unsafeUnwrap()), /large-1 +63/);
  });

  it("is marked incomplete when it reaches its limit of store calls", async () => {
    const clock = new VirtualClock();
    const store = createStore(clock, 100);
    const options = { hours: 9, signal: NEVER_ABORTED, maxCalls: 10 };
    const report = await clock.runUntilSettled(
      readCostReport(store, { ...options, nowMs: clock.now() }),
    );
    assert.equal(report._unsafeUnwrap().isComplete, false);
    assert.ok(store.calls <= 10);
  });
});

describe("service-level counts in the store", () => {
  it("count each request once through lost replies and an outage", async () => {
    const clock = new VirtualClock();
    const store = FakeStore.createScripted(clock, [
      "lost-reply",
      "late",
      "none",
    ]);
    const counter = new SloCounter({ store, clock, source: "entry1-a" });
    const stop = new AbortController();
    void counter.start(stop.signal);
    const names = { requestClass: "chat", version: "v1", dataCentre: "dc1" };
    const flags = { failed: false, slow: true, total: 1 as const };
    for (let count = 0; count < 200; count += 1) {
      const atMs = clock.now();
      counter.add({ atMs, account: "pumps", ...names, ...flags });
      store.isDown = count > 50 && count < 150;
      await clock.advance(60_000);
    }
    stop.abort();
    await clock.runUntilSettled(counter.close(NEVER_ABORTED));
    await clock.runUntilSettled(counter.close(new AbortController().signal));
    const objectives = { "*": { availability: 0.99, latencyMs: 100 } };
    const options = { nowMs: clock.now(), hours: 72, signal: NEVER_ABORTED };
    const report = await clock.runUntilSettled(
      readBurnReport(store, objectives, options),
    );
    const [latency, availability] = report._unsafeUnwrap().objectives;
    assert.deepEqual([latency?.kind, latency?.bad], ["latency", 200]);
    assert.deepEqual([availability?.total, availability?.bad], [200, 0]);
    assert.ok(latency && latency.hours.length >= 200 / 60);
    assert.ok(latency.hours.every(({ atMs }) => atMs % HOUR_MS === 0));
  });
});
