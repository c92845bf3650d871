/**
 * Copies of receipts, kept by an endpoint until their owner, an entry, has
 * written them. When the owner is lost, its pages are sealed so that it can
 * write no more, and the receipts missing in them are written one by one.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  getOwnerProcess,
  MAX_RECEIPT_BYTES,
  MAX_RECEIPTS,
} from "../core/index.js";
import type { Clock } from "../runtime/clock.js";
import type {
  HeldRecord,
  HoldReceiptRequest,
  ReleaseReceiptsRequest,
} from "../schema/index.js";
import { recoverRecords } from "./receipt_recovery.js";

/** Longer than any pause that an entry survives, so seals are rare. */
const OWNER_LOST_AFTER_MS = 30_000;

/** When a live owner's copy is this old, its release was probably lost. */
const STALE_COPY_AGE_MS = 120_000;

const CHECK_INTERVAL_MS = 5_000;

/**
 * Time for live owners to write and release their receipts before a stopping
 * endpoint seals their pages: several page intervals.
 */
const OWNER_GRACE_MS = 5_000;

/** Pause between two tries to hand copies over on a graceful shutdown. */
const HAND_OVER_INTERVAL_MS = 250;

interface HeldCopy {
  readonly record: HeldRecord;
  readonly request: HoldReceiptRequest;
  readonly bytes: number;
  readonly heldAtMs: number;
}

export interface HeldReceiptsOptions {
  /** Without a store nothing is held, since it could not be recovered. */
  readonly store: ObjectStore | undefined;
  readonly clock: Clock;
  readonly createId: () => string;
  /** Name of this endpoint, written into the seals. */
  readonly endpoint: string;
  /**
   * True while the entry process, named `{entry}-{incarnation}`, has a stream
   * to this endpoint.
   */
  readonly isProcessLive: (process: string) => boolean;
  /** True when a later start of the same entry has a stream instead. */
  readonly isProcessReplaced?: (process: string) => boolean;
  /** `HoldReceipt` at any other endpoint; false when none takes it. */
  readonly forwardReceipt: (
    request: HoldReceiptRequest,
    signal: AbortSignal,
  ) => Promise<boolean>;
  readonly maxReceipts?: number;
  readonly maxBytes?: number;
}

export class HeldReceipts {
  readonly #options: HeldReceiptsOptions;
  /** By owner, then by request id. */
  readonly #copies = new Map<string, Map<string, HeldCopy>>();
  readonly #ownerSeenAtMs = new Map<string, number>();
  /** By live owner: when its pages were last read for its old copies. */
  readonly #pagesReadAtMs = new Map<string, number>();
  #count = 0;
  #bytes = 0;
  #isStopping = false;

  constructor(options: HeldReceiptsOptions) {
    this.#options = options;
  }

  get count(): number {
    return this.#count;
  }

