/**
 * Writes the receipts of an entry to the ledger. Before the last byte of an
 * answer is sent, its receipt is in the store, or both in this entry and as a
 * copy at an endpoint.
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

/** Pause before the search for a holder, or the last flush, is retried. */
const RETRY_INTERVAL_MS = 250;

/** Endpoints with a copy of each receipt while flushes fail. */
const OUTAGE_HOLDER_COUNT = 2;

/** Receipts given a new copy after one failed flush. */
const MAX_COPY_RENEWALS = 500;

/** Timeout of the flush that a graceful shutdown begins with. */
const CLOSE_FLUSH_TIMEOUT_MS = 2_000;

/** Hand-overs that may fail in a row; more would delay the shutdown. */
const MAX_HAND_OVER_FAILURES = 5;

/** Limits the pages to ten a second when no endpoint holds receipts. */
const FLUSH_DELAY_MS = 100;

export interface EntryLedgerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly holders: ReceiptHolders;
  /** The entry's name and the id of this start of its process. */
  readonly entry: string;
  readonly incarnation: string;
  /** Endpoints that can keep a copy; asked when a holder is lost. */
  readonly listHolders?: () => readonly string[];
  /** Entries that share the store's rate limit; one when absent. */
  readonly countEntries?: () => number;
  readonly maxReceipts?: number;
  readonly maxBytes?: number;
}

/**
 * Where the receipt is besides this entry: at an endpoint, in the store, or
 * nowhere ("unprotected").
 */
export type AddOutcome = "held" | "written" | "unprotected";

export class EntryLedger {
  readonly #options: EntryLedgerOptions;
  /** By request id; resolves the wait of `add` when the store has it. */
  readonly #writtenCallbacks = new Map<string, () => void>();
  readonly #sealedBuffers: SealedBuffers;
  #buffer: ReceiptBuffer;
  #generation = 1;
  #runningFlush: Promise<boolean> | undefined;
  /** Starts after the running one. */
  #queuedFlush: Promise<boolean> | undefined;
  #isFlushScheduled = false;

