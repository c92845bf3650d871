/**
 * Brings the receipts of an entry into the ledger. A receipt has two holders
 * before the last byte of its answer leaves: this entry and an endpoint, or
 * the store.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  computePageIntervalMs,
  createRefusal,
  getPageKey,
  MAX_RECEIPT_BYTES,
  MAX_RECEIPTS,
  MIN_PAGE_INTERVAL_MS,
  ReceiptBuffer,
  type Refusal,
} from "../core/index.js";
import type { Clock } from "../runtime/clock.js";
import { writeObject } from "../runtime/store_calls.js";
import type { HeldRecord, LedgerPage, Receipt } from "../schema/index.js";
import type { ReceiptHolders } from "./receipt_holders.js";
import { SealedBuffers } from "./sealed_buffers.js";

/** Bounds the calls that all entries together make during an outage. */
const MAX_RETRY_INTERVAL_MS = 4_000;

/** Between two tries to find a second holder for a receipt. */
const HOLD_RETRY_MS = 250;

/** Endpoints that keep a copy of each receipt while a flush fails. */
const OUTAGE_HOLDERS = 2;

/** Copies renewed after one failed flush. */
const MAX_RENEWALS = 500;

/** Longest single try to write at the end of a graceful shutdown. */
const LAST_TRY_MS = 2_000;

/** Hand-overs that fail in a row; more would hold the shutdown up. */
const MAX_HAND_OVER_FAILURES = 5;

/** At most ten pages a second when no endpoint holds receipts. */
const SHARED_FLUSH_MS = 100;

export interface EntryLedgerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly holders: ReceiptHolders;
  /** The entry's name and the id of this start of its process. */
  readonly entry: string;
  readonly incarnation: string;
  /** Endpoints that can keep a copy; used when a holder is lost. */
  readonly listHolders?: () => readonly string[];
  /** Entries that share the store's rate; one when absent. */
  readonly countEntries?: () => number;
  readonly maxReceipts?: number;
  readonly maxBytes?: number;
}

/** Where the second copy is when the answer may end. */
export type AddOutcome = "held" | "written" | "unprotected";

export class EntryLedger {
  readonly #options: EntryLedgerOptions;
  readonly #waiters = new Map<string, () => void>();
  readonly #sealed: SealedBuffers;
  #buffer: ReceiptBuffer;
  #generation = 1;
  #running: Promise<boolean> | undefined;
  #queued: Promise<boolean> | undefined;
  #isFlushDue = false;

