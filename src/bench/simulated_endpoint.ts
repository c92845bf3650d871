/**
 * Simulates one endpoint in virtual time: its engine or service and, if it has
 * one, its gate.
 */

import type { Priority } from "../schema/index.js";
import { FULL_LOAD_DECODE_SPEED, type ReplicaSpec } from "./assumptions.js";

/** Work of one attempt on an endpoint. */
export interface Job {
  requestId: string;
  attempt: number;
  version: string;
  priority: Priority;
  promptTokens: number;
  outputTokens: number;
  /** Work left, as time at speed 1 with no other job on the endpoint. */
  prefillLeftMs: number;
  decodeLeftMs: number;
  decodeTotalMs: number;
}

export interface SimulatedEndpointOptions {
  name: string;
  replicaSpec: ReplicaSpec;
  /** True when a gate bounds the queue and follows a slow start. */
  hasGate: boolean;
  schedule: (atMs: number, run: () => void) => void;
  onStart: (job: Job) => void;
  onEnd: (job: Job, outcome: "completed" | "failed") => void;
}

/** Waiting jobs that a gate accepts, as a share of its limit. */
const GATE_QUEUE_SHARE = 0.5;
/** Interval at which a gate doubles its limit after a cold start. */
const LIMIT_DOUBLING_MS = 1_000;
/** Less work left than this is a rounding error; the work is done. */
const WORK_TOLERANCE_MS = 1e-6;
const PRIORITY_RANKS: Record<Priority, number> = {
  urgent: 0,
  interactive: 1,
  batch: 2,
};

export class SimulatedEndpoint {
  readonly options: SimulatedEndpointOptions;
  readonly #prefilling: Job[] = [];
  readonly #decoding: Job[] = [];
  readonly #waiting: Job[] = [];
  #speed: number;
  /** Time up to which the work of the jobs is computed. */
  #advancedToMs = 0;
  /** Number of the latest wake-up; earlier ones do nothing. */
  #wakeUpNumber = 0;
  /** Jobs that the gate lets run at once. */
  limit: number;
  coldUntilMs = 0;
  isDataCentreOut = false;
  /** Times that starting more jobs than the cold slots failed the engine. */
  coldOverloads = 0;

  constructor(options: SimulatedEndpointOptions) {
    this.options = options;
    this.#speed = options.replicaSpec.speedFactor;
    this.limit = options.replicaSpec.slots;
  }

  get running(): number {
    return this.#prefilling.length + this.#decoding.length;
  }

  get queued(): number {
    return this.#waiting.length;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  setSpeed(factor: number, nowMs: number): void {
    this.#advanceWork(nowMs);
    this.#speed = this.options.replicaSpec.speedFactor * factor;
    this.#updateJobs(nowMs);
  }

  turnCold(nowMs: number): void {
    this.#advanceWork(nowMs);
    const { replicaSpec } = this.options;
    this.coldUntilMs = nowMs + replicaSpec.coldStartMs;
    if (this.options.hasGate) {
      this.limit = replicaSpec.slotsWhileCold;
      this.#scheduleLimitDoubling(this.coldUntilMs);
    }
    this.#failAboveColdSlots(nowMs, true);
    this.#updateJobs(nowMs);
  }

