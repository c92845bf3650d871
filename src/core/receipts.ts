/**
 * Buffer of receipts of one owner and the order of its ledger pages. A page's
 * content never changes once its first write was tried, and pages are written
 * strictly in order, so a seal ends them at a known place.
 */

import type { HeldRecord, LedgerPage, Receipt } from "../schema/index.js";
import { assertInvariant } from "./errors.js";

export const MAX_RECEIPTS = 50_000;
export const MAX_RECEIPT_BYTES = 16 * 1024 * 1024;
/** Half of a stored object's 1 MB, which leaves room for the last receipt. */
export const PAGE_BYTES = 512 * 1024;
export const PAGE_INTERVAL_MS = 1_000;
/** Pages a second that all entries together write, of several hundred. */
const PAGES_PER_SECOND = 20;
const MS_PER_SECOND = 1_000;

/** Time between two pages of an entry, so that the fleet keeps its rate. */
export function computePageIntervalMs(entries: number): number {
  const intervalMs = (entries / PAGES_PER_SECOND) * MS_PER_SECOND;
  return Math.max(PAGE_INTERVAL_MS, Math.ceil(intervalMs));
}

/** Digits of a page number; key order is then page order. */
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
  /** Receipts not yet in a page, in order of arrival. */
  readonly #waiting = new Map<string, OpenReceipt>();
  /** The page whose write was tried and not yet confirmed. */
  #frozen: { page: LedgerPage; bytes: number } | undefined;
  #waitingBytes = 0;
  #nextPage = 1;
  #isSealed = false;

  constructor(owner: string) {
    this.owner = owner;
  }

  get count(): number {
    return this.#waiting.size + (this.#frozen?.page.receipts.length ?? 0);
  }

  get bytes(): number {
    return this.#waitingBytes + (this.#frozen?.bytes ?? 0);
  }

  /** True when the waiting receipts fill a page. */
  get hasFullPage(): boolean {
    return this.#waitingBytes >= PAGE_BYTES;
  }

  /** First page that can contain a receipt added now. */
  get nextPage(): number {
    return this.#nextPage;
  }

  /** Adds a receipt; gives the first page that can contain it. */
  add(receipt: Receipt): number {
    const { requestId } = receipt;
    assertInvariant(
      !this.has(requestId),
      "billedTwice",
      `request "${requestId}" has a second receipt`,
    );
    const bytes = Buffer.byteLength(JSON.stringify(receipt));
    this.#waiting.set(requestId, { receipt, bytes });
    this.#waitingBytes += bytes;
    return this.#nextPage;
  }

  has(requestId: string): boolean {
    return (
      this.#waiting.has(requestId) ||
      (this.#frozen?.page.receipts.some((r) => r.requestId === requestId) ??
        false)
    );
  }

  /** The page to write next: the one already tried, else a new one. */
  takePage(): LedgerPage | undefined {
    assertInvariant(
      !this.#isSealed,
      "billedTwice",
      `a page of "${this.owner}" was taken after its seal`,
    );
    if (this.#frozen !== undefined) return this.#frozen.page;
    if (this.#waiting.size === 0) return undefined;
    const receipts: Receipt[] = [];
    let bytes = 0;
    for (const [requestId, open] of this.#waiting) {
      if (bytes >= PAGE_BYTES) break;
      receipts.push(open.receipt);
      bytes += open.bytes;
      this.#waiting.delete(requestId);
    }
    this.#waitingBytes -= bytes;
    const { owner } = this;
    const page = {
      kind: "page" as const,
      owner,
      page: this.#nextPage,
      receipts,
    };
    this.#frozen = { page, bytes };
    return page;
  }

  /** The store has the page; gives its receipts. */
  confirmPage(page: LedgerPage): Receipt[] {
    assertInvariant(
      this.#frozen?.page === page,
      "billedTwice",
      `page ${page.page} of "${this.owner}" was confirmed twice`,
    );
    this.#frozen = undefined;
    this.#nextPage += 1;
    return page.receipts;
  }

  /**
   * A survivor sealed the owner's pages. Each open receipt is then written by
   * itself and confirmed with `confirmRecovered`.
   */
  seal(): void {
    const open = this.listOpen();
    this.#frozen = undefined;
    this.#isSealed = true;
    this.#waiting.clear();
    this.#waitingBytes = 0;
    for (const receipt of open) this.add(receipt);
  }

  /** Receipts that no confirmed page contains. */
  listOpen(): Receipt[] {
    return [
      ...(this.#frozen?.page.receipts ?? []),
      ...[...this.#waiting.values()].map(({ receipt }) => receipt),
    ];
  }

  /** The receipt is in the store outside of the pages. */
  confirmRecovered(requestId: string): void {
    const open = this.#waiting.get(requestId);
    if (open === undefined) return;
    this.#waiting.delete(requestId);
    this.#waitingBytes -= open.bytes;
  }
}

/** Receipts that neither a page nor a claim contains, of those held. */
export function listMissing(
  held: readonly HeldRecord[],
  pages: readonly LedgerPage[],
): HeldRecord[] {
  const written = new Set(
    pages.flatMap((page) => page.receipts.map((r) => r.requestId)),
  );
  return held.filter(({ receipt }) => !written.has(receipt.requestId));
}

/** The process of an owner `{entry}-{incarnation}.{generation}`. */
export function getOwnerProcess(owner: string): string {
  return owner.slice(0, owner.lastIndexOf("."));
}
