/** Tracks the endpoints that hold copies of an entry's receipts. */

import { runWithTimeout } from "../runtime/run_with_timeout.js";
import type { HeldRecord } from "../schema/index.js";

/** Timeout of one call, so that the next endpoint can still be asked. */
const CALL_TIMEOUT_MS = 500;

/** Endpoints asked to hold one receipt before it is flushed instead. */
const MAX_HOLDERS_ASKED = 3;

/** Release calls that fail in a row before the releases are dropped. */
const MAX_RELEASE_FAILURES = 10;

/** Request ids in one release call. */
const RELEASE_BATCH_SIZE = 1_000;

export interface HolderCalls {
  /**
   * Identifies the endpoint's process; undefined when the endpoint is leaving
   * or can't be reached. After a restart the id differs, and copies are lost.
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

interface CopyState {
  readonly owner: string;
  /** Endpoints that may have a copy, including those that did not reply. */
  readonly askedEndpoints: Set<string>;
  /** Endpoints that confirmed a copy, with the process that has it. */
  readonly heldBy: Map<string, string>;
  isAsking: boolean;
  isWritten: boolean;
}

/** Releases that wait to be sent to one endpoint. */
interface EndpointReleases {
  /** Request ids by owner. */
  readonly byOwner: Map<string, Set<string>>;
  consecutiveFailures: number;
}

export class ReceiptHolders {
  readonly #calls: HolderCalls;
  readonly #copies = new Map<string, CopyState>();
  readonly #releases = new Map<string, EndpointReleases>();

  constructor(calls: HolderCalls) {
    this.#calls = calls;
  }

  /** True when a live endpoint has confirmed a copy. */
  isHeld(requestId: string): boolean {
    const copy = this.#copies.get(requestId);
    return copy !== undefined && this.#isHeld(copy);
  }

  /** True when fewer than `wantedHolders` live endpoints have a copy. */
  needsHolder(requestId: string, wantedHolders = 1): boolean {
    const copy = this.#copies.get(requestId);
    if (copy === undefined || copy.isAsking) return false;
    return this.#countHolders(copy) < wantedHolders;
  }

  #isHeld(copy: CopyState): boolean {
    return this.#countHolders(copy) > 0;
  }

  #countHolders({ heldBy }: CopyState): number {
    return [...heldBy].filter(
      ([endpoint, process]) => this.#findProcess(endpoint) === process,
    ).length;
  }

  #findProcess(endpoint: string): string | undefined {
    const { findProcess } = this.#calls;
    return findProcess === undefined ? endpoint : findProcess(endpoint);
  }

  /**
   * Asks the endpoints in turn until `wantedHolders` have a copy, earlier
   * holders included; false when too few do.
   */
  async hold(
    record: HeldRecord,
    endpoints: readonly string[],
    signal: AbortSignal,
    wantedHolders = 1,
  ): Promise<boolean> {
    const { requestId } = record.receipt;
    const copy = this.#copies.get(requestId) ?? createCopyState(record.owner);
    this.#copies.set(requestId, copy);
    for (const [endpoint, process] of copy.heldBy) {
      if (this.#findProcess(endpoint) !== process) copy.heldBy.delete(endpoint);
    }
    copy.isAsking = true;
    const others = endpoints.filter((endpoint) => !copy.heldBy.has(endpoint));
    for (const endpoint of others.slice(0, MAX_HOLDERS_ASKED)) {
      if (signal.aborted || copy.isWritten) break;
      if (this.#countHolders(copy) >= wantedHolders) break;
      copy.askedEndpoints.add(endpoint);
      // Read before the call, because a restart during it loses the copy.
      const process = this.#findProcess(endpoint);
      const isHeld = await runWithTimeout(
        { signal, timeoutMs: CALL_TIMEOUT_MS },
        (callSignal) => this.#calls.holdReceipt(endpoint, record, callSignal),
      ).catch(() => false);
      if (isHeld && process !== undefined) copy.heldBy.set(endpoint, process);
    }
    copy.isAsking = false;
    if (copy.isWritten) this.#queueRelease(requestId, copy);
    return this.#countHolders(copy) >= wantedHolders;
  }

  /** Records that the store has the receipt, and releases its copies. */
  markWritten(requestId: string): void {
    const copy = this.#copies.get(requestId);
    if (copy === undefined) return;
    copy.isWritten = true;
    // A release must not arrive before the call that makes the copy.
    if (!copy.isAsking) this.#queueRelease(requestId, copy);
  }

  #queueRelease(requestId: string, copy: CopyState): void {
    this.#copies.delete(requestId);
    for (const endpoint of copy.askedEndpoints) {
      const releases: EndpointReleases = this.#releases.get(endpoint) ?? {
        byOwner: new Map(),
        consecutiveFailures: 0,
      };
      const ids = releases.byOwner.get(copy.owner) ?? new Set();
      ids.add(requestId);
      releases.byOwner.set(copy.owner, ids);
      this.#releases.set(endpoint, releases);
    }
  }

  /** Sends the queued releases; those without a reply stay queued. */
  async sendReleases(signal: AbortSignal): Promise<void> {
    await Promise.all(
      [...this.#releases].map(async ([endpoint, releases]) => {
        const isSent = await this.#sendReleasesTo(endpoint, releases, signal);
        releases.consecutiveFailures = isSent
          ? 0
          : releases.consecutiveFailures + 1;
        // The endpoint will find the receipts in the owner's pages.
        const isAbandoned =
          releases.consecutiveFailures >= MAX_RELEASE_FAILURES;
        if (isAbandoned || releases.byOwner.size === 0) {
          this.#releases.delete(endpoint);
        }
      }),
    );
  }

  async #sendReleasesTo(
    endpoint: string,
    releases: EndpointReleases,
    signal: AbortSignal,
  ): Promise<boolean> {
    for (const [owner, ids] of [...releases.byOwner]) {
      const requestIds = [...ids].slice(0, RELEASE_BATCH_SIZE);
      const release = { owner, requestIds };
      const isSent = await runWithTimeout(
        { signal, timeoutMs: CALL_TIMEOUT_MS },
        (callSignal) =>
          this.#calls.releaseReceipts(endpoint, release, callSignal),
      ).catch(() => false);
      if (!isSent) return false;
      for (const requestId of requestIds) ids.delete(requestId);
      if (ids.size === 0) releases.byOwner.delete(owner);
    }
    return true;
  }
}

function createCopyState(owner: string): CopyState {
  return {
    owner,
    askedEndpoints: new Set(),
    heldBy: new Map(),
    isAsking: false,
    isWritten: false,
  };
}
