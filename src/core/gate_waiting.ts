/** Attempts that have not started: they wait for a revision or for a slot. */

import type { Attempt } from "./attempts.js";
import { createRefusal, type Refusal } from "./errors.js";
import type { GateCapacity } from "./gate_capacity.js";
import {
  checkAttempt,
  type GatePlace,
  type GateView,
  isIdempotent,
} from "./gate_checks.js";
import { GateQueue } from "./gate_queue.js";

/** Waiting attempts per slot; the wait estimate refuses most work before. */
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

interface WaitingRoomOptions {
  readonly slots: number;
  readonly view: GateView;
  readonly capacity: GateCapacity;
  readonly getPlace: () => GatePlace;
}

export class WaitingRoom {
  readonly #options: WaitingRoomOptions;
  readonly #queue: GateQueue;
  readonly #maxLength: number;
  readonly #fetching = new Set<Attempt>();

  constructor(options: WaitingRoomOptions) {
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

  /** Holds an attempt until its revision is fetched. */
  addFetching(attempt: Attempt, nowMs: number): Refusal | undefined {
    if (this.#fetching.size >= this.#maxLength) {
      return this.#createCapacityRefusal(nowMs);
    }
    this.#fetching.add(attempt);
    return undefined;
  }

  /** True when the attempt was waiting for a revision. */
  endFetching(attempt: Attempt): boolean {
    return this.#fetching.delete(attempt);
  }

  /** Queues an attempt; gives the one that has no place, if any. */
  push(attempt: Attempt, nowMs: number): RefusedAttempt | undefined {
    attempt.state = "queued";
    const loser = this.#queue.push(attempt, this.#options.view.state);
    if (loser === undefined) return undefined;
    return { attempt: loser, refusal: this.#createCapacityRefusal(nowMs) };
  }

  /** Takes the attempt whose turn it is. */
  takeNext(): Attempt | undefined {
    const [attempt] = this.#queue.listInOrder(this.#options.view.state);
    if (attempt !== undefined) this.#queue.remove(attempt);
    return attempt;
  }

  remove(attempt: Attempt): void {
    this.#fetching.delete(attempt);
    this.#queue.remove(attempt);
  }

  noteStart(attempt: Attempt): void {
    const { state } = this.#options.view;
    this.#queue.noteStart(attempt.request.account, state);
  }

  /** Every rule that must hold when the attempt starts. */
  check(attempt: Attempt, nowMs: number): Refusal | undefined {
    const { view, getPlace } = this.#options;
    attempt.idempotent = isIdempotent(attempt.request, view.state);
    if (nowMs < attempt.deadlineAtMs) {
      return checkAttempt(attempt, getPlace(), view);
    }
    const detail = `Attempt "${attempt.key}" has no time left`;
    return createRefusal("deadline-exceeded", detail);
  }

  /** Lists waiting work that may not start or would start too late. */
  findRefused(nowMs: number): RefusedAttempt[] {
    const refused: RefusedAttempt[] = [];
    for (const attempt of this.#fetching) {
      const refusal = this.#checkFetching(attempt, nowMs);
      if (refusal !== undefined) refused.push({ attempt, refusal });
    }
    const order = this.#queue.listInOrder(this.#options.view.state);
    const waits = this.#options.capacity.estimateWaits(order.length, nowMs);
    let place = 0;
    for (const attempt of order) {
      const waitMs = waits[place] ?? 0;
      const refusal =
        this.check(attempt, nowMs) ??
        (nowMs + waitMs >= attempt.deadlineAtMs
          ? this.#createCapacityRefusal(nowMs, waitMs)
          : undefined);
      if (refusal === undefined) place += 1;
      else refused.push({ attempt, refusal });
    }
    return refused;
  }

  /** The other rules wait for the fetched revision, which may permit it. */
  #checkFetching(attempt: Attempt, nowMs: number): Refusal | undefined {
    const refusal = this.check(attempt, nowMs);
    const code = refusal?.code;
    const { leaving } = this.#options.getPlace();
    const isFinal = code === "deadline-exceeded" || code === leaving;
    return isFinal ? refusal : undefined;
  }

  #createCapacityRefusal(nowMs: number, knownWaitMs?: number): Refusal {
    const { capacity } = this.#options;
    const waits = capacity.estimateWaits(this.queued + 1, nowMs);
    const waitMs = knownWaitMs ?? waits.at(-1) ?? 0;
    const retryAfterMs = Math.ceil(
      Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs)),
    );
    const detail = `${capacity.inFlight} of ${capacity.limit} slots are in use, ${this.queued} attempts wait`;
    return createRefusal("capacity", detail, { retryAfterMs });
  }
}
