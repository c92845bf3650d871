import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { DispatchRequest } from "../schema/index.js";
import { createRefusal } from "./errors.js";
import type { GateDecision } from "./gate_events.js";
import {
  createDispatch,
  createRig,
  DONE,
  FAILED,
  ORDER,
} from "./gate_fixtures_test.js";
import {
  changeState,
  MAX_ID,
  type Step,
  step,
  WARM_UP,
} from "./gate_steps_test.js";

const SLOTS = 4;
const COLD_SLOTS = 1;

/** What the test itself knows, kept apart from the gate's own records. */
class Model {
  readonly #rig = createRig({
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
  readonly #sent = new Map<
    string,
    { request: DispatchRequest; byMs: number }
  >();
  /** A sender claims an attempt for one epoch and keeps to it. */
  readonly #epochs = new Map<number, string>();
  readonly #running = new Set<string>();
  /** Attempts that must not start, with the epoch's number at that time. */
  readonly #barred = new Map<string, number>();
  readonly #open = new Set<string>();
  readonly #fetching: string[] = [];
  #confirmedMs = 0;
  #isFlaggedCold = false;
  #isLeaving = false;
  #nowMs = 0;
  starts = 0;
  mostRunning = 0;

  apply(step: Step): void {
    const { gate, view } = this.#rig;
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
      if (reply.state === "revoked") this.#bar(key);
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

  /** Normal service until the limit is at the full slots. */
  warmUp(): void {
    for (let index = 0; index < 40; index += 1) {
      this.#dispatch({ ...WARM_UP, id: MAX_ID + 1 + 2 * index });
      this.apply({ type: "finish", index: 0, failed: false });
      this.apply({ type: "time", ms: 50 });
      this.apply({ type: "time", ms: 50 });
    }
    this.apply({ type: "confirm" });
    assert.equal(this.#rig.gate.describeStatus().limit, SLOTS);
  }

  /** Ends all work: each attempt must have had its one last frame. */
  finishAll(): void {
    this.#nowMs += 60_000;
    this.apply({ type: "time", ms: 1 });
    for (const key of [...this.#running]) this.#finish(key, false);
    assert.deepEqual([...this.#open], [], "lost requests");
  }

  get epoch(): string {
    return this.#rig.gate.describeStatus().epoch;
  }

  get epochNumber(): number {
    return Number(this.epoch.replace("epoch-", ""));
  }

  #bar(key: string): void {
    this.#barred.set(key, this.epochNumber);
  }

  #dispatch(step: Step & { type: "dispatch" }): void {
    const { gate, view } = this.#rig;
    const { id, account, version, priority, remainingMs } = step;
    const isOrder = id % 2 === 0;
    const epoch = this.#epochs.get(id) ?? this.epoch;
    this.#epochs.set(id, epoch);
    const request = createDispatch({
      ...(isOrder ? ORDER : { version }),
      requestId: `r${id}`,
      account,
      priority,
      remainingMs,
      epoch: step.isRightEpoch ? epoch : "epoch-0",
      revision: view.state.revision + step.ahead,
    });
    const key = `r${id}/1`;
    const decisions = gate.handle({ type: "dispatch", request }, this.#nowMs);
    if (!decisions.some((decision) => decision.type === "reject")) {
      this.#sent.set(key, { request, byMs: this.#nowMs + remainingMs });
      this.#open.add(key);
    }
    this.#check(decisions);
  }

  #finish(key: string, failed: boolean): void {
    this.#running.delete(key);
    const outcome = failed ? FAILED : DONE;
    const event = { type: "finished", key, outcome } as const;
    this.#check(this.#rig.gate.handle(event, this.#nowMs));
  }

  #check(decisions: GateDecision[]): void {
    for (const decision of decisions) {
      if (decision.type === "start") this.#checkStart(decision.key);
      if (decision.type === "fetch") this.#fetching.push(decision.key);
      if (decision.type !== "frame") continue;
      const { key, frame } = decision;
      assert.ok(this.#open.delete(key), `second last frame of ${key}`);
      // What was answered as "not run" must never run afterwards.
      const isOrder = this.#sent.get(key)?.request.service === "orders";
      if (frame.refusal?.ran === "no" && isOrder) this.#bar(key);
    }
  }

  #checkStart(key: string): void {
    const { gate, view } = this.#rig;
    const sent = this.#sent.get(key);
    assert.ok(sent !== undefined && !this.#running.has(key));
    const { request, byMs } = sent;
    const isOrder = request.service === "orders";
    const barredIn = this.#barred.get(key) ?? Number.NEGATIVE_INFINITY;
    // Idempotent work names no epoch, so its revocation lasts for two of them.
    const isBarred = isOrder ? barredIn > 0 : barredIn > this.epochNumber - 2;
    assert.ok(!isBarred, `${key} started again or after "no"`);
    if (isOrder) this.#bar(key);
    if (isOrder) assert.equal(request.epoch, this.epoch);
    this.#running.add(key);
    this.starts += 1;
    this.mostRunning = Math.max(this.mostRunning, this.#running.size);
    const { accounts, versions, dataCentres } = view.state;
    const account = accounts[request.account];
    assert.ok(
      isOrder
        ? account?.services.includes("orders")
        : account?.versions.includes(request.version) &&
            versions[request.version]?.state === "active",
      `${key} started without permission`,
    );
    assert.ok(dataCentres.dc1?.state !== "out" && !this.#isLeaving);
    assert.ok(request.revision <= view.state.revision);
    assert.ok(this.#nowMs - this.#confirmedMs <= 8_000, "stale start");
    assert.ok(this.#nowMs < byMs, "start after the deadline");
    const limit = this.#isFlaggedCold ? COLD_SLOTS : SLOTS;
    assert.ok(this.#running.size <= limit, "over the limit");
    assert.ok(gate.inFlight <= gate.describeStatus().limit);
  }
}

describe("gate model", () => {
  it("keeps its promises under random dispatches, faults and changes", () => {
    let starts = 0;
    let mostRunning = 0;
    fc.assert(
      fc.property(
        fc.array(step, { maxLength: 150, size: "max" }),
        fc.boolean(),
        (steps, isWarm) => {
          const model = new Model();
          if (isWarm) model.warmUp();
          for (const one of steps) model.apply(one);
          model.finishAll();
          starts += model.starts;
          mostRunning = Math.max(mostRunning, model.mostRunning);
        },
      ),
      { numRuns: 800, interruptAfterTimeLimit: 20_000, seed: 11 },
    );
    // Guards against a test that passes since nothing happens in it.
    assert.ok(starts > 10_000, `only ${starts} attempts started`);
    assert.equal(mostRunning, SLOTS);
  });
});
