import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Priority } from "../schema/index.js";
import { AdmissionQueue } from "./admission_queue.js";
import type { PendingRequest } from "./pending_requests.js";
import { RetryBudget } from "./retry_budget.js";

let requestCount = 0;

function createPending(
  account: string,
  priority: Priority = "interactive",
  deadlineAtMs = 10_000,
): PendingRequest {
  return {
    request: {
      id: `r${++requestCount}`,
      account,
      requestClass: "chat",
      kind: "model",
      service: "",
      idempotent: true,
      priority,
      deadlineAtMs,
      candidates: [],
      promptTokens: 1,
    },
    submittedAtMs: 0,
    attempt: 0,
    stepAttempts: 0,
    steps: [],
    failedEndpoints: new Set(),
    mayHaveRun: false,
  };
}

/** Takes up to `count` requests in turn; each counts the same work. */
function takeInTurn(queue: AdmissionQueue, count: number) {
  const taken: PendingRequest[] = [];
  for (let i = 0; i < count; i++) {
    const next = queue.peek("t");
    if (next === undefined) break;
    queue.remove("t", next);
    queue.charge(next.request.account, 100);
    taken.push(next);
  }
  return taken;
}

describe("admission queue", () => {
  // Guards against urgent requests that wait behind batch work.
  it("serves by priority first and by deadline within an account", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    queue.add("t", createPending("a", "batch"));
    queue.add("t", createPending("a", "interactive", 9_000));
    queue.add("t", createPending("a", "interactive", 3_000));
    queue.add("t", createPending("a", "urgent"));
    const order = takeInTurn(queue, 4).map(({ request }) => [
      request.priority,
      request.deadlineAtMs,
    ]);
    assert.deepEqual(order, [
      ["urgent", 10_000],
      ["interactive", 3_000],
      ["interactive", 9_000],
      ["batch", 10_000],
    ]);
  });

  // Guards against one account that takes all capacity under overload.
  it("shares capacity by weight, whatever the number of requests", () => {
    const queue = new AdmissionQueue({
      getWeight: (account) => (account === "heavy" ? 3 : 1),
    });
    for (let i = 0; i < 90; i++) queue.add("t", createPending("greedy"));
    for (let i = 0; i < 40; i++) queue.add("t", createPending("heavy"));
    const taken = takeInTurn(queue, 40);
    const heavy = taken.filter(({ request }) => request.account === "heavy");
    assert.ok(Math.abs(heavy.length - 30) <= 2, `${heavy.length} of 40`);
  });

  // Guards against an account that collects turns while it is idle.
  it("gives an account no credit for idle time", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    for (let i = 0; i < 60; i++) queue.add("t", createPending("busy"));
    takeInTurn(queue, 40);
    for (let i = 0; i < 20; i++) queue.add("t", createPending("idle"));
    const idle = takeInTurn(queue, 10).filter(
      (p) => p.request.account === "idle",
    );
    assert.ok(idle.length <= 6, `${idle.length} of 10`);
  });

  // Guards against a fixed Retry-After, with which callers retry too early.
  it("computes Retry-After from the queue's length and departure rate", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    for (let i = 0; i < 20; i++) queue.add("t", createPending("a"));
    for (let i = 1; i <= 5; i++) queue.recordDeparture("t", i * 100);
    const shortQueueMs = queue.computeRetryAfterMs("t", createPending("a"));
    for (let i = 0; i < 20; i++) queue.add("t", createPending("a"));
    const longQueueMs = queue.computeRetryAfterMs("t", createPending("a"));
    assert.equal(shortQueueMs, 2_100);
    assert.equal(longQueueMs, 4_100);
  });
});

describe("retry budget", () => {
  const ended = {
    idempotent: true,
    ran: "yes",
    delivered: false,
    stepAttempts: 1,
  } as const;

  // Guards against retries that double the load of an outage.
  it("keeps retries near a tenth of the requests", () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let i = 0; i < 5_000; i++) {
      budget.earn();
      if (budget.spend(ended)) retries++;
    }
    assert.ok(retries <= 550, `${retries} of 5,000`);
    assert.ok(retries >= 450, `${retries} of 5,000`);
  });

  // Guards against a second run of a non-idempotent call.
  it("retries a non-idempotent call only when it did not run", () => {
    const budget = new RetryBudget();
    const call = { ...ended, idempotent: false };
    assert.equal(budget.spend(call), false);
    assert.equal(budget.spend({ ...call, ran: "unknown" }), false);
    assert.equal(budget.spend({ ...call, ran: "no" }), true);
    assert.equal(budget.spend({ ...ended, delivered: true }), false);
  });
});
