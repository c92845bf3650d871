/** Requests that the router has accepted and not yet answered. */

import type { RouteRequest } from "./events.js";

/** An attempt that was dispatched and has not ended. */
export interface RunningAttempt {
  readonly endpoint: string;
  readonly version: string;
  readonly sentAtMs: number;
  readonly final: boolean;
  readonly target: string;
  /** Expected time of the work from its start. */
  readonly expectedMs: number;
  /** Requests at the endpoint when the attempt was sent, itself included. */
  readonly load: number;
  startedAtMs?: number;
}

export interface PendingRequest {
  readonly request: RouteRequest;
  readonly submittedAtMs: number;
  /** Number of the latest attempt; 0 before the first. */
  attempt: number;
  /** Versions still to try: cascade steps in order; "" for a service. */
  steps: string[];
  /** Version whose answer the judge rejected in an earlier step. */
  rejectedVersion?: string;
  /** Version in roll-out whose verdict is outstanding. */
  watched?: string;
  /** Attempts of the current step. */
  stepAttempts: number;
  /** Work of the request, known once a step is done. */
  knownUnits?: number;
  /** Target whose queue holds the request. */
  waitingFor?: string;
  running?: RunningAttempt;
  /** Version whose output waits for the judge. */
  judging?: string;
  /** Endpoints that refused or failed an attempt. */
  readonly tried: Set<string>;
  /** True when an attempt may have run. */
  mayHaveRun: boolean;
}

const BUCKET_MS = 50;

/** Pending requests with their deadlines in buckets, so a tick scans few. */
export class PendingRequests {
  readonly #byId = new Map<string, PendingRequest>();
  readonly #buckets = new Map<number, Set<string>>();
  #nextBucket: number | undefined;

  get size(): number {
    return this.#byId.size;
  }

  find(id: string): PendingRequest | undefined {
    return this.#byId.get(id);
  }

  add(pending: PendingRequest): void {
    const { id, deadlineAtMs } = pending.request;
    this.#byId.set(id, pending);
    const bucket = Math.ceil(deadlineAtMs / BUCKET_MS);
    const ids = this.#buckets.get(bucket) ?? new Set();
    ids.add(id);
    this.#buckets.set(bucket, ids);
    this.#nextBucket = Math.min(this.#nextBucket ?? bucket, bucket);
  }

  remove(pending: PendingRequest): void {
    const { id, deadlineAtMs } = pending.request;
    this.#byId.delete(id);
    const bucket = Math.ceil(deadlineAtMs / BUCKET_MS);
    const ids = this.#buckets.get(bucket);
    ids?.delete(id);
    if (ids?.size === 0) this.#buckets.delete(bucket);
  }

  /** Requests whose deadline has passed. */
  listExpired(nowMs: number): PendingRequest[] {
    const last = Math.floor(nowMs / BUCKET_MS);
    const expired: PendingRequest[] = [];
    if (this.#nextBucket === undefined) return expired;
    if (this.#buckets.size === 0) {
      this.#nextBucket = undefined;
      return expired;
    }
    for (; this.#nextBucket <= last; this.#nextBucket++) {
      for (const id of this.#buckets.get(this.#nextBucket) ?? []) {
        const pending = this.#byId.get(id);
        if (pending !== undefined) expired.push(pending);
      }
    }
    return expired;
  }
}
