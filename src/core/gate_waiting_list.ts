/** The attempts that have not started: they wait for a revision or a slot. */

import type { Attempt } from "./attempt_registry.js";
import { createRefusal, type Refusal } from "./errors.js";
import type { GateCapacity } from "./gate_capacity.js";
import {
  checkAttempt,
  type GateView,
  isIdempotent,
  type LocalState,
} from "./gate_checks.js";
import { GateQueue } from "./gate_queue.js";

/** Queue length per slot; the wait estimate refuses most work earlier. */
const QUEUE_PER_SLOT = 2;
const MIN_QUEUE_LENGTH = 8;
/** Each waiting attempt holds a body of up to 1 MB. */
const MAX_QUEUE_LENGTH = 64;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 30_000;

/** An attempt that is to be refused before its start. */
export interface RefusedAttempt {
  readonly attempt: Attempt;
  readonly refusal: Refusal;
}

interface GateWaitingListOptions {
  readonly slots: number;
  readonly view: GateView;
  readonly capacity: GateCapacity;
  readonly getLocalState: () => LocalState;
}

export class GateWaitingList {
  readonly #options: GateWaitingListOptions;
  readonly #queue: GateQueue;
  readonly #maxLength: number;
  readonly #fetching = new Set<Attempt>();

  constructor(options: GateWaitingListOptions) {
    this.#options = options;
    this.#maxLength = Math.min(
      MAX_QUEUE_LENGTH,
      Math.max(MIN_QUEUE_LENGTH, QUEUE_PER_SLOT * options.slots),
    );
    this.#queue = new GateQueue(this.#maxLength);
  }

  get queued(): number {
    return this.#queue.length;
  }

  /** Adds an attempt that waits for its revision; refuses it when full. */
  addFetching(attempt: Attempt, nowMs: number): Refusal | undefined {
    if (this.#fetching.size >= this.#maxLength) {
      return this.#createCapacityRefusal(nowMs);
    }
    this.#fetching.add(attempt);
    return undefined;
  }

  /** Ends the wait for a revision; true if the attempt was waiting for it. */
  endFetching(attempt: Attempt): boolean {
    return this.#fetching.delete(attempt);
  }

  /** Queues an attempt; returns the one that a full queue evicts, if any. */
  push(attempt: Attempt, nowMs: number): RefusedAttempt | undefined {
    attempt.state = "queued";
    const evicted = this.#queue.push(attempt, this.#options.view.state);
    if (evicted === undefined) return undefined;
    return { attempt: evicted, refusal: this.#createCapacityRefusal(nowMs) };
  }

  /** Removes and returns the attempt that starts next. */
  takeNext(): Attempt | undefined {
    const [attempt] = this.#queue.listInOrder(this.#options.view.state);
    if (attempt !== undefined) this.#queue.remove(attempt);
    return attempt;
  }

  remove(attempt: Attempt): void {
    this.#fetching.delete(attempt);
    this.#queue.remove(attempt);
  }

  recordStart(attempt: Attempt): void {
    const { state } = this.#options.view;
    this.#queue.recordStart(attempt.request.account, state);
  }

  /** Checks every rule that must hold when the attempt starts. */
  check(attempt: Attempt, nowMs: number): Refusal | undefined {
    const { view, getLocalState } = this.#options;
    attempt.idempotent = isIdempotent(attempt.request, view.state);
    if (nowMs < attempt.deadlineAtMs) {
      return checkAttempt(attempt, getLocalState(), view);
    }
    const detail = `Attempt "${attempt.key}" has no time left`;
    return createRefusal("deadline-exceeded", detail);
  }

  /** Finds waiting attempts that may not start or would start too late. */
  findRefused(nowMs: number): RefusedAttempt[] {
    const refused: RefusedAttempt[] = [];
    for (const attempt of this.#fetching) {
      const refusal = this.#checkFetching(attempt, nowMs);
      if (refusal !== undefined) refused.push({ attempt, refusal });
    }
    const order = this.#queue.listInOrder(this.#options.view.state);
    const waitsMs = this.#options.capacity.estimateWaitsMs(order.length, nowMs);
    let queuePosition = 0;
    for (const attempt of order) {
      const waitMs = waitsMs[queuePosition] ?? 0;
      const refusal =
        this.check(attempt, nowMs) ??
        (nowMs + waitMs >= attempt.deadlineAtMs
          ? this.#createCapacityRefusal(nowMs, waitMs)
          : undefined);
      if (refusal === undefined) queuePosition += 1;
      else refused.push({ attempt, refusal });
    }
    return refused;
  }

  /** Other refusals wait, since the fetched revision may lift them. */
  #checkFetching(attempt: Attempt, nowMs: number): Refusal | undefined {
    const refusal = this.check(attempt, nowMs);
    const code = refusal?.code;
    const { leaving } = this.#options.getLocalState();
    const isFinal = code === "deadline-exceeded" || code === leaving;
    return isFinal ? refusal : undefined;
  }

  #createCapacityRefusal(nowMs: number, knownWaitMs?: number): Refusal {
    const { capacity } = this.#options;
    const waitsMs = capacity.estimateWaitsMs(this.queued + 1, nowMs);
    const waitMs = knownWaitMs ?? waitsMs.at(-1) ?? 0;
    const retryAfterMs = Math.ceil(
      Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)),
    );
    const detail = `${capacity.inFlight} of ${capacity.limit} slots are in use, ${this.queued} attempts wait`;
    return createRefusal("capacity", detail, { retryAfterMs });
  }
}
