/**
 * The buffer of one owner's receipts, which arranges them in ledger pages. A
 * page's content never changes after the first attempt to write it, and pages
 * are written strictly in order, so a seal ends them at a known page.
 */

import type { HeldRecord, LedgerPage, Receipt } from "../schema/index.js";
import { assertInvariant } from "./errors.js";

export const MAX_RECEIPTS = 50_000;
export const MAX_RECEIPT_BYTES = 16 * 1024 * 1024;
/** Half of a stored object's 1 MB: the last receipt may exceed it. */
export const TARGET_PAGE_BYTES = 512 * 1024;
export const MIN_PAGE_INTERVAL_MS = 1_000;
/** Pages per second that all entries together write, of several hundred. */
const MAX_PAGES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/** Time between an entry's pages that keeps the fleet at its page rate. */
export function computePageIntervalMs(entryCount: number): number {
  const intervalMs = (entryCount / MAX_PAGES_PER_SECOND) * MS_PER_SECOND;
  return Math.max(MIN_PAGE_INTERVAL_MS, Math.ceil(intervalMs));
}

/** Page numbers are padded to this length, so key order is page order. */
const PAGE_DIGITS = 8;

export function getPageKey(owner: string, page: number): string {
  return `ledger/${owner}/${String(page).padStart(PAGE_DIGITS, "0")}`;
}

/** Prefix of an owner's pages. */
export function getPagePrefix(owner: string): string {
  return `ledger/${owner}/`;
}

export const RECOVERED_PREFIX = "ledger/recovered/";

export function getRecoveredKey(requestId: string): string {
  return `${RECOVERED_PREFIX}${requestId}`;
}

interface OpenReceipt {
  readonly receipt: Receipt;
  readonly bytes: number;
}

/** Receipts of one owner that are not yet in the store. */
export class ReceiptBuffer {
  readonly owner: string;
  /** Receipts that are in no page yet, in order of arrival. */
  readonly #unpaged = new Map<string, OpenReceipt>();
  /** The page that was given out to be written and is not yet confirmed. */
  #unconfirmed: { page: LedgerPage; bytes: number } | undefined;
  #unpagedBytes = 0;
  #nextPage = 1;
  #isSealed = false;

  constructor(owner: string) {
    this.owner = owner;
  }

  get count(): number {
    return this.#unpaged.size + (this.#unconfirmed?.page.receipts.length ?? 0);
  }

  get bytes(): number {
    return this.#unpagedBytes + (this.#unconfirmed?.bytes ?? 0);
  }

  /** True when the receipts that are in no page yet would fill one. */
  get hasFullPage(): boolean {
    return this.#unpagedBytes >= TARGET_PAGE_BYTES;
  }

  /** First page that can contain a receipt added now. */
  get nextPage(): number {
    return this.#nextPage;
  }

  /** Adds a receipt; returns the first page that can contain it. */
  add(receipt: Receipt): number {
    const { requestId } = receipt;
    assertInvariant(
      !this.has(requestId),
      "billedTwice",
      `request "${requestId}" has a second receipt`,
    );
    const bytes = Buffer.byteLength(JSON.stringify(receipt));
    this.#unpaged.set(requestId, { receipt, bytes });
    this.#unpagedBytes += bytes;
    return this.#nextPage;
  }

  has(requestId: string): boolean {
    return (
      this.#unpaged.has(requestId) ||
      (this.#unconfirmed?.page.receipts.some(
        (r) => r.requestId === requestId,
      ) ??
        false)
    );
  }

  /** The page to write next: the unconfirmed one, else a new one. */
  takePage(): LedgerPage | undefined {
    assertInvariant(
      !this.#isSealed,
      "billedTwice",
      `a page of "${this.owner}" was taken after its seal`,
    );
    if (this.#unconfirmed !== undefined) return this.#unconfirmed.page;
    if (this.#unpaged.size === 0) return undefined;
    const receipts: Receipt[] = [];
    let bytes = 0;
    for (const [requestId, open] of this.#unpaged) {
      if (bytes >= TARGET_PAGE_BYTES) break;
      receipts.push(open.receipt);
      bytes += open.bytes;
      this.#unpaged.delete(requestId);
    }
    this.#unpagedBytes -= bytes;
    const { owner } = this;
    const page = {
      kind: "page" as const,
      owner,
      page: this.#nextPage,
      receipts,
    };
    this.#unconfirmed = { page, bytes };
    return page;
  }

  /** Records that the store has the page; returns its receipts. */
  confirmPage(page: LedgerPage): Receipt[] {
    assertInvariant(
      this.#unconfirmed?.page === page,
      "billedTwice",
      `page ${page.page} of "${this.owner}" was confirmed twice`,
    );
    this.#unconfirmed = undefined;
    this.#nextPage += 1;
    return page.receipts;
  }

  /**
   * Records that another process sealed the owner's pages. Each open receipt
   * must then be written as its own object and confirmed with
   * `confirmRecovered`.
   */
  seal(): void {
    const open = this.listOpen();
    this.#unconfirmed = undefined;
    this.#isSealed = true;
    this.#unpaged.clear();
    this.#unpagedBytes = 0;
    for (const receipt of open) this.add(receipt);
  }

  /** Receipts that no confirmed page contains. */
  listOpen(): Receipt[] {
    return [
      ...(this.#unconfirmed?.page.receipts ?? []),
      ...[...this.#unpaged.values()].map(({ receipt }) => receipt),
    ];
  }

  /** Records that the receipt is in the store as its own object. */
  confirmRecovered(requestId: string): void {
    const open = this.#unpaged.get(requestId);
    if (open === undefined) return;
    this.#unpaged.delete(requestId);
    this.#unpagedBytes -= open.bytes;
  }
}

/** Those of the held receipts that none of the pages contains. */
export function listMissing(
  held: readonly HeldRecord[],
  pages: readonly LedgerPage[],
): HeldRecord[] {
  const written = new Set(
    pages.flatMap((page) => page.receipts.map((r) => r.requestId)),
  );
  return held.filter(({ receipt }) => !written.has(receipt.requestId));
}

/** The process part of an owner: `{entry}-{incarnation}.{generation}`. */
export function getOwnerProcess(owner: string): string {
  return owner.slice(0, owner.lastIndexOf("."));
}