  /** Keeps a copy; false when there is no room or no way to recover it. */
  hold(request: HoldReceiptRequest): boolean {
    const { owner, requestId, receipt } = request;
    const { clock, maxReceipts, maxBytes, store } = this.#options;
    const bytes = Buffer.byteLength(receipt);
    if (store === undefined || this.#isStopping) return false;
    const copies = this.#copies.get(owner) ?? new Map<string, HeldCopy>();
    this.#ownerSeenAtMs.set(owner, clock.now());
    if (copies.has(requestId)) return true;
    if (this.#count >= (maxReceipts ?? MAX_RECEIPTS)) return false;
    if (this.#bytes + bytes > (maxBytes ?? MAX_RECEIPT_BYTES)) return false;
    const record = parseRecord(request);
    if (record === undefined) return false;
    copies.set(requestId, { record, request, bytes, heldAtMs: clock.now() });
    this.#copies.set(owner, copies);
    this.#count += 1;
    this.#bytes += bytes;
    return true;
  }

  /** Drops the copies of receipts that the owner has written. */
  release(request: ReleaseReceiptsRequest): void {
    this.#ownerSeenAtMs.set(request.owner, this.#options.clock.now());
    for (const requestId of request.requestIds) {
      this.#drop(request.owner, requestId);
    }
  }

  #drop(owner: string, requestId: string): void {
    const copies = this.#copies.get(owner);
    const copy = copies?.get(requestId);
    if (copies === undefined || copy === undefined) return;
    copies.delete(requestId);
    this.#count -= 1;
    this.#bytes -= copy.bytes;
    if (copies.size > 0) return;
    this.#copies.delete(owner);
    this.#ownerSeenAtMs.delete(owner);
    this.#pagesReadAtMs.delete(owner);
  }

  /** Tries once to recover the copies of lost owners; false if some remain. */
  async recoverLostOwners(signal: AbortSignal): Promise<boolean> {
    const { clock, isProcessLive, isProcessReplaced } = this.#options;
    let isComplete = true;
    for (const owner of [...this.#copies.keys()]) {
      if (signal.aborted) return false;
      const process = getOwnerProcess(owner);
      if (isProcessLive(process)) {
        this.#ownerSeenAtMs.set(owner, clock.now());
        await this.#dropWritten(owner, signal);
        continue;
      }
      const sinceSeenMs = clock.now() - (this.#ownerSeenAtMs.get(owner) ?? 0);
      // After the owner's end these may be the only copies, so they are
      // recovered as soon as possible.
      const isReplaced = isProcessReplaced?.(process) ?? false;
      if (!isReplaced && sinceSeenMs < OWNER_LOST_AFTER_MS) continue;
      // The owner stays lost if the next start also ends before the recovery.
      this.#ownerSeenAtMs.set(owner, Number.NEGATIVE_INFINITY);
      isComplete =
        (await this.#recover(owner, { signal, seal: true })) && isComplete;
    }
    return isComplete;
  }

  /** Drops copies of a live owner that its pages contain, once they are old. */
  async #dropWritten(owner: string, signal: AbortSignal): Promise<void> {
    const [oldest] = this.#copies.get(owner)?.values() ?? [];
    if (oldest === undefined) return;
    const nowMs = this.#options.clock.now();
    const lastReadAtMs = this.#pagesReadAtMs.get(owner) ?? oldest.heldAtMs;
    if (nowMs - lastReadAtMs < STALE_COPY_AGE_MS) return;
    // Limits the store calls of a long outage, when every endpoint has old
    // copies of every entry.
    this.#pagesReadAtMs.set(owner, nowMs);
    await this.#recover(owner, { signal, seal: false });
  }

  async #recover(
    owner: string,
    options: { signal: AbortSignal; seal: boolean },
  ): Promise<boolean> {
    const { store, createId, endpoint } = this.#options;
    const copies = [...(this.#copies.get(owner)?.values() ?? [])];
    if (store === undefined || copies.length === 0) return true;
    const outcome = await recoverRecords(
      { owner, records: copies.map((copy) => copy.record), endpoint },
      store,
      { ...options, createId },
    );
    for (const requestId of outcome.written) this.#drop(owner, requestId);
    return outcome.isComplete;
  }

  /** Checks for lost owners until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(CHECK_INTERVAL_MS, signal);
      if (!signal.aborted) await this.recoverLostOwners(signal);
    }
  }

  /**
   * Graceful shutdown: gives each copy to another endpoint, or writes it.
   * Live owners first get time to write and release their receipts.
   */
  async handOver(signal: AbortSignal): Promise<void> {
    const { clock, isProcessLive } = this.#options;
    const isLive = (owner: string) => isProcessLive(getOwnerProcess(owner));
    const startedAtMs = clock.now();
    this.#isStopping = true;
    while (this.#count > 0 && !signal.aborted) {
      await this.#forwardAll(signal);
      const isGraceOver = clock.now() - startedAtMs >= OWNER_GRACE_MS;
      for (const owner of [...this.#copies.keys()]) {
        if (isLive(owner) && !isGraceOver) continue;
        await this.#recover(owner, { signal, seal: true });
      }
      if (this.#count === 0) return;
      await clock.sleep(HAND_OVER_INTERVAL_MS, signal);
    }
    for (const owner of this.#copies.keys()) {
      // A live owner still has its receipts and writes them itself.
      assertInvariant(
        isLive(owner),
        "unbilled",
        `Receipts of lost owner "${owner}" have no holder`,
      );
    }
  }

  async #forwardAll(signal: AbortSignal): Promise<void> {
    for (const [owner, copies] of [...this.#copies]) {
      for (const [requestId, { request }] of [...copies]) {
        const isHeld = await this.#options
          .forwardReceipt(request, signal)
          .catch(() => false);
        // No endpoint takes copies now, so the rest is written instead.
        if (!isHeld) return;
        this.#drop(owner, requestId);
      }
    }
  }
}

/** Parses the record; undefined if recovery could not use it. */
function parseRecord(request: HoldReceiptRequest): HeldRecord | undefined {
  try {
    const record = JSON.parse(request.receipt) as Partial<HeldRecord>;
    const isUsable =
      record.owner === request.owner &&
      record.receipt?.requestId === request.requestId &&
      Number.isInteger(record.fromPage);
    return isUsable ? (record as HeldRecord) : undefined;
  } catch {
    return undefined;
  }
}
