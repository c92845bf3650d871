/** Model of one endpoint in virtual time: its engine and, if any, its gate. */

import type { Priority } from "../schema/index.js";
import { FULL_DECODE_SHARE, type ReplicaSpec } from "./workload.js";

export interface Job {
  requestId: string;
  attempt: number;
  version: string;
  priority: Priority;
  promptTokens: number;
  outputTokens: number;
  /** Work left in milliseconds at speed 1, alone on the endpoint. */
  prefillLeft: number;
  decodeLeft: number;
  decodeTotal: number;
}

export interface EngineOptions {
  name: string;
  spec: ReplicaSpec;
  /** True when a gate bounds the queue and follows a slow start. */
  gated: boolean;
  schedule: (atMs: number, run: () => void) => void;
  onStart: (job: Job) => void;
  onEnd: (job: Job, outcome: "completed" | "failed") => void;
}

/** Waiting work that a gate accepts, as a share of its limit. */
const QUEUE_SHARE = 0.5;
const RAMP_STEP_MS = 1_000;
const EPSILON = 1e-6;
const RANKS: Record<Priority, number> = { urgent: 0, interactive: 1, batch: 2 };

export class Engine {
  readonly options: EngineOptions;
  readonly #prefill: Job[] = [];
  readonly #decode: Job[] = [];
  readonly #waiting: Job[] = [];
  #speed: number;
  #lastMs = 0;
  #wake = 0;
  limit: number;
  coldUntilMs = 0;
  dataCentreOut = false;
  /** Times that work above the cold slots failed the engine. */
  overloads = 0;

  constructor(options: EngineOptions) {
    this.options = options;
    this.#speed = options.spec.speedFactor;
    this.limit = options.spec.slots;
  }

  get running(): number {
    return this.#prefill.length + this.#decode.length;
  }

  get queued(): number {
    return this.#waiting.length;
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  setSpeed(factor: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#speed = this.options.spec.speedFactor * factor;
    this.#settle(nowMs);
  }

  turnCold(nowMs: number): void {
    this.#advance(nowMs);
    const { spec } = this.options;
    this.coldUntilMs = nowMs + spec.coldStartMs;
    if (this.options.gated) {
      this.limit = spec.slotsWhileCold;
      this.#scheduleRamp(this.coldUntilMs);
    }
    this.#failWhenOverCold(nowMs, true);
    this.#settle(nowMs);
  }

  /** False when the gate refuses the job before it starts. */
  submit(job: Job, nowMs: number): boolean {
    this.#advance(nowMs);
    if (this.options.gated) {
      const room = this.limit + Math.ceil(this.limit * QUEUE_SHARE);
      if (this.dataCentreOut) return false;
      if (this.running + this.queued >= room) return false;
    }
    this.#waiting.push(job);
    if (this.options.gated) {
      this.#waiting.sort((a, b) => RANKS[a.priority] - RANKS[b.priority]);
    }
    this.#settle(nowMs);
    return true;
  }

  /** Removes a job; returns the share of its output that was made. */
  cancel(requestId: string, attempt: number, nowMs: number): Job | undefined {
    this.#advance(nowMs);
    for (const list of [this.#waiting, this.#prefill, this.#decode]) {
      const position = list.findIndex(
        (job) => job.requestId === requestId && job.attempt === attempt,
      );
      if (position < 0) continue;
      const [job] = list.splice(position, 1);
      this.#settle(nowMs);
      return job;
    }
    return undefined;
  }

  #scheduleRamp(atMs: number): void {
    this.options.schedule(atMs, () => {
      if (this.isCold(atMs) || this.limit >= this.options.spec.slots) return;
      this.limit = Math.min(this.options.spec.slots, this.limit * 2);
      this.#advance(atMs);
      this.#settle(atMs);
      this.#scheduleRamp(atMs + RAMP_STEP_MS);
    });
  }

  #failWhenOverCold(nowMs: number, turning = false): void {
    const { spec, onEnd } = this.options;
    if (!this.isCold(nowMs) || this.running <= spec.slotsWhileCold) return;
    if (!turning) this.overloads++;
    const failed = [...this.#prefill.splice(0), ...this.#decode.splice(0)];
    for (const job of failed) onEnd(job, "failed");
  }

  #getDecodeSpeed(): number {
    if (this.options.spec.versions.length === 0) return this.#speed;
    const use = this.running / this.options.spec.slots;
    return this.#speed * (1 - (1 - FULL_DECODE_SHARE) * Math.min(1, use));
  }

  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#lastMs;
    this.#lastMs = nowMs;
    const decoded = elapsedMs * this.#getDecodeSpeed();
    for (const job of this.#decode) job.decodeLeft -= decoded;
    const [head] = this.#prefill;
    if (head !== undefined) head.prefillLeft -= elapsedMs * this.#speed;
  }

  #settle(nowMs: number): void {
    const { spec, gated, onStart, onEnd } = this.options;
    const done: Job[] = [];
    for (let i = this.#decode.length - 1; i >= 0; i--) {
      const job = this.#decode[i];
      if (job === undefined || job.decodeLeft > EPSILON) continue;
      this.#decode.splice(i, 1);
      done.push(job);
    }
    const [head] = this.#prefill;
    if (head !== undefined && head.prefillLeft <= EPSILON) {
      this.#prefill.shift();
      // A rounding residue would leave the prompt unbilled.
      head.prefillLeft = 0;
      this.#decode.push(head);
    }
    while (this.running < (gated ? this.limit : spec.slots)) {
      const job = this.#waiting.shift();
      if (job === undefined) break;
      if (job.prefillLeft <= 0) this.#decode.push(job);
      else this.#prefill.push(job);
      onStart(job);
      this.#failWhenOverCold(nowMs);
    }
    this.#scheduleWake(nowMs);
    for (const job of done) onEnd(job, "completed");
  }

  #scheduleWake(nowMs: number): void {
    const wake = ++this.#wake;
    let waitMs = Number.POSITIVE_INFINITY;
    const speed = this.#getDecodeSpeed();
    for (const job of this.#decode) {
      waitMs = Math.min(waitMs, job.decodeLeft / speed);
    }
    const [head] = this.#prefill;
    if (head) waitMs = Math.min(waitMs, head.prefillLeft / this.#speed);
    if (waitMs === Number.POSITIVE_INFINITY) return;
    const atMs = nowMs + Math.max(0, waitMs);
    this.options.schedule(atMs, () => {
      if (wake !== this.#wake) return;
      this.#advance(atMs);
      this.#settle(atMs);
    });
  }
}