  /** Returns false when the gate refuses the job before it starts. */
  submit(job: Job, nowMs: number): boolean {
    this.#advanceWork(nowMs);
    if (this.options.hasGate) {
      const maxJobs = this.limit + Math.ceil(this.limit * GATE_QUEUE_SHARE);
      if (this.isDataCentreOut) return false;
      if (this.running + this.queued >= maxJobs) return false;
    }
    this.#waiting.push(job);
    if (this.options.hasGate) {
      this.#waiting.sort(
        (a, b) => PRIORITY_RANKS[a.priority] - PRIORITY_RANKS[b.priority],
      );
    }
    this.#updateJobs(nowMs);
    return true;
  }

  /** Removes the job of an attempt and returns it, if it is still here. */
  cancel(requestId: string, attempt: number, nowMs: number): Job | undefined {
    this.#advanceWork(nowMs);
    for (const jobs of [this.#waiting, this.#prefilling, this.#decoding]) {
      const index = jobs.findIndex(
        (job) => job.requestId === requestId && job.attempt === attempt,
      );
      if (index < 0) continue;
      const [job] = jobs.splice(index, 1);
      this.#updateJobs(nowMs);
      return job;
    }
    return undefined;
  }

  #scheduleLimitDoubling(atMs: number): void {
    this.options.schedule(atMs, () => {
      if (this.isCold(atMs) || this.limit >= this.options.replicaSpec.slots)
        return;
      this.limit = Math.min(this.options.replicaSpec.slots, this.limit * 2);
      this.#advanceWork(atMs);
      this.#updateJobs(atMs);
      this.#scheduleLimitDoubling(atMs + LIMIT_DOUBLING_MS);
    });
  }

  /**
   * Fails all running jobs when a cold engine runs more than its cold slots.
   * Jobs that ran before it turned cold count as no overload.
   */
  #failAboveColdSlots(nowMs: number, isTurningCold = false): void {
    const { replicaSpec, onEnd } = this.options;
    if (!this.isCold(nowMs) || this.running <= replicaSpec.slotsWhileCold)
      return;
    if (!isTurningCold) this.coldOverloads++;
    const failedJobs = [
      ...this.#prefilling.splice(0),
      ...this.#decoding.splice(0),
    ];
    for (const job of failedJobs) onEnd(job, "failed");
  }

  #getDecodeSpeed(): number {
    if (this.options.replicaSpec.versions.length === 0) return this.#speed;
    const load = this.running / this.options.replicaSpec.slots;
    return this.#speed * (1 - (1 - FULL_LOAD_DECODE_SPEED) * Math.min(1, load));
  }

  /**
   * Deducts the time since the last call from the work left. Prompts are
   * prefilled one at a time, answers are decoded in parallel.
   */
  #advanceWork(nowMs: number): void {
    const elapsedMs = nowMs - this.#advancedToMs;
    this.#advancedToMs = nowMs;
    const decodedMs = elapsedMs * this.#getDecodeSpeed();
    for (const job of this.#decoding) job.decodeLeftMs -= decodedMs;
    const [head] = this.#prefilling;
    if (head !== undefined) head.prefillLeftMs -= elapsedMs * this.#speed;
  }

  /** Ends completed jobs, moves a prefilled one on and starts waiting ones. */
  #updateJobs(nowMs: number): void {
    const { replicaSpec, hasGate, onStart, onEnd } = this.options;
    const completedJobs: Job[] = [];
    for (let i = this.#decoding.length - 1; i >= 0; i--) {
      const job = this.#decoding[i];
      if (job === undefined || job.decodeLeftMs > WORK_TOLERANCE_MS) continue;
      this.#decoding.splice(i, 1);
      completedJobs.push(job);
    }
    const [head] = this.#prefilling;
    if (head !== undefined && head.prefillLeftMs <= WORK_TOLERANCE_MS) {
      this.#prefilling.shift();
      // With a rounding error left, the prompt would not be billed.
      head.prefillLeftMs = 0;
      this.#decoding.push(head);
    }
    while (this.running < (hasGate ? this.limit : replicaSpec.slots)) {
      const job = this.#waiting.shift();
      if (job === undefined) break;
      if (job.prefillLeftMs <= 0) this.#decoding.push(job);
      else this.#prefilling.push(job);
      onStart(job);
      this.#failAboveColdSlots(nowMs);
    }
    this.#scheduleWakeUp(nowMs);
    for (const job of completedJobs) onEnd(job, "completed");
  }

  #scheduleWakeUp(nowMs: number): void {
    const wakeUpNumber = ++this.#wakeUpNumber;
    let waitMs = Number.POSITIVE_INFINITY;
    const speed = this.#getDecodeSpeed();
    for (const job of this.#decoding) {
      waitMs = Math.min(waitMs, job.decodeLeftMs / speed);
    }
    const [head] = this.#prefilling;
    if (head) waitMs = Math.min(waitMs, head.prefillLeftMs / this.#speed);
    if (waitMs === Number.POSITIVE_INFINITY) return;
    const atMs = nowMs + Math.max(0, waitMs);
    this.options.schedule(atMs, () => {
      if (wakeUpNumber !== this.#wakeUpNumber) return;
      this.#advanceWork(atMs);
      this.#updateJobs(atMs);
    });
  }
}