  constructor(options: EntryLedgerOptions) {
    this.#options = options;
    this.#buffer = this.#createBuffer();
    this.#sealed = new SealedBuffers({
      store: options.store,
      onWritten: (requestId) => this.#noteWritten(requestId),
    });
  }

  /** The name under which pages are written; new after a seal. */
  get owner(): string {
    return this.#buffer.owner;
  }

  get count(): number {
    return this.#listBuffers().reduce((sum, buffer) => sum + buffer.count, 0);
  }

  #createBuffer(): ReceiptBuffer {
    const { entry, incarnation } = this.#options;
    return new ReceiptBuffer(`${entry}-${incarnation}.${this.#generation}`);
  }

  #listBuffers(): ReceiptBuffer[] {
    return [...this.#sealed.list(), this.#buffer];
  }

  /** Refuses new work when the store has taken no receipts for long. */
  checkRoom(): Refusal | undefined {
    const { maxReceipts, maxBytes } = this.#options;
    const buffers = this.#listBuffers();
    const bytes = buffers.reduce((sum, buffer) => sum + buffer.bytes, 0);
    const hasRoom =
      this.count < (maxReceipts ?? MAX_RECEIPTS) &&
      bytes < (maxBytes ?? MAX_RECEIPT_BYTES);
    if (hasRoom) return undefined;
    const detail = `${this.count} receipts wait for the store`;
    const options = { retryAfterMs: MAX_RETRY_INTERVAL_MS };
    return createRefusal("ledger-full", detail, options);
  }

  /**
   * Takes the receipt of a request and resolves when the last byte of its
   * answer may leave. `holders` starts with the endpoint of the last step.
   * "unprotected" comes only after the signal aborts.
   */
  async add(
    receipt: Receipt,
    options: { holders: readonly string[] },
    signal: AbortSignal,
  ): Promise<AddOutcome> {
    const { requestId } = receipt;
    // The owner is fixed before the copy is made, because a survivor looks
    // for the receipt only in the pages of the owner it was told.
    const buffer = this.#buffer;
    const fromPage = buffer.add(receipt);
    const record = { owner: buffer.owner, fromPage, receipt };
    const written = new Promise<void>((resolve) => {
      this.#waiters.set(requestId, resolve);
    });
    if (buffer.hasFullPage) void this.flush(signal);
    while (!signal.aborted) {
      const { holders } = this.#options;
      if (await holders.hold(record, options.holders, signal)) {
        this.#waiters.delete(requestId);
        return "held";
      }
      this.#flushSoon(signal);
      const retry = this.#options.clock.sleep(HOLD_RETRY_MS, signal);
      await Promise.race([written, retry]);
      if (!buffer.has(requestId)) return "written";
    }
    this.#waiters.delete(requestId);
    return buffer.has(requestId) ? "unprotected" : "written";
  }

  /** Writes what waits; true when the store has all that waited. */
  flush(signal: AbortSignal): Promise<boolean> {
    if (this.#running === undefined) {
      this.#running = this.#writeAll(signal).finally(() => {
        this.#running = undefined;
      });
      return this.#running;
    }
    // The running flush may have passed the newest receipts by.
    this.#queued ??= this.#running.then(() => {
      this.#queued = undefined;
      return this.flush(signal);
    });
    return this.#queued;
  }

  /** Lets the receipts of several requests without a holder share a page. */
  #flushSoon(signal: AbortSignal): void {
    if (this.#isFlushDue) return;
    this.#isFlushDue = true;
    void this.#options.clock.sleep(SHARED_FLUSH_MS, signal).then(() => {
      this.#isFlushDue = false;
      return this.flush(signal);
    });
  }

  async #writeAll(signal: AbortSignal): Promise<boolean> {
    let isWritten = await this.#sealed.recover(signal);
    // Receipts that arrive meanwhile wait for their own page: writing them at
    // once would make a page of a few receipts with every store call.
    let left = this.#buffer.count;
    while ((left > 0 || this.#buffer.hasFullPage) && !signal.aborted) {
      const page = this.#buffer.takePage();
      if (page === undefined) break;
      const outcome = await this.#writePage(page, signal);
      if (outcome === "unavailable") break;
      if (outcome === "sealed") isWritten = await this.#sealed.recover(signal);
      left = outcome === "sealed" ? 0 : left - page.receipts.length;
    }
    await this.#options.holders.sendReleases(signal);
    return isWritten && left <= 0;
  }

  async #writePage(
    page: LedgerPage,
    signal: AbortSignal,
  ): Promise<"written" | "sealed" | "unavailable"> {
    const key = getPageKey(page.owner, page.page);
    const isOwn = (value: unknown) => (value as LedgerPage).kind === "page";
    const outcome = await writeObject(
      this.#options.store,
      { key, value: page, ifVersion: 0, isOwn },
      { signal },
    );
    if (outcome.kind === "unavailable") return "unavailable";
    if (outcome.kind === "conflict") {
      this.#startNextOwner();
      return "sealed";
    }
    for (const { requestId } of this.#buffer.confirmPage(page)) {
      this.#noteWritten(requestId);
    }
    return "written";
  }

  #startNextOwner(): void {
    this.#sealed.add(this.#buffer);
    this.#generation += 1;
    this.#buffer = this.#createBuffer();
  }

  #noteWritten(requestId: string): void {
    this.#options.holders.noteWritten(requestId);
    this.#waiters.get(requestId)?.();
    this.#waiters.delete(requestId);
  }

  /** Writes a page each second until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    const { countEntries = () => 1 } = this.#options;
    let intervalMs = MIN_PAGE_INTERVAL_MS;
    while (!signal.aborted) {
      await this.#options.clock.sleep(intervalMs, signal);
      if (signal.aborted) return;
      const isWritten = await this.flush(signal);
      if (!isWritten) await this.#renewCopies(signal);
      intervalMs = isWritten
        ? computePageIntervalMs(countEntries())
        : Math.min(intervalMs * 2, MAX_RETRY_INTERVAL_MS);
    }
  }

  /** An outage outlasts holders: first one for each receipt, then a second. */
  async #renewCopies(signal: AbortSignal): Promise<void> {
    await this.#findHolders(1, signal);
    await this.#findHolders(OUTAGE_HOLDERS, signal);
  }

  async #findHolders(wanted: number, signal: AbortSignal): Promise<void> {
    const { holders, listHolders = () => [] } = this.#options;
    const isLost = (id: string) => holders.hasLostCopy(id, wanted);
    const lost = this.#listRecords((id) => isLost(id)).slice(0, MAX_RENEWALS);
    for (const record of lost) {
      if (!isLost(record.receipt.requestId)) continue;
      const isFound = await holders.hold(record, listHolders(), signal, wanted);
      if (!isFound) return;
    }
  }

  #listRecords(isWanted: (requestId: string) => boolean): HeldRecord[] {
    return this.#listBuffers().flatMap((buffer) => {
      const { owner, nextPage: fromPage } = buffer;
      return buffer
        .listOpen()
        .filter(({ requestId }) => isWanted(requestId))
        .map((receipt) => ({ owner, fromPage, receipt }));
    });
  }

  /**
   * Writes what is left; after the signal aborts, hands it over. One try to
   * write is made even after running work has used up the time.
   */
  async close(
    options: { holders: readonly string[] },
    signal: AbortSignal,
  ): Promise<void> {
    let isWritten = await this.flush(AbortSignal.timeout(LAST_TRY_MS));
    while (!signal.aborted && !isWritten) {
      await this.#options.clock.sleep(HOLD_RETRY_MS, signal);
      isWritten = await this.flush(signal);
    }
    const { holders } = this.#options;
    const isHeld = (id: string) => holders.isHeld(id);
    // The time for the store is over; each hand-over has its own limit.
    const handOver = new AbortController().signal;
    let failures = 0;
    for (const record of this.#listRecords((id) => !isHeld(id))) {
      if (failures >= MAX_HAND_OVER_FAILURES) break;
      if (await holders.hold(record, options.holders, handOver)) failures = 0;
      else failures += 1;
    }
    const lost = this.#listRecords((id) => !isHeld(id));
    assertInvariant(
      lost.length === 0,
      "unbilled",
      `${lost.length} receipts of "${this.owner}" have no holder`,
    );
  }
}
