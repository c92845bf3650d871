/**
 * Brings the receipts of an entry into the ledger. A receipt has two holders
 * before the last byte of its answer leaves: this entry and an endpoint, or
 * the store.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  createRefusal,
  getPageKey,
  getRecoveredKey,
  MAX_RECEIPT_BYTES,
  MAX_RECEIPTS,
  PAGE_INTERVAL_MS,
  ReceiptBuffer,
  type Refusal,
} from "../core/index.js";
import type { LedgerPage, Receipt } from "../schema/index.js";
import type { Clock } from "./clock.js";
import type { ReceiptHolders } from "./receipt_holders.js";
import { writeObject } from "./store_writes.js";

/** Bounds the calls that all entries together make during an outage. */
const MAX_RETRY_INTERVAL_MS = 4_000;

/** Between two tries to find a second holder for a receipt. */
const HOLD_RETRY_MS = 250;

/** Writes of recovered receipts at once, well under the store's rate. */
const RECOVERY_WRITES = 8;

export interface EntryLedgerOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly holders: ReceiptHolders;
  /** The entry's name and the id of this start of its process. */
  readonly entry: string;
  readonly incarnation: string;
  readonly maxReceipts?: number;
  readonly maxBytes?: number;
}

/** Where the second copy is when the answer may end. */
export type AddOutcome = "held" | "written" | "unprotected";

export class EntryLedger {
  readonly #options: EntryLedgerOptions;
  readonly #waiters = new Map<string, () => void>();
  /** Buffers whose pages a survivor sealed, until all is recovered. */
  readonly #sealed = new Set<ReceiptBuffer>();
  #buffer: ReceiptBuffer;
  #generation = 1;
  #running: Promise<boolean> | undefined;
  #queued: Promise<boolean> | undefined;

  constructor(options: EntryLedgerOptions) {
    this.#options = options;
    this.#buffer = this.#createBuffer();
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
    return [...this.#sealed, this.#buffer];
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
      void this.flush(signal);
      await Promise.race([
        written,
        this.#options.clock.sleep(HOLD_RETRY_MS, signal),
      ]);
      if (!buffer.has(requestId)) return "written";
    }
    this.#waiters.delete(requestId);
    return buffer.has(requestId) ? "unprotected" : "written";
  }

  /** Writes what waits; true when the store has every receipt. */
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

  async #writeAll(signal: AbortSignal): Promise<boolean> {
    let isWritten = await this.#recoverSealed(signal);
    let page = this.#buffer.takePage();
    while (page !== undefined && !signal.aborted) {
      const outcome = await this.#writePage(page, signal);
      if (outcome === "unavailable") break;
      if (outcome === "sealed") isWritten = await this.#recoverSealed(signal);
      page = this.#buffer.takePage();
    }
    await this.#options.holders.sendReleases(signal);
    return isWritten && page === undefined;
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
    this.#buffer.seal();
    this.#sealed.add(this.#buffer);
    this.#generation += 1;
    this.#buffer = this.#createBuffer();
  }

  #noteWritten(requestId: string): void {
    this.#options.holders.noteWritten(requestId);
    this.#waiters.get(requestId)?.();
    this.#waiters.delete(requestId);
  }

  async #recoverSealed(signal: AbortSignal): Promise<boolean> {
    for (const buffer of this.#sealed) {
      const open = buffer.listOpen();
      for (let start = 0; start < open.length; start += RECOVERY_WRITES) {
        const batch = open.slice(start, start + RECOVERY_WRITES);
        const done = await Promise.all(
          batch.map((receipt) => this.#recover(buffer, receipt, signal)),
        );
        if (done.includes(false)) return false;
      }
      this.#sealed.delete(buffer);
    }
    return true;
  }

  async #recover(
    buffer: ReceiptBuffer,
    receipt: Receipt,
    signal: AbortSignal,
  ): Promise<boolean> {
    const key = getRecoveredKey(receipt.requestId);
    const value = { owner: buffer.owner, receipt };
    // Whoever wrote the key wrote the same receipt.
    const write = { key, value, ifVersion: 0, isOwn: () => true };
    const outcome = await writeObject(this.#options.store, write, { signal });
    if (outcome.kind !== "written") return false;
    buffer.confirmRecovered(receipt.requestId);
    this.#noteWritten(receipt.requestId);
    return true;
  }

  /** Writes a page each second until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    let intervalMs = PAGE_INTERVAL_MS;
    while (!signal.aborted) {
      await this.#options.clock.sleep(intervalMs, signal);
      if (signal.aborted) return;
      const isWritten = await this.flush(signal);
      intervalMs = isWritten
        ? PAGE_INTERVAL_MS
        : Math.min(intervalMs * 2, MAX_RETRY_INTERVAL_MS);
    }
  }

  /** Writes what is left; after the signal aborts, hands it over. */
  async close(
    options: { holders: readonly string[] },
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted && !(await this.flush(signal))) {
      await this.#options.clock.sleep(HOLD_RETRY_MS, signal);
    }
    const { holders } = this.#options;
    // The time for the store is over; each hand-over has its own limit.
    const handOver = new AbortController().signal;
    for (const buffer of this.#listBuffers()) {
      for (const receipt of buffer.listOpen()) {
        const { requestId } = receipt;
        const { owner, nextPage: fromPage } = buffer;
        const record = { owner, fromPage, receipt };
        const isHeld =
          holders.isHeld(requestId) ||
          (await holders.hold(record, options.holders, handOver));
        assertInvariant(
          isHeld,
          "unbilled",
          `The receipt of request "${requestId}" has no holder`,
        );
      }
    }
  }
}
