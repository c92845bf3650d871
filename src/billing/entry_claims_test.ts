import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  FakeStore,
  type StoreFault,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import { type AttemptReport, createAttemptReport } from "./claim_outcomes.js";
import { HeldReceipts } from "./endpoint_receipts.js";
import {
  ANSWER,
  createEntry,
  createOrder,
  NEVER,
  readClaims,
} from "./fake_orders_test.js";

function createCase(faults: StoreFault[], report: AttemptReport) {
  const clock = new VirtualClock();
  const store = FakeStore.createScripted(clock, faults);
  const lookUpAttempt = async () => report;
  return { clock, store, ...createEntry({ clock, store, lookUpAttempt }) };
}

describe("order claims", () => {
  it("takes its own claim after a lost reply, so the order is not stuck", async () => {
    const { clock, keeper } = createCase(["lost-reply"], { kind: "running" });
    const outcome = await clock.runUntilSettled(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.equal(outcome.kind, "acquired");
  });

  it("refuses at once with ran no when the store is down before the claim", async () => {
    const { clock, store, keeper } = createCase([], { kind: "running" });
    store.isDown = true;
    const startMs = clock.now();
    const outcome = await clock.runUntilSettled(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.ok(outcome.kind === "refused" && outcome.refusal.ran === "no");
    assert.ok(outcome.refusal.retryAfterMs > 0);
    assert.ok(clock.now() - startMs <= 100, "held back the refusal");
  });

  it("refuses a key with another body, also after the order is done", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    const first = await clock.runUntilSettled(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    await clock.runUntilSettled(keeper.complete(first.stored, ANSWER, NEVER));
    const other = await clock.runUntilSettled(
      keeper.acquire({ ...order, bodySha256: "b2" }, NEVER),
    );
    assert.ok(other.kind === "refused" && other.refusal.code === "key-reused");
    const again = await clock.runUntilSettled(keeper.acquire(order, NEVER));
    assert.ok(again.kind === "done" && again.answer.status === 201);
  });

  it("makes a claim unknown for good at another epoch, so nothing runs twice", async () => {
    const { clock, store, keeper } = createCase([], { kind: "other-epoch" });
    const order = createOrder(clock);
    await clock.runUntilSettled(keeper.acquire(order, NEVER));
    for (const requestId of ["r2", "r3"]) {
      const outcome = await clock.runUntilSettled(
        keeper.acquire({ ...order, requestId }, NEVER),
      );
      assert.ok(outcome.kind === "unknown" && outcome.refusal.ran !== "no");
    }
    assert.equal(readClaims(store)[0]?.state, "unknown");
  });

  it("joins a running attempt until the deadline and no longer", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    await clock.runUntilSettled(keeper.acquire(order, NEVER));
    const outcome = await clock.runUntilSettled(
      keeper.acquire({ ...order, requestId: "r2" }, NEVER),
    );
    assert.ok(
      outcome.kind === "refused" && outcome.refusal.code === "in-progress",
    );
    assert.ok(clock.now() <= order.deadlineAtMs + 200);
  });

  it("answers while the store is down and bills after it returns", async () => {
    const { clock, store, keeper, pending } = createCase([], {
      kind: "running",
    });
    const first = await clock.runUntilSettled(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.ok(first.kind === "acquired");
    store.isDown = true;
    const kept = await clock.runUntilSettled(
      keeper.complete(first.stored, ANSWER, NEVER),
    );
    assert.equal(kept, "pending");
    store.isDown = false;
    assert.ok(await clock.runUntilSettled(pending.flush(NEVER)));
    assert.equal(readClaims(store)[0]?.bill?.cost, 2);
  });

  it("bills an order whose entry is killed in the outage, from the endpoint", async () => {
    const clock = new VirtualClock();
    const store = FakeStore.createScripted(clock);
    const held = new HeldReceipts({
      store,
      clock,
      createId: () => "survivor",
      endpoint: "orders-1",
      isProcessLive: () => false,
      forwardReceipt: async () => false,
    });
    const { keeper } = createEntry({
      clock,
      store,
      lookUpAttempt: async () => ({ kind: "running" }),
      holdReceipt: async (_, record) => {
        const { requestId } = record.receipt;
        const receipt = JSON.stringify(record);
        return held.hold({ owner: record.owner, receipt, requestId });
      },
    });
    const first = await clock.runUntilSettled(
      keeper.acquire(createOrder(clock), NEVER),
    );
    assert.ok(first.kind === "acquired");
    store.isDown = true;
    await clock.runUntilSettled(keeper.complete(first.stored, ANSWER, NEVER));
    await clock.advance(31_000);
    assert.equal(await clock.runUntilSettled(held.recoverLost(NEVER)), false);
    store.isDown = false;
    assert.equal(await clock.runUntilSettled(held.recoverLost(NEVER)), true);
    const claim = readClaims(store)[0];
    assert.deepEqual([claim?.state, claim?.bill?.cost], ["done", 2]);
    assert.equal(store.listAll("ledger/").length, 0, "billed twice");
  });

  it("bills an answer that arrives after the claim became unknown", async () => {
    const { clock, store, keeper } = createCase([], { kind: "gone" });
    const order = createOrder(clock);
    const first = await clock.runUntilSettled(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    await clock.runUntilSettled(
      keeper.acquire({ ...order, requestId: "r2" }, NEVER),
    );
    await clock.runUntilSettled(keeper.complete(first.stored, ANSWER, NEVER));
    const claim = readClaims(store)[0];
    assert.deepEqual([claim?.state, claim?.bill?.cost], ["unknown", 2]);
  });

  it("never gives part of an answer that is too long to keep", async () => {
    const { clock, keeper } = createCase([], { kind: "running" });
    const order = createOrder(clock);
    const first = await clock.runUntilSettled(keeper.acquire(order, NEVER));
    assert.ok(first.kind === "acquired");
    const long = { ...ANSWER, body: new Uint8Array(64 * 1024 + 1) };
    await clock.runUntilSettled(keeper.complete(first.stored, long, NEVER));
    const again = await clock.runUntilSettled(keeper.acquire(order, NEVER));
    assert.ok(again.kind === "refused" && again.refusal.ran === "yes");
  });

  it("takes a gate's refusal with ran no as not started", () => {
    const frame = { requestId: "r1", attempt: 1, sequence: 0 };
    const refusal = {
      code: "capacity",
      ran: "no",
      detail: "",
      retryAfterMs: 0,
      revision: 1,
    };
    const reply = { state: "ended", lastFrame: { ...frame, refusal } };
    assert.equal(createAttemptReport(reply).kind, "revoked");
    const lost = { state: "ended", lastFrame: undefined };
    assert.equal(createAttemptReport(lost).kind, "failed");
  });
});
