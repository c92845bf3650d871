import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  countReceiptCopies,
  createReceipt,
} from "../runtime/fake_store_test.js";
import { createLedgerCase, NEVER_ABORTED } from "./ledger_fixtures_test.js";

async function runOutage(outageMs: number) {
  const { clock, store, held, ledger, add } = createLedgerCase();
  const stop = new AbortController();
  void ledger.start(stop.signal);
  store.isDown = true;
  for (let count = 0; count < 10; count += 1) {
    assert.equal(await add(`r${count}`), "held");
    await clock.advance(outageMs / 10);
  }
  assert.equal(countReceiptCopies(store).size, 0);
  const callsInOutage = store.calls;
  store.isDown = false;
  await clock.advance(6_000);
  stop.abort();
  assert.deepEqual([...countReceiptCopies(store).values()], Array(10).fill(1));
  assert.equal(held.count, 0, "copies were not released");
  return callsInOutage;
}

describe("entry ledger", () => {
  it("writes a page once although its reply is lost", async () => {
    for (const fault of ["lost-reply", "lost", "late"] as const) {
      const { clock, store, ledger, add } = createLedgerCase([fault]);
      assert.equal(await add("r1"), "held");
      assert.ok(await clock.runUntilSettled(ledger.flush(NEVER_ABORTED)));
      await clock.advance(1_000);
      assert.equal(countReceiptCopies(store).get("r1"), 1, fault);
    }
  });

  it("keeps receipts through 60 s without the store and writes them after", async () => {
    await runOutage(60_000);
  });

  it("keeps receipts through an hour without the store at a bounded call rate", async () => {
    const calls = await runOutage(3_600_000);
    assert.ok(calls <= 3_600 / 3, `${calls} store calls in an hour`);
  });

  it("refuses new work when the buffer is full, so that no receipt is lost", async () => {
    const { clock, store, ledger, add } = createLedgerCase([], 3);
    store.isDown = true;
    for (const requestId of ["r1", "r2", "r3"]) await add(requestId);
    const refusal = ledger.checkRoom();
    assert.ok(refusal?.code === "ledger-full" && refusal.ran === "no");
    store.isDown = false;
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    assert.equal(ledger.checkRoom(), undefined);
  });

  it("flushes before the last byte when no endpoint holds a copy", async () => {
    const { store, network, add } = createLedgerCase();
    network.canHold = false;
    assert.equal(await add("r1"), "written");
    assert.equal(countReceiptCopies(store).get("r1"), 1);
  });

  it("writes a page a second under a steady load, not one per store call", async () => {
    const { clock, store, ledger } = createLedgerCase();
    const stop = new AbortController();
    void ledger.start(stop.signal);
    for (let count = 0; count < 1_000; count += 1) {
      const options = { holders: ["gpu-1"] };
      void ledger.add(createReceipt(`r${count}`), options, NEVER_ABORTED);
      await clock.advance(10);
    }
    await clock.advance(2_000);
    stop.abort();
    assert.equal(countReceiptCopies(store).size, 1_000);
    assert.ok(store.calls <= 13, `${store.calls} store calls in 12 s`);
  });

  it("keeps each page under the store's limit of 1 MB", async () => {
    const { clock, store, ledger, add } = createLedgerCase();
    store.isDown = true;
    for (let count = 0; count < 30; count += 1) await add(`r${count}`, 60_000);
    store.isDown = false;
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    const pages = store.listAll("ledger/entry1");
    assert.ok(pages.length >= 4);
    for (const { value } of pages) {
      assert.ok(JSON.stringify(value).length < 600_000);
    }
  });

  it("writes its receipts one by one after an endpoint sealed its pages", async () => {
    const { clock, store, ledger, add } = createLedgerCase();
    await add("r1");
    const seal = { kind: "seal", owner: ledger.owner, page: 1, receipts: [] };
    const key = `ledger/${ledger.owner}/00000001`;
    await clock.runUntilSettled(
      Promise.resolve(store.write({ key, value: seal, ifVersion: 0 })),
    );
    assert.ok(await clock.runUntilSettled(ledger.flush(NEVER_ABORTED)));
    assert.ok(store.objects.has("ledger/recovered/r1"));
    assert.equal(ledger.owner, "entry1-a.2");
    await add("r2");
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    assert.ok(store.objects.has("ledger/entry1-a.2/00000001"));
    assert.deepEqual([...countReceiptCopies(store).values()], [1, 1]);
  });

  it("hands its receipts over when it stops during an outage", async () => {
    const { clock, store, ledger, held, network, add } = createLedgerCase();
    await add("r1");
    store.isDown = true;
    const stop = new AbortController();
    const closed = ledger.close({ holders: ["gpu-1"] }, stop.signal);
    await clock.advance(2_000);
    stop.abort();
    await clock.runUntilSettled(closed);
    network.isLive = false;
    store.isDown = false;
    await clock.advance(31_000);
    assert.ok(
      await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED)),
    );
    assert.equal(countReceiptCopies(store).get("r1"), 1);
  });

  // An entry and one holder may both end before the store is back.
  it("finds a second holder during an outage, and a new one when the first leaves", async () => {
    const { clock, store, ledger, network, add } = createLedgerCase();
    const stop = new AbortController();
    store.isDown = true;
    void ledger.start(stop.signal);
    await add("r1");
    await clock.advance(5_000);
    assert.deepEqual(network.askedEndpoints.slice(1), ["gpu-1", "gpu-2"]);
    network.goneEndpoint = "gpu-1";
    await clock.advance(10_000);
    stop.abort();
    assert.deepEqual(network.askedEndpoints.slice(1), [
      "gpu-1",
      "gpu-2",
      "gpu-3",
    ]);
  });

  // The restarted process has the same endpoint name and no copy.
  it("finds a new holder when the first one's process was restarted in an outage", async () => {
    const { clock, store, ledger, network, add } = createLedgerCase();
    const stop = new AbortController();
    store.isDown = true;
    void ledger.start(stop.signal);
    await add("r1");
    network.epoch = 2;
    await clock.advance(10_000);
    stop.abort();
    assert.deepEqual(network.askedEndpoints.slice(1), [
      "gpu-1",
      "gpu-2",
      "gpu-3",
    ]);
  });

  it("reports a receipt that would be lost with a stopping entry", async () => {
    const { clock, store, ledger, network } = createLedgerCase();
    network.canHold = false;
    store.isDown = true;
    const abandoned = new AbortController();
    const added = ledger.add(
      createReceipt("r1"),
      { holders: ["gpu-1"] },
      abandoned.signal,
    );
    await clock.advance(500);
    abandoned.abort();
    assert.equal(await clock.runUntilSettled(added), "unprotected");
    const closed = ledger.close({ holders: ["gpu-1"] }, abandoned.signal);
    await assert.rejects(clock.runUntilSettled(closed), /unbilled/);
  });

  it("asserts that no request has two receipts", async () => {
    const { add } = createLedgerCase();
    await add("r1");
    await assert.rejects(add("r1"), /billedTwice/);
  });
});
