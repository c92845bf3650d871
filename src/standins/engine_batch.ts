/**
 * Continuous batching of the engine stand-in: a priority queue, one prefill at
 * a time, and decoding that slows down as slots fill.
 */

import type { Priority } from "../schema/index.js";

/** Decode speed of a slot when all are in use, relative to one alone. */
const FULL_BATCH_SPEED_FACTOR = 0.6;
const TICK_INTERVAL_MS = 5;
/** Runs with a lower number start first. */
const PRIORITY_ORDER: Record<Priority, number> = {
  urgent: 0,
  interactive: 1,
  batch: 2,
};

export interface BatchOptions {
  readonly slots: number;
  readonly slotsWhileCold: number;
  readonly maxQueue: number;
  readonly tokensPerSecond: number;
  readonly prefillTokensPerSecond: number;
  readonly speedFactor: number;
  readonly frozen: boolean;
}

export interface BatchRun {
  readonly priority: Priority;
  /** Prompt tokens that are not cached. */
  readonly prefillTokens: number;
  readonly outputTokens: number;
  onStart(): void;
  /** Called with the number of tokens decoded so far. */
  onProgress(tokens: number): void;
  onEnd(): void;
  onFail(reason: string): void;
}

interface Slot {
  readonly run: BatchRun;
  prefillTokensLeft: number;
  decodedTokens: number;
}

export type Admission = "admitted" | "queue-full" | "cold-overload";

export class EngineBatch {
  readonly #options: BatchOptions;
  readonly #isCold: () => boolean;
  #usedSlots: Slot[] = [];
  readonly #queue: BatchRun[] = [];
  #timer: NodeJS.Timeout | undefined;
  #lastTickMs = 0;
  maxRunningWhileCold = 0;

  constructor(options: BatchOptions, isCold: () => boolean) {
    this.#options = options;
    this.#isCold = isCold;
  }

  get running(): number {
    return this.#usedSlots.length;
  }

  get queued(): number {
    return this.#queue.length;
  }

  /**
   * Starts or queues a run. A cold engine has no queue: a run above its cold
   * slots fails all runs.
   */
  admit(run: BatchRun): Admission {
    const { slots, slotsWhileCold, maxQueue } = this.#options;
    if (this.#isCold()) {
      const running = this.running + 1;
      this.maxRunningWhileCold = Math.max(this.maxRunningWhileCold, running);
      if (running > slotsWhileCold) {
        this.failAll("cold-overload");
        return "cold-overload";
      }
      this.#start(run);
      return "admitted";
    }
    if (this.running < slots) {
      this.#start(run);
      return "admitted";
    }
    if (this.queued >= maxQueue) return "queue-full";
    const order = PRIORITY_ORDER[run.priority];
    const index = this.#queue.findIndex(
      (other) => PRIORITY_ORDER[other.priority] > order,
    );
    this.#queue.splice(index < 0 ? this.queued : index, 0, run);
    return "admitted";
  }

  cancel(run: BatchRun): void {
    const index = this.#queue.indexOf(run);
    if (index >= 0) this.#queue.splice(index, 1);
    this.#usedSlots = this.#usedSlots.filter((slot) => slot.run !== run);
    this.#startQueued();
  }

  failAll(reason: string): void {
    const runs = [...this.#usedSlots.map((slot) => slot.run), ...this.#queue];
    this.#usedSlots = [];
    this.#queue.length = 0;
    for (const run of runs) run.onFail(reason);
  }

  close(): void {
    clearInterval(this.#timer);
  }

  #start(run: BatchRun): void {
    this.#usedSlots.push({
      run,
      prefillTokensLeft: run.prefillTokens,
      decodedTokens: 0,
    });
    run.onStart();
    if (this.#timer !== undefined) return;
    this.#lastTickMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
  }

  #startQueued(): void {
    const limit = this.#isCold()
      ? this.#options.slotsWhileCold
      : this.#options.slots;
    while (this.running < limit) {
      const run = this.#queue.shift();
      if (run === undefined) break;
      this.#start(run);
    }
    if (this.running > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tick(): void {
    const nowMs = performance.now();
    const seconds = (nowMs - this.#lastTickMs) / 1_000;
    this.#lastTickMs = nowMs;
    if (this.#options.frozen) return;
    const effectiveSeconds = this.#options.speedFactor * seconds;
    let prefillTokens = this.#options.prefillTokensPerSecond * effectiveSeconds;
    const decodeTokens =
      this.#options.tokensPerSecond *
      this.#computeSpeedFactor() *
      effectiveSeconds;
    for (const slot of [...this.#usedSlots]) {
      if (slot.prefillTokensLeft > 0) {
        const prefilled = Math.min(prefillTokens, slot.prefillTokensLeft);
        slot.prefillTokensLeft -= prefilled;
        prefillTokens -= prefilled;
        continue;
      }
      this.#decode(slot, decodeTokens);
    }
    this.#startQueued();
  }

  #decode(slot: Slot, tokens: number): void {
    const { run } = slot;
    slot.decodedTokens = Math.min(
      run.outputTokens,
      slot.decodedTokens + tokens,
    );
    run.onProgress(Math.floor(slot.decodedTokens));
    if (slot.decodedTokens < run.outputTokens) return;
    this.#usedSlots = this.#usedSlots.filter((other) => other !== slot);
    run.onEnd();
  }

  #computeSpeedFactor(): number {
    const { slots } = this.#options;
    if (slots <= 1) return 1;
    const usedShare = (this.running - 1) / (slots - 1);
    return 1 - (1 - FULL_BATCH_SPEED_FACTOR) * Math.min(1, usedShare);
  }
}
