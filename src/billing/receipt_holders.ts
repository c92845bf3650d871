/** Calls to the endpoints that keep second copies of an entry's receipts. */

import { runWithTimeout } from "../runtime/run_with_timeout.js";
import type { HeldRecord } from "../schema/index.js";

/** Longest wait for one endpoint, so that the next can still be asked. */
const HOLD_TIMEOUT_MS = 500;

/** Endpoints asked for one receipt before the page is flushed instead. */
const MAX_HOLDERS_ASKED = 3;

/** Release calls that fail in a row before the endpoint is given up on. */
const MAX_RELEASE_FAILURES = 10;

/** Request ids in one release call. */
const RELEASE_BATCH = 1_000;

export interface HolderCalls {
  /**
   * Names the process behind the endpoint, or nothing when it has left or
   * can't be reached. Its next start has another name, and no copies.
   */
  readonly findProcess?: (endpoint: string) => string | undefined;
  /** `HoldReceipt`; false when the endpoint refuses or does not reply. */
  readonly holdReceipt: (
    endpoint: string,
    record: HeldRecord,
    signal: AbortSignal,
  ) => Promise<boolean>;
  /** `ReleaseReceipts`; false when the endpoint does not reply. */
  readonly releaseReceipts: (
    endpoint: string,
    release: { owner: string; requestIds: string[] },
    signal: AbortSignal,
  ) => Promise<boolean>;
}

interface Copy {
  readonly owner: string;
  /** Endpoints that may have a copy, those without a reply included. */
  readonly asked: Set<string>;
  /** Endpoints that confirmed their copy, with their process then. */
  readonly heldBy: Map<string, string>;
  isAsking: boolean;
  isWritten: boolean;
}

interface Releases {
  readonly byOwner: Map<string, Set<string>>;
  failures: number;
}

export class ReceiptHolders {
  readonly #calls: HolderCalls;
  readonly #copies = new Map<string, Copy>();
  readonly #releases = new Map<string, Releases>();

  constructor(calls: HolderCalls) {
    this.#calls = calls;
  }

  /** True when a live endpoint has confirmed a copy. */
  isHeld(requestId: string): boolean {
    const copy = this.#copies.get(requestId);
    return copy !== undefined && this.#isHeld(copy);
  }

  /** True when fewer than `wanted` endpoints have a copy, as others are gone. */
  hasLostCopy(requestId: string, wanted = 1): boolean {
    const copy = this.#copies.get(requestId);
    if (copy === undefined || copy.isAsking) return false;
    return this.#countHolders(copy) < wanted;
  }

  #isHeld(copy: Copy): boolean {
    return this.#countHolders(copy) > 0;
  }

  #countHolders({ heldBy }: Copy): number {
    return [...heldBy].filter(
      ([endpoint, process]) => this.#findProcess(endpoint) === process,
    ).length;
  }

  #findProcess(endpoint: string): string | undefined {
    const { findProcess } = this.#calls;
    return findProcess === undefined ? endpoint : findProcess(endpoint);
  }

  /**
   * Asks the endpoints in turn until `wanted` of all hold the record; true
   * when they do.
   */
  async hold(
    record: HeldRecord,
    endpoints: readonly string[],
    signal: AbortSignal,
    wanted = 1,
  ): Promise<boolean> {
    const { requestId } = record.receipt;
    const copy = this.#copies.get(requestId) ?? createCopy(record.owner);
    this.#copies.set(requestId, copy);
    for (const [endpoint, process] of copy.heldBy) {
      if (this.#findProcess(endpoint) !== process) copy.heldBy.delete(endpoint);
    }
    copy.isAsking = true;
    const others = endpoints.filter((endpoint) => !copy.heldBy.has(endpoint));
    for (const endpoint of others.slice(0, MAX_HOLDERS_ASKED)) {
      if (signal.aborted || copy.isWritten) break;
      if (this.#countHolders(copy) >= wanted) break;
      copy.asked.add(endpoint);
      // As it is before the call: a restart during the call loses the copy.
      const process = this.#findProcess(endpoint);
      const isHeld = await runWithTimeout(
        { signal, timeoutMs: HOLD_TIMEOUT_MS },
        (limited) => this.#calls.holdReceipt(endpoint, record, limited),
      ).catch(() => false);
      if (isHeld && process !== undefined) copy.heldBy.set(endpoint, process);
    }
    copy.isAsking = false;
    if (copy.isWritten) this.#queueRelease(requestId, copy);
    return this.#countHolders(copy) >= wanted;
  }

  /** The store has the receipt, so its copies can go. */
  noteWritten(requestId: string): void {
    const copy = this.#copies.get(requestId);
    if (copy === undefined) return;
    copy.isWritten = true;
    // A release must not overtake the call that makes the copy.
    if (!copy.isAsking) this.#queueRelease(requestId, copy);
  }

  #queueRelease(requestId: string, copy: Copy): void {
    this.#copies.delete(requestId);
    for (const endpoint of copy.asked) {
      const releases: Releases = this.#releases.get(endpoint) ?? {
        byOwner: new Map(),
        failures: 0,
      };
      const ids = releases.byOwner.get(copy.owner) ?? new Set();
      ids.add(requestId);
      releases.byOwner.set(copy.owner, ids);
      this.#releases.set(endpoint, releases);
    }
  }

  /** Sends the queued releases; those without a reply go out again. */
  async sendReleases(signal: AbortSignal): Promise<void> {
    await Promise.all(
      [...this.#releases].map(async ([endpoint, releases]) => {
        const isSent = await this.#sendTo(endpoint, releases, signal);
        releases.failures = isSent ? 0 : releases.failures + 1;
        // The endpoint finds the receipts in the pages by itself.
        const isGivenUp = releases.failures >= MAX_RELEASE_FAILURES;
        if (isGivenUp || releases.byOwner.size === 0) {
          this.#releases.delete(endpoint);
        }
      }),
    );
  }

  async #sendTo(
    endpoint: string,
    releases: Releases,
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const [owner, ids] of [...releases.byOwner]) {
      const requestIds = [...ids].slice(0, RELEASE_BATCH);
      const release = { owner, requestIds };
      const isSent = await runWithTimeout(
        { signal, timeoutMs: HOLD_TIMEOUT_MS },
        (limited) => this.#calls.releaseReceipts(endpoint, release, limited),
      ).catch(() => false);
      if (!isSent) return false;
      for (const requestId of requestIds) ids.delete(requestId);
      if (ids.size === 0) releases.byOwner.delete(owner);
    }
    return true;
  }
}

function createCopy(owner: string): Copy {
  return {
    owner,
    asked: new Set(),
    heldBy: new Map(),
    isAsking: false,
    isWritten: false,
  };
}
