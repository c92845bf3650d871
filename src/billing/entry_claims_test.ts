import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  FakeStore,
  type StoreFault,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import {
  ANSWER,
  createAcquireRequest,
  createEntryClaims,
  NEVER_ABORTED,
  readClaims,
} from "./claim_fixtures_test.js";
import { type AttemptReport, createAttemptReport } from "./claim_outcomes.js";
import { HeldReceipts } from "./held_receipts.js";

function createCase(faults: StoreFault[], report: AttemptReport) {
  const clock = new VirtualClock();
  const store = FakeStore.createScripted(clock, faults);
  const lookUpAttempt = async () => report;
  return {
    clock,
    store,
    ...createEntryClaims({ clock, store, lookUpAttempt }),
  };
}

describe("entry claims", () => {
  it("recognises its own claim after a lost reply, so the key is not blocked", async () => {
    const { clock, claims } = createCase(["lost-reply"], { kind: "running" });
    const outcome = await clock.runUntilSettled(
      claims.acquire(createAcquireRequest(clock), NEVER_ABORTED),
    );
    assert.equal(outcome.kind, "acquired");
  });

  it("refuses at once as not run when the store is down before the claim", async () => {
    const { clock, store, claims } = createCase([], { kind: "running" });
    store.isDown = true;
    const startMs = clock.now();
    const outcome = await clock.runUntilSettled(
      claims.acquire(createAcquireRequest(clock), NEVER_ABORTED),
    );
    assert.ok(outcome.kind === "refused" && outcome.refusal.ran === "no");
    assert.ok(outcome.refusal.retryAfterMs > 0);
    assert.ok(clock.now() - startMs <= 100, "the refusal was delayed");
  });

  it("refuses a key with another body, also after the request is done", async () => {
    const { clock, claims } = createCase([], { kind: "running" });
    const request = createAcquireRequest(clock);
    const first = await clock.runUntilSettled(
      claims.acquire(request, NEVER_ABORTED),
    );
    assert.ok(first.kind === "acquired");
    await clock.runUntilSettled(
      claims.complete(first.stored, ANSWER, NEVER_ABORTED),
    );
    const other = await clock.runUntilSettled(
      claims.acquire({ ...request, bodySha256: "b2" }, NEVER_ABORTED),
    );
    assert.ok(other.kind === "refused" && other.refusal.code === "key-reused");
    const again = await clock.runUntilSettled(
      claims.acquire(request, NEVER_ABORTED),
    );
    assert.ok(again.kind === "done" && again.answer.status === 201);
  });

  it("keeps a claim unknown after the gate's restart, so nothing runs twice", async () => {
    const { clock, store, claims } = createCase([], { kind: "other-epoch" });
    const request = createAcquireRequest(clock);
    await clock.runUntilSettled(claims.acquire(request, NEVER_ABORTED));
    for (const requestId of ["r2", "r3"]) {
      const outcome = await clock.runUntilSettled(
        claims.acquire({ ...request, requestId }, NEVER_ABORTED),
      );
      assert.ok(outcome.kind === "unknown" && outcome.refusal.ran !== "no");
    }
    assert.equal(readClaims(store)[0]?.state, "unknown");
  });

  it("joins a running attempt until the deadline and no longer", async () => {
    const { clock, claims } = createCase([], { kind: "running" });
    const request = createAcquireRequest(clock);
    await clock.runUntilSettled(claims.acquire(request, NEVER_ABORTED));
    const outcome = await clock.runUntilSettled(
      claims.acquire({ ...request, requestId: "r2" }, NEVER_ABORTED),
    );
    assert.ok(
      outcome.kind === "refused" && outcome.refusal.code === "in-progress",
    );
    assert.ok(clock.now() <= request.deadlineAtMs + 200);
  });

  it("answers while the store is down and bills after it returns", async () => {
    const { clock, store, claims, pending } = createCase([], {
      kind: "running",
    });
    const first = await clock.runUntilSettled(
      claims.acquire(createAcquireRequest(clock), NEVER_ABORTED),
    );
    assert.ok(first.kind === "acquired");
    store.isDown = true;
    const kept = await clock.runUntilSettled(
      claims.complete(first.stored, ANSWER, NEVER_ABORTED),
    );
    assert.equal(kept, "pending");
    store.isDown = false;
    assert.ok(await clock.runUntilSettled(pending.flush(NEVER_ABORTED)));
    assert.equal(readClaims(store)[0]?.bill?.cost, 2);
  });

  it("bills from the endpoint's copy when the entry is killed in an outage", async () => {
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
    const { claims } = createEntryClaims({
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
      claims.acquire(createAcquireRequest(clock), NEVER_ABORTED),
    );
    assert.ok(first.kind === "acquired");
    store.isDown = true;
    await clock.runUntilSettled(
      claims.complete(first.stored, ANSWER, NEVER_ABORTED),
    );
    await clock.advance(31_000);
    assert.equal(
      await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED)),
      false,
    );
    store.isDown = false;
    assert.equal(
      await clock.runUntilSettled(held.recoverLostOwners(NEVER_ABORTED)),
      true,
    );
    const claim = readClaims(store)[0];
    assert.deepEqual([claim?.state, claim?.bill?.cost], ["done", 2]);
    assert.equal(store.listAll("ledger/").length, 0, "billed twice");
  });

  it("bills an answer that arrives after the claim became unknown", async () => {
    const { clock, store, claims } = createCase([], { kind: "gone" });
    const request = createAcquireRequest(clock);
    const first = await clock.runUntilSettled(
      claims.acquire(request, NEVER_ABORTED),
    );
    assert.ok(first.kind === "acquired");
    await clock.runUntilSettled(
      claims.acquire({ ...request, requestId: "r2" }, NEVER_ABORTED),
    );
    await clock.runUntilSettled(
      claims.complete(first.stored, ANSWER, NEVER_ABORTED),
    );
    const claim = readClaims(store)[0];
    assert.deepEqual([claim?.state, claim?.bill?.cost], ["unknown", 2]);
  });

  it("never gives part of an answer that is too long to keep", async () => {
    const { clock, claims } = createCase([], { kind: "running" });
    const request = createAcquireRequest(clock);
    const first = await clock.runUntilSettled(
      claims.acquire(request, NEVER_ABORTED),
    );
    assert.ok(first.kind === "acquired");
    const long = { ...ANSWER, body: new Uint8Array(64 * 1024 + 1) };
    await clock.runUntilSettled(
      claims.complete(first.stored, long, NEVER_ABORTED),
    );
    const again = await clock.runUntilSettled(
      claims.acquire(request, NEVER_ABORTED),
    );
    assert.ok(again.kind === "refused" && again.refusal.ran === "yes");
  });

  it("treats a gate's refusal as not run as an attempt not started", () => {
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
