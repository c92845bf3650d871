import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { DispatchRequest } from "../schema/index.js";
import { createRefusal } from "./errors.js";
import type { GateDecision } from "./gate_events.js";
import {
  COMPLETED,
  createDispatch,
  createTestGate,
  FAILED,
  NON_IDEMPOTENT_CALL,
} from "./gate_fixtures_test.js";
import {
  changeState,
  MAX_REQUEST_NUMBER,
  type Step,
  stepArbitrary,
  WARM_UP_DISPATCH,
} from "./gate_steps_test.js";

const SLOTS = 4;
const COLD_SLOTS = 1;

/** Model of the gate, which shares no state with the gate's own records. */
class GateModel {
  readonly #testGate = createTestGate({
    slots: SLOTS,
    slotsWhileCold: COLD_SLOTS,
    services: ["orders"],
    registryLimits: {
      maxEnded: 6,
      maxBytes: 10_000,
      endedRetentionMs: 5_000,
      maxUsedKeys: 12,
    },
  });
  readonly #dispatched = new Map<
    string,
    { request: DispatchRequest; deadlineAtMs: number }
  >();
  /** Epoch by request id; a sender claims an attempt for one epoch only. */
  readonly #epochsById = new Map<number, string>();
  readonly #running = new Set<string>();
  /** Attempts that must not start, with the epoch number at that time. */
  readonly #revokedInEpoch = new Map<string, number>();
  readonly #unanswered = new Set<string>();
  readonly #fetching: string[] = [];
  #confirmedMs = 0;
  #isFlaggedCold = false;
  #isLeaving = false;
  #nowMs = 0;
  starts = 0;
  mostRunning = 0;

  apply(step: Step): void {
    const { gate, view } = this.#testGate;
    if (step.type === "time") this.#nowMs += step.ms;
    if (step.type === "confirm") this.#confirmedMs = this.#nowMs;
    const isStale = this.#nowMs - this.#confirmedMs > 8_000;
    view.refusal = isStale ? createRefusal("isolated", "Old") : undefined;
    if (step.type === "dispatch") this.#dispatch(step);
    if (step.type === "finish") {
      const key = [...this.#running][step.index];
      if (key !== undefined) this.#finish(key, step.failed);
    }
    if (step.type === "revoke") {
      const request = {
        requestId: `r${step.id}`,
        attempt: 1,
        epoch: this.epoch,
      };
      const { reply, decisions } = gate.lookUp(request, this.#nowMs);
      this.#check(decisions);
      const key = `r${step.id}/1`;
      assert.equal(reply.state === "running", this.#running.has(key));
      if (reply.state === "revoked") this.#markRevoked(key);
    }
    if (step.type === "cancel") {
      const key = `r${step.id}/1`;
      this.#check(gate.handle({ type: "cancel", key }, this.#nowMs));
    }
    if (step.type === "report") {
      this.#isFlaggedCold = step.cold;
      const versions = ["small-1", "small-2", "orders"];
      const report = { startId: step.startId, cold: step.cold, versions };
      this.#check(gate.handle({ type: "report", report }, this.#nowMs));
    }
    if (step.type === "state")
      view.state = changeState(view.state, step.change);
    if (step.type === "leaving") {
      this.#isLeaving = step.value;
      const reason = step.value ? "draining" : undefined;
      this.#check(gate.handle({ type: "leaving", reason }, this.#nowMs));
    }
    const key = step.type === "fetched" ? this.#fetching.pop() : undefined;
    if (key !== undefined) {
      this.#check(gate.handle({ type: "fetched", key }, this.#nowMs));
    }
    this.#check(gate.handle({ type: "tick" }, this.#nowMs));
  }

  /** Simulates normal service until the limit reaches all slots. */
  warmUp(): void {
    for (let index = 0; index < 40; index += 1) {
      this.#dispatch({
        ...WARM_UP_DISPATCH,
        id: MAX_REQUEST_NUMBER + 1 + 2 * index,
      });
      this.apply({ type: "finish", index: 0, failed: false });
      this.apply({ type: "time", ms: 50 });
      this.apply({ type: "time", ms: 50 });
    }
    this.apply({ type: "confirm" });
    assert.equal(this.#testGate.gate.describeStatus().limit, SLOTS);
  }

  /** Ends all work and checks that each attempt got exactly one last frame. */
  finishAll(): void {
    this.#nowMs += 60_000;
    this.apply({ type: "time", ms: 1 });
    for (const key of [...this.#running]) this.#finish(key, false);
    assert.deepEqual([...this.#unanswered], [], "lost requests");
  }

  get epoch(): string {
    return this.#testGate.gate.describeStatus().epoch;
  }

  get epochNumber(): number {
    return Number(this.epoch.replace("epoch-", ""));
  }

  #markRevoked(key: string): void {
    this.#revokedInEpoch.set(key, this.epochNumber);
  }

  #dispatch(step: Step & { type: "dispatch" }): void {
    const { gate, view } = this.#testGate;
    const { id, account, version, priority, remainingMs } = step;
    const isNonIdempotent = id % 2 === 0;
    const epoch = this.#epochsById.get(id) ?? this.epoch;
    this.#epochsById.set(id, epoch);
    const request = createDispatch({
      ...(isNonIdempotent ? NON_IDEMPOTENT_CALL : { version }),
      requestId: `r${id}`,
      account,
      priority,
      remainingMs,
      epoch: step.isRightEpoch ? epoch : "epoch-0",
      revision: view.state.revision + step.revisionsAhead,
    });
    const key = `r${id}/1`;
    const decisions = gate.handle({ type: "dispatch", request }, this.#nowMs);
    if (!decisions.some((decision) => decision.type === "reject")) {
      this.#dispatched.set(key, {
        request,
        deadlineAtMs: this.#nowMs + remainingMs,
      });
      this.#unanswered.add(key);
    }
    this.#check(decisions);
  }

  #finish(key: string, failed: boolean): void {
    this.#running.delete(key);
    const outcome = failed ? FAILED : COMPLETED;
    const event = { type: "finished", key, outcome } as const;
    this.#check(this.#testGate.gate.handle(event, this.#nowMs));
  }

  #check(decisions: GateDecision[]): void {
    for (const decision of decisions) {
      if (decision.type === "start") this.#checkStart(decision.key);
      if (decision.type === "fetch") this.#fetching.push(decision.key);
      if (decision.type !== "frame") continue;
      const { key, frame } = decision;
      assert.ok(this.#unanswered.delete(key), `second last frame of ${key}`);
      // A call that was reported as not run must never run later.
      const isNonIdempotent =
        this.#dispatched.get(key)?.request.service === "orders";
      if (frame.refusal?.ran === "no" && isNonIdempotent)
        this.#markRevoked(key);
    }
  }

  #checkStart(key: string): void {
    const { gate, view } = this.#testGate;
    const sent = this.#dispatched.get(key);
    assert.ok(sent !== undefined && !this.#running.has(key));
    const { request, deadlineAtMs } = sent;
    const isNonIdempotent = request.service === "orders";
    const revokedInEpoch =
      this.#revokedInEpoch.get(key) ?? Number.NEGATIVE_INFINITY;
    // Idempotent work names no epoch, so its revocation lasts for two epochs.
    const isRevoked = isNonIdempotent
      ? revokedInEpoch > 0
      : revokedInEpoch > this.epochNumber - 2;
    assert.ok(!isRevoked, `${key} started again or after "no"`);
    if (isNonIdempotent) this.#markRevoked(key);
    if (isNonIdempotent) assert.equal(request.epoch, this.epoch);
    this.#running.add(key);
    this.starts += 1;
    this.mostRunning = Math.max(this.mostRunning, this.#running.size);
    const { accounts, versions, dataCentres } = view.state;
    const account = accounts[request.account];
    assert.ok(
      isNonIdempotent
        ? account?.services.includes("orders")
        : account?.versions.includes(request.version) &&
            versions[request.version]?.state === "active",
      `${key} started without permission`,
    );
    assert.ok(dataCentres.dc1?.state !== "out" && !this.#isLeaving);
    assert.ok(request.revision <= view.state.revision);
    assert.ok(this.#nowMs - this.#confirmedMs <= 8_000, "stale start");
    assert.ok(this.#nowMs < deadlineAtMs, "start after the deadline");
    const limit = this.#isFlaggedCold ? COLD_SLOTS : SLOTS;
    assert.ok(this.#running.size <= limit, "over the limit");
    assert.ok(gate.inFlight <= gate.describeStatus().limit);
  }
}

describe("gate model", () => {
  it("keeps its invariants under random dispatches, faults and changes", () => {
    let starts = 0;
    let mostRunning = 0;
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, { maxLength: 150, size: "max" }),
        fc.boolean(),
        (steps, isWarm) => {
          const model = new GateModel();
          if (isWarm) model.warmUp();
          for (const step of steps) model.apply(step);
          model.finishAll();
          starts += model.starts;
          mostRunning = Math.max(mostRunning, model.mostRunning);
        },
      ),
      { numRuns: 800, interruptAfterTimeLimit: 20_000, seed: 11 },
    );
    // Guards against passing because no attempt ever starts.
    assert.ok(starts > 10_000, `only ${starts} attempts started`);
    assert.equal(mostRunning, SLOTS);
  });
});
