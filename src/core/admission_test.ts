import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { Priority } from "../schema/index.js";
import { AdmissionQueue } from "./admission.js";
import type { PendingRequest } from "./pending.js";
import { RetryBudget } from "./retries.js";

let number = 0;

function createPending(
  account: string,
  priority: Priority = "interactive",
  deadlineAtMs = 10_000,
): PendingRequest {
  return {
    request: {
      id: `r${++number}`,
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
    tried: new Set(),
    mayHaveRun: false,
  };
}

/** Takes all requests in turn; each costs the same work. */
function takeAll(queue: AdmissionQueue, count: number) {
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
  // Guards against orders that wait behind reports.
  it("serves by priority first and by deadline within an account", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    queue.add("t", createPending("a", "batch"));
    queue.add("t", createPending("a", "interactive", 9_000));
    queue.add("t", createPending("a", "interactive", 3_000));
    queue.add("t", createPending("a", "urgent"));
    const order = takeAll(queue, 4).map(({ request }) => [
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
  it("shares by weight, whatever each account asks for", () => {
    const queue = new AdmissionQueue({
      getWeight: (account) => (account === "heavy" ? 3 : 1),
    });
    for (let i = 0; i < 90; i++) queue.add("t", createPending("greedy"));
    for (let i = 0; i < 40; i++) queue.add("t", createPending("heavy"));
    const taken = takeAll(queue, 40);
    const heavy = taken.filter(({ request }) => request.account === "heavy");
    assert.ok(Math.abs(heavy.length - 30) <= 2, `${heavy.length} of 40`);
  });

  // Guards against an account that saves up its turns while it is idle.
  it("gives an account no credit for idle time", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    for (let i = 0; i < 60; i++) queue.add("t", createPending("busy"));
    takeAll(queue, 40);
    for (let i = 0; i < 20; i++) queue.add("t", createPending("idle"));
    const idle = takeAll(queue, 10).filter((p) => p.request.account === "idle");
    assert.ok(idle.length <= 6, `${idle.length} of 10`);
  });

  // Guards against a fixed Retry-After, after which callers come too early.
  it("computes Retry-After from the queue and its pace", () => {
    const queue = new AdmissionQueue({ getWeight: () => 1 });
    for (let i = 0; i < 20; i++) queue.add("t", createPending("a"));
    for (let i = 1; i <= 5; i++) queue.recordDeparture("t", i * 100);
    const short = queue.computeRetryAfterMs("t", createPending("a"));
    for (let i = 0; i < 20; i++) queue.add("t", createPending("a"));
    const long = queue.computeRetryAfterMs("t", createPending("a"));
    assert.equal(short, 2_100);
    assert.equal(long, 4_100);
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
  it("keeps retries near a tenth of the traffic", () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let i = 0; i < 5_000; i++) {
      budget.earn();
      if (budget.spend(ended)) retries++;
    }
    assert.ok(retries <= 550, `${retries} of 5,000`);
    assert.ok(retries >= 450, `${retries} of 5,000`);
  });

  // Guards against a second run of a call that must not be repeated.
  it("repeats a non-idempotent call only when it did not run", () => {
    const budget = new RetryBudget();
    const call = { ...ended, idempotent: false };
    assert.equal(budget.spend(call), false);
    assert.equal(budget.spend({ ...call, ran: "unknown" }), false);
    assert.equal(budget.spend({ ...call, ran: "no" }), true);
    assert.equal(budget.spend({ ...ended, delivered: true }), false);
  });
});
