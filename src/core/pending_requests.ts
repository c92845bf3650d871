/** Requests that the router has accepted and not yet answered. */

import type { RouteRequest } from "./router_events.js";

/** An attempt that was dispatched and has not ended. */
export interface RunningAttempt {
  readonly endpoint: string;
  readonly version: string;
  readonly sentAtMs: number;
  /** True when no judge follows. */
  readonly isFinal: boolean;
  /** Key from `createTarget`. */
  readonly target: string;
  /** Expected duration of the work from its start. */
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
  watchedVersion?: string;
  /** Attempts of the current step. */
  stepAttempts: number;
  /** Work of the request in units, measured when its first step ended. */
  measuredUnits?: number;
  /** Target whose queue holds the request. */
  queuedTarget?: string;
  running?: RunningAttempt;
  /** Version whose output waits for the judge. */
  judgingVersion?: string;
  /** Endpoints on which an attempt of the current step failed. */
  readonly failedEndpoints: Set<string>;
  /** True when an endpoint may have run an attempt. */
  mayHaveRun: boolean;
}

const DEADLINE_BUCKET_MS = 50;

/** Pending requests by id and by deadline bucket, so that a tick scans few. */
export class PendingRequests {
  readonly #byId = new Map<string, PendingRequest>();
  readonly #idsByBucket = new Map<number, Set<string>>();
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
    const bucket = Math.ceil(deadlineAtMs / DEADLINE_BUCKET_MS);
    const ids = this.#idsByBucket.get(bucket) ?? new Set();
    ids.add(id);
    this.#idsByBucket.set(bucket, ids);
    this.#nextBucket = Math.min(this.#nextBucket ?? bucket, bucket);
  }

  remove(pending: PendingRequest): void {
    const { id, deadlineAtMs } = pending.request;
    this.#byId.delete(id);
    const bucket = Math.ceil(deadlineAtMs / DEADLINE_BUCKET_MS);
    const ids = this.#idsByBucket.get(bucket);
    ids?.delete(id);
    if (ids?.size === 0) this.#idsByBucket.delete(bucket);
  }

  /** Requests whose deadline has passed. */
  listExpired(nowMs: number): PendingRequest[] {
    const lastBucket = Math.floor(nowMs / DEADLINE_BUCKET_MS);
    const expired: PendingRequest[] = [];
    if (this.#nextBucket === undefined) return expired;
    if (this.#idsByBucket.size === 0) {
      this.#nextBucket = undefined;
      return expired;
    }
    for (; this.#nextBucket <= lastBucket; this.#nextBucket++) {
      for (const id of this.#idsByBucket.get(this.#nextBucket) ?? []) {
        const pending = this.#byId.get(id);
        if (pending !== undefined) expired.push(pending);
      }
    }
    return expired;
  }
}
