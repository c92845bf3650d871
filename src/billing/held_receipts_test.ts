import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  countReceiptCopies,
  createReceipt,
} from "../runtime/fake_store_test.js";
import { createLedgerCase, NEVER_ABORTED } from "./ledger_fixtures_test.js";

describe("held receipts", () => {
  it("are released after the copy was made, although the page was written before", async () => {
    const { clock, held, ledger } = createLedgerCase();
    const options = { holders: ["gpu-1"] };
    const added = ledger.add(createReceipt("r1"), options, NEVER_ABORTED);
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    await clock.runUntilSettled(added);
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    assert.equal(held.count, 0);
  });

  it("are not billed again when the owner's page arrives before the seal", async () => {
    const { clock, store, held, ledger, network, add } = createLedgerCase();
    await add("r1");
    network.isLive = false;
    await clock.advance(31_000);
    const recovered = held.recoverLostOwners(NEVER_ABORTED);
    // Recovery has listed the pages, found none, and not yet written the seal.
    await clock.advance(2);
    const { owner } = ledger;
    const page = {
      kind: "page",
      owner,
      page: 1,
      receipts: [createReceipt("r1")],
    };
    const key = `ledger/${owner}/00000001`;
    store.objects.set(key, { key, version: 1, value: page });
    assert.ok(await clock.runUntilSettled(recovered));
    assert.equal(countReceiptCopies(store).get("r1"), 1);
    assert.ok(store.objects.has(`ledger/${owner}/00000002`), "not sealed");
  });

  it("are recovered after the owner was killed, unless it wrote them", async () => {
    const { clock, store, held, ledger, network, add } = createLedgerCase();
    await add("r1");
    network.canHold = true;
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    await add("r2");
    network.isLive = false;
    await clock.advance(29_000);
    await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED));
    assert.equal(
      countReceiptCopies(store).get("r2"),
      undefined,
      "sealed too early",
    );
    await clock.advance(2_000);
    assert.ok(
      await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED)),
    );
    assert.deepEqual(
      [...countReceiptCopies(store)],
      [
        ["r1", 1],
        ["r2", 1],
      ],
    );
    assert.equal(held.count, 0);
  });

  // If the endpoint ends before the recovery, the only copies are lost.
  it("are recovered at once when the owner's next start attaches", async () => {
    const { clock, store, held, network, add } = createLedgerCase();
    await add("r1");
    network.isLive = false;
    await clock.advance(1_000);
    await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED));
    assert.equal(countReceiptCopies(store).get("r1"), undefined);
    network.isReplaced = true;
    store.isDown = true;
    assert.ok(
      !(await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED))),
    );
    // The next start has ended as well.
    network.isReplaced = false;
    store.isDown = false;
    assert.ok(
      await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED)),
    );
    assert.equal(countReceiptCopies(store).get("r1"), 1);
    assert.equal(held.count, 0);
  });

  it("are dropped once written although the live owner's release was lost", async () => {
    const { clock, store, held, ledger, add } = createLedgerCase();
    await add("r1");
    await clock.runUntilSettled(ledger.flush(NEVER_ABORTED));
    const record = {
      owner: ledger.owner,
      fromPage: 1,
      receipt: createReceipt("r1"),
    };
    const receipt = JSON.stringify(record);
    held.hold({ owner: ledger.owner, receipt, requestId: "r1" });
    await clock.advance(121_000);
    await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED));
    assert.equal(held.count, 0);
    assert.equal(store.listAll("ledger/").length, 1, "sealed a live owner");
  });

  it("are written by a stopping endpoint when no other takes them over", async () => {
    const { clock, store, held, network, add } = createLedgerCase();
    await add("r1");
    network.isLive = false;
    await clock.runUntilSettled(held.handOver(NEVER_ABORTED));
    assert.equal(countReceiptCopies(store).get("r1"), 1);
    const request = { owner: "entry1-a.1", receipt: "{}", requestId: "r9" };
    assert.equal(held.hold(request), false, "held while stopping");
  });

  it("cause store calls at a bounded rate in a long outage", async () => {
    const { clock, store, held, add } = createLedgerCase();
    await add("r1");
    const stop = new AbortController();
    store.isDown = true;
    const before = store.calls;
    void held.start(stop.signal);
    await clock.advance(3_600_000);
    stop.abort();
    const calls = store.calls - before;
    assert.ok(calls <= 30, `${calls} store calls of one endpoint in an hour`);
    assert.equal(held.count, 1);
  });
});
