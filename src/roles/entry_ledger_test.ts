import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { HeldReceipts } from "./endpoint_receipts.js";
import { EntryLedger } from "./entry_ledger.js";
import {
  countPlaces,
  createReceipt,
  FakeStore,
  type Fault,
  VirtualClock,
} from "./fake_store_test.js";
import { ReceiptHolders } from "./receipt_holders.js";

const NEVER = new AbortController().signal;

function createCase(faults: Fault[] = [], maxReceipts?: number) {
  const clock = new VirtualClock();
  const store = FakeStore.script(clock, faults);
  const network = { isLive: true, canHold: true, gone: "", asked: [""] };
  const held = new HeldReceipts({
    store,
    clock,
    createId: () => "id",
    endpoint: "gpu-1",
    isProcessLive: () => network.isLive,
    forwardReceipt: async () => false,
  });
  const holders = new ReceiptHolders({
    isHolderLive: (endpoint) => endpoint !== network.gone,
    holdReceipt: async (endpoint, record) => {
      network.asked.push(endpoint);
      await clock.sleep(5);
      if (!network.canHold) return false;
      const { requestId } = record.receipt;
      const receipt = JSON.stringify(record);
      return held.hold({ owner: record.owner, receipt, requestId });
    },
    releaseReceipts: async (_, release) => {
      held.release(release);
      return network.canHold;
    },
  });
  const ledger = new EntryLedger({
    store,
    clock,
    holders,
    entry: "entry1",
    incarnation: "a",
    listHolders: () => ["gpu-2"],
    maxReceipts,
  });
  const add = (requestId: string, padding = 0) =>
    clock.finish(
      ledger.add(
        createReceipt(requestId, padding),
        { holders: ["gpu-1"] },
        NEVER,
      ),
    );
  return { clock, store, held, ledger, network, add };
}

async function passOutage(outageMs: number) {
  const { clock, store, held, ledger, add } = createCase();
  const stop = new AbortController();
  void ledger.start(stop.signal);
  store.isDown = true;
  for (let count = 0; count < 10; count += 1) {
    assert.equal(await add(`r${count}`), "held");
    await clock.run(outageMs / 10);
  }
  assert.equal(countPlaces(store).size, 0);
  const callsInOutage = store.calls;
  store.isDown = false;
  await clock.run(6_000);
  stop.abort();
  assert.deepEqual([...countPlaces(store).values()], Array(10).fill(1));
  assert.equal(held.count, 0, "copies were not released");
  return callsInOutage;
}

describe("entry ledger", () => {
  it("writes a page once although its reply is lost", async () => {
    for (const fault of ["lost-reply", "lost", "late"] as const) {
      const { clock, store, ledger, add } = createCase([fault]);
      assert.equal(await add("r1"), "held");
      assert.ok(await clock.finish(ledger.flush(NEVER)));
      await clock.run(1_000);
      assert.equal(countPlaces(store).get("r1"), 1, fault);
    }
  });

  it("keeps receipts through 60 s without the store and writes them after", async () => {
    await passOutage(60_000);
  });

  it("keeps receipts through an hour without the store at a bounded call rate", async () => {
    const calls = await passOutage(3_600_000);
    assert.ok(calls <= 3_600 / 3, `${calls} store calls in an hour`);
  });

  it("refuses new work when the buffer is full, so that nothing goes unbilled", async () => {
    const { clock, store, ledger, add } = createCase([], 3);
    store.isDown = true;
    for (const requestId of ["r1", "r2", "r3"]) await add(requestId);
    const refusal = ledger.checkRoom();
    assert.ok(refusal?.code === "ledger-full" && refusal.ran === "no");
    store.isDown = false;
    await clock.finish(ledger.flush(NEVER));
    assert.equal(ledger.checkRoom(), undefined);
  });

  it("flushes before the last byte when no endpoint holds a copy", async () => {
    const { store, network, add } = createCase();
    network.canHold = false;
    assert.equal(await add("r1"), "written");
    assert.equal(countPlaces(store).get("r1"), 1);
  });

  it("keeps each page under the store's limit of 1 MB", async () => {
    const { clock, store, ledger, add } = createCase();
    store.isDown = true;
    for (let count = 0; count < 30; count += 1) await add(`r${count}`, 60_000);
    store.isDown = false;
    await clock.finish(ledger.flush(NEVER));
    const pages = store.listAll("ledger/entry1");
    assert.ok(pages.length >= 4);
    for (const { value } of pages) {
      assert.ok(JSON.stringify(value).length < 600_000);
    }
  });

  it("writes its receipts by themselves when a survivor sealed its page", async () => {
    const { clock, store, ledger, add } = createCase();
    await add("r1");
    const seal = { kind: "seal", owner: ledger.owner, page: 1, receipts: [] };
    const key = `ledger/${ledger.owner}/00000001`;
    await clock.finish(
      Promise.resolve(store.write({ key, value: seal, ifVersion: 0 })),
    );
    assert.ok(await clock.finish(ledger.flush(NEVER)));
    assert.ok(store.objects.has("ledger/recovered/r1"));
    assert.equal(ledger.owner, "entry1-a.2");
    await add("r2");
    await clock.finish(ledger.flush(NEVER));
    assert.ok(store.objects.has("ledger/entry1-a.2/00000001"));
    assert.deepEqual([...countPlaces(store).values()], [1, 1]);
  });

  it("hands its receipts over when it stops during an outage", async () => {
    const { clock, store, ledger, held, network, add } = createCase();
    await add("r1");
    store.isDown = true;
    const stop = new AbortController();
    const closed = ledger.close({ holders: ["gpu-1"] }, stop.signal);
    await clock.run(2_000);
    stop.abort();
    await clock.finish(closed);
    network.isLive = false;
    store.isDown = false;
    await clock.run(31_000);
    assert.ok(await clock.finish(held.recoverLost(NEVER)));
    assert.equal(countPlaces(store).get("r1"), 1);
  });

  it("finds a new holder when the first one leaves during an outage", async () => {
    const { clock, store, ledger, network, add } = createCase();
    const stop = new AbortController();
    store.isDown = true;
    void ledger.start(stop.signal);
    await add("r1");
    await clock.run(5_000);
    assert.deepEqual(network.asked.slice(1), ["gpu-1"]);
    network.gone = "gpu-1";
    await clock.run(10_000);
    stop.abort();
    assert.deepEqual(network.asked.slice(1), ["gpu-1", "gpu-2"]);
  });

  it("reports a receipt that would be lost with a stopping entry", async () => {
    const { clock, store, ledger, network } = createCase();
    network.canHold = false;
    store.isDown = true;
    const abandoned = new AbortController();
    const added = ledger.add(
      createReceipt("r1"),
      { holders: ["gpu-1"] },
      abandoned.signal,
    );
    await clock.run(500);
    abandoned.abort();
    assert.equal(await clock.finish(added), "unprotected");
    const closed = ledger.close({ holders: ["gpu-1"] }, abandoned.signal);
    await assert.rejects(clock.finish(closed), /unbilled/);
  });

  it("asserts that no request has two receipts", async () => {
    const { add } = createCase();
    await add("r1");
    await assert.rejects(add("r1"), /billedTwice/);
  });
});