  constructor(options: EntryLedgerOptions) {
    this.#options = options;
    this.#buffer = this.#createBuffer();
    this.#sealedBuffers = new SealedBuffers({
      store: options.store,
      onWritten: (requestId) => this.#markWritten(requestId),
    });
  }

  /** Name under which pages are written; a new one after a seal. */
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
    return [...this.#sealedBuffers.list(), this.#buffer];
  }

  /** Refuses new work when too many receipts wait for the store. */
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
   * Adds the receipt of a request and resolves when the last byte of its
   * answer may be sent. `holders` starts with the endpoint of the last step.
   * Returns "unprotected" only after the signal aborts.
   */
  async add(
    receipt: Receipt,
    options: { holders: readonly string[] },
    signal: AbortSignal,
  ): Promise<AddOutcome> {
    const { requestId } = receipt;
    // The owner is fixed before the copy is made, because recovery looks for
    // the receipt only in the pages of the owner that the copy names.
    const buffer = this.#buffer;
    const fromPage = buffer.add(receipt);
    const record = { owner: buffer.owner, fromPage, receipt };
    const written = new Promise<void>((resolve) => {
      this.#writtenCallbacks.set(requestId, resolve);
    });
    if (buffer.hasFullPage) void this.flush(signal);
    while (!signal.aborted) {
      const { holders } = this.#options;
      if (await holders.hold(record, options.holders, signal)) {
        this.#writtenCallbacks.delete(requestId);
        return "held";
      }
      this.#scheduleFlush(signal);
      const retry = this.#options.clock.sleep(RETRY_INTERVAL_MS, signal);
      await Promise.race([written, retry]);
      if (!buffer.has(requestId)) return "written";
    }
    this.#writtenCallbacks.delete(requestId);
    return buffer.has(requestId) ? "unprotected" : "written";
  }

  /** Writes the open receipts; true when the store has them all. */
  flush(signal: AbortSignal): Promise<boolean> {
    if (this.#runningFlush === undefined) {
      this.#runningFlush = this.#writeAll(signal).finally(() => {
        this.#runningFlush = undefined;
      });
      return this.#runningFlush;
    }
    // The running flush may not include the newest receipts.
    this.#queuedFlush ??= this.#runningFlush.then(() => {
      this.#queuedFlush = undefined;
      return this.flush(signal);
    });
    return this.#queuedFlush;
  }

  /** Flushes after a delay, so that receipts without a holder share a page. */
  #scheduleFlush(signal: AbortSignal): void {
    if (this.#isFlushScheduled) return;
    this.#isFlushScheduled = true;
    void this.#options.clock.sleep(FLUSH_DELAY_MS, signal).then(() => {
      this.#isFlushScheduled = false;
      return this.flush(signal);
    });
  }

  async #writeAll(signal: AbortSignal): Promise<boolean> {
    let isWritten = await this.#sealedBuffers.recover(signal);
    // Receipts that arrive during the flush wait for the next one: writing them
    // at once would make a page of few receipts with every store call.
    let openCount = this.#buffer.count;
    while ((openCount > 0 || this.#buffer.hasFullPage) && !signal.aborted) {
      const page = this.#buffer.takePage();
      if (page === undefined) break;
      const outcome = await this.#writePage(page, signal);
      if (outcome === "unavailable") break;
      if (outcome === "sealed")
        isWritten = await this.#sealedBuffers.recover(signal);
      openCount = outcome === "sealed" ? 0 : openCount - page.receipts.length;
    }
    await this.#options.holders.sendReleases(signal);
    return isWritten && openCount <= 0;
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
      this.#markWritten(requestId);
    }
    return "written";
  }

  #startNextOwner(): void {
    this.#sealedBuffers.add(this.#buffer);
    this.#generation += 1;
    this.#buffer = this.#createBuffer();
  }

  #markWritten(requestId: string): void {
    this.#options.holders.markWritten(requestId);
    this.#writtenCallbacks.get(requestId)?.();
    this.#writtenCallbacks.delete(requestId);
  }

  /** Flushes at the page interval, slower in an outage, until aborted. */
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

  /**
   * Replaces copies whose holder is gone: a store outage can last longer than
   * a holder. Every receipt gets one copy before any gets a second.
   */
  async #renewCopies(signal: AbortSignal): Promise<void> {
    await this.#addHolders(1, signal);
    await this.#addHolders(OUTAGE_HOLDER_COUNT, signal);
  }

  async #addHolders(wantedHolders: number, signal: AbortSignal): Promise<void> {
    const { holders, listHolders = () => [] } = this.#options;
    const needsCopy = (id: string) => holders.needsHolder(id, wantedHolders);
    const records = this.#listRecords((id) => needsCopy(id)).slice(
      0,
      MAX_COPY_RENEWALS,
    );
    for (const record of records) {
      if (!needsCopy(record.receipt.requestId)) continue;
      const isFound = await holders.hold(
        record,
        listHolders(),
        signal,
        wantedHolders,
      );
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
   * Writes the open receipts; after the signal aborts, gives endpoints copies
   * of those left. One flush is tried even if the signal has aborted before.
   */
  async close(
    options: { holders: readonly string[] },
    signal: AbortSignal,
  ): Promise<void> {
    let isWritten = await this.flush(
      AbortSignal.timeout(CLOSE_FLUSH_TIMEOUT_MS),
    );
    while (!signal.aborted && !isWritten) {
      await this.#options.clock.sleep(RETRY_INTERVAL_MS, signal);
      isWritten = await this.flush(signal);
    }
    const { holders } = this.#options;
    const isHeld = (id: string) => holders.isHeld(id);
    // The signal has aborted; each hand-over has a timeout of its own.
    const handOverSignal = new AbortController().signal;
    let failures = 0;
    for (const record of this.#listRecords((id) => !isHeld(id))) {
      if (failures >= MAX_HAND_OVER_FAILURES) break;
      if (await holders.hold(record, options.holders, handOverSignal))
        failures = 0;
      else failures += 1;
    }
    const unheld = this.#listRecords((id) => !isHeld(id));
    assertInvariant(
      unheld.length === 0,
      "unbilled",
      `${unheld.length} receipts of "${this.owner}" have no holder`,
    );
  }
}
