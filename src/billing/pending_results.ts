/**
 * Results of requests that could not be written to their claim. The writes are
 * retried until the store has them; meanwhile an endpoint keeps a copy.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  type BilledResult,
  createRefusal,
  type Refusal,
} from "../core/index.js";
import type { Clock } from "../runtime/clock.js";
import type { HeldRecord } from "../schema/index.js";
import { writeResult } from "./claim_writes.js";
import type { ReceiptHolders } from "./receipt_holders.js";

/** With answers of up to 64 KB each, the memory stays under 64 MB. */
const MAX_PENDING_RESULTS = 1_000;

const RETRY_INTERVAL_MS = 1_000;

/** Bounds the calls that all entries together make during an outage. */
const MAX_RETRY_INTERVAL_MS = 5_000;

export interface PendingResult {
  readonly result: BilledResult;
  /** The endpoint that ran the request; it is asked first to keep a copy. */
  readonly endpoint: string;
}

export interface PendingResultsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly createId: () => string;
  readonly holders: ReceiptHolders;
  /** The owner under which endpoints keep the copies. */
  readonly getOwner: () => string;
  /** Endpoints that are asked when the first one does not keep a copy. */
  readonly listHolders: () => readonly string[];
}

export class PendingResults {
  readonly #options: PendingResultsOptions;
  readonly #pending = new Map<string, PendingResult>();

  constructor(options: PendingResultsOptions) {
    this.#options = options;
  }

  get count(): number {
    return this.#pending.size;
  }

  /** Refuses new requests when too many results wait for the store. */
  checkRoom(): Refusal | undefined {
    if (this.#pending.size < MAX_PENDING_RESULTS) return undefined;
    const detail = `${this.#pending.size} results of claimed requests wait for the store`;
    return createRefusal("ledger-full", detail, {
      retryAfterMs: MAX_RETRY_INTERVAL_MS,
    });
  }

  /** Keeps the result; resolves when the endpoints were asked for a copy. */
  async add(pending: PendingResult, signal: AbortSignal): Promise<void> {
    const { bill } = pending.result;
    if (this.#pending.has(bill.requestId)) return;
    this.#pending.set(bill.requestId, pending);
    await this.#hold(pending, signal);
  }

  async #hold(pending: PendingResult, signal: AbortSignal): Promise<boolean> {
    const { getOwner, holders, listHolders } = this.#options;
    const { key, attempt, answer, bill } = pending.result;
    const record: HeldRecord = {
      owner: getOwner(),
      fromPage: 1,
      receipt: bill,
      completion: { key, attempt, answer },
    };
    const others = listHolders().filter((name) => name !== pending.endpoint);
    return holders.hold(record, [pending.endpoint, ...others], signal);
  }

  /** Tries to write each result once; true when the store has them all. */
  async flush(signal: AbortSignal): Promise<boolean> {
    const { store, createId, holders } = this.#options;
    for (const [requestId, { result }] of [...this.#pending]) {
      const outcome = await writeResult(store, result, { signal, createId });
      if (outcome.kind === "unavailable") return false;
      this.#pending.delete(requestId);
      holders.markWritten(requestId);
    }
    return this.#pending.size === 0;
  }

  /** Retries in the background until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    let intervalMs = RETRY_INTERVAL_MS;
    while (!signal.aborted) {
      const isComplete = await this.flush(signal);
      if (!isComplete) await this.#renewCopies(signal);
      intervalMs = isComplete
        ? RETRY_INTERVAL_MS
        : Math.min(intervalMs * 2, MAX_RETRY_INTERVAL_MS);
      await this.#options.clock.sleep(intervalMs, signal);
    }
  }

  async #renewCopies(signal: AbortSignal): Promise<void> {
    for (const [requestId, pending] of [...this.#pending]) {
      if (!this.#options.holders.needsHolder(requestId)) continue;
      if (!(await this.#hold(pending, signal))) return;
    }
  }

  /** Writes the results; after the signal aborts, hands over those left. */
  async close(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !(await this.flush(signal))) {
      await this.#options.clock.sleep(RETRY_INTERVAL_MS, signal);
    }
    for (const [requestId, pending] of this.#pending) {
      const isHeld =
        this.#options.holders.isHeld(requestId) ||
        // The signal has aborted; the hand-over has a timeout of its own.
        (await this.#hold(pending, new AbortController().signal));
      assertInvariant(
        isHeld,
        "unbilled",
        `The result of claim "${pending.result.key}" has no holder`,
      );
    }
  }
}