describe("held receipts", () => {
  it("are released after the copy was made, although the page was faster", async () => {
    const { clock, held, ledger } = createCase();
    const options = { holders: ["gpu-1"] };
    const added = ledger.add(createReceipt("r1"), options, NEVER);
    await clock.finish(ledger.flush(NEVER));
    await clock.finish(added);
    await clock.finish(ledger.flush(NEVER));
    assert.equal(held.count, 0);
  });

  it("are not billed again when the owner's page arrives before the seal", async () => {
    const { clock, store, held, ledger, network, add } = createCase();
    await add("r1");
    network.isLive = false;
    await clock.run(31_000);
    const recovered = held.recoverLost(NEVER);
    // The survivor has read that there is no page, and has not yet sealed.
    await clock.run(2);
    const { owner } = ledger;
    const page = {
      kind: "page",
      owner,
      page: 1,
      receipts: [createReceipt("r1")],
    };
    const key = `ledger/${owner}/00000001`;
    store.objects.set(key, { key, version: 1, value: page });
    assert.ok(await clock.finish(recovered));
    assert.equal(countPlaces(store).get("r1"), 1);
    assert.ok(store.objects.has(`ledger/${owner}/00000002`), "not sealed");
  });

  it("recover what a killed owner did not write, and nothing else", async () => {
    const { clock, store, held, ledger, network, add } = createCase();
    await add("r1");
    network.canHold = true;
    await clock.finish(ledger.flush(NEVER));
    await add("r2");
    network.isLive = false;
    await clock.run(29_000);
    await clock.finish(held.recoverLost(NEVER));
    assert.equal(countPlaces(store).get("r2"), undefined, "sealed too early");
    await clock.run(2_000);
    assert.ok(await clock.finish(held.recoverLost(NEVER)));
    assert.deepEqual(
      [...countPlaces(store)],
      [
        ["r1", 1],
        ["r2", 1],
      ],
    );
    assert.equal(held.count, 0);
  });

  it("drop a live owner's copy whose release was lost", async () => {
    const { clock, store, held, ledger, add } = createCase();
    await add("r1");
    await clock.finish(ledger.flush(NEVER));
    const record = {
      owner: ledger.owner,
      fromPage: 1,
      receipt: createReceipt("r1"),
    };
    const receipt = JSON.stringify(record);
    held.hold({ owner: ledger.owner, receipt, requestId: "r1" });
    await clock.run(121_000);
    await clock.finish(held.recoverLost(NEVER));
    assert.equal(held.count, 0);
    assert.equal(store.listAll("ledger/").length, 1, "sealed a live owner");
  });

  it("are written by a stopping endpoint that no other takes over from", async () => {
    const { clock, store, held, network, add } = createCase();
    await add("r1");
    network.isLive = false;
    await clock.finish(held.handOver(NEVER));
    assert.equal(countPlaces(store).get("r1"), 1);
    const request = { owner: "entry1-a.1", receipt: "{}", requestId: "r9" };
    assert.equal(held.hold(request), false, "held while stopping");
  });
});
