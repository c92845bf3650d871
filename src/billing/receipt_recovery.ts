/** Writes the receipts of an owner that can't write them itself any more. */

import type { ObjectStore } from "../adapters/index.js";
import {
  getPageKey,
  getPagePrefix,
  getRecoveredKey,
  listMissing,
} from "../core/index.js";
import { callStore, writeObject } from "../runtime/store_calls.js";
import type {
  HeldRecord,
  LedgerPage,
  RecoveredReceipt,
} from "../schema/index.js";
import { writeResult } from "./claim_writes.js";

/** Pages in one list call: 4 MB at most. */
const LIST_LIMIT = 8;

/** Pages that the longest store outage lets an owner write afterwards. */
const MAX_PAGES_READ = 1_000;

export interface Recovery {
  readonly owner: string;
  readonly records: readonly HeldRecord[];
  /** Name of the endpoint that recovers. */
  readonly endpoint: string;
}

export interface RecoveryOptions {
  readonly signal: AbortSignal;
  readonly createId: () => string;
  /** False for a live owner: what its pages lack is left to it. */
  readonly seal: boolean;
}

export interface RecoveryOutcome {
  /** Request ids that the store has now. */
  readonly written: string[];
  readonly isComplete: boolean;
}

/** Brings every record into the store, each into its one place. */
export async function recoverRecords(
  recovery: Recovery,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<RecoveryOutcome> {
  const orders = recovery.records.filter((r) => r.completion !== undefined);
  const others = recovery.records.filter((r) => r.completion === undefined);
  const ofOrders = await recoverOrders(orders, store, options);
  const ofPages = await recoverPages(
    { ...recovery, records: others },
    store,
    options,
  );
  return {
    written: [...ofOrders.written, ...ofPages.written],
    isComplete: ofOrders.isComplete && ofPages.isComplete,
  };
}

/** The bill of an order belongs into its claim. */
async function recoverOrders(
  records: readonly HeldRecord[],
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<RecoveryOutcome> {
  const written: string[] = [];
  for (const { receipt: bill, completion } of records) {
    if (completion === undefined) continue;
    const result = { ...completion, account: bill.account, bill };
    const outcome = await writeResult(store, result, options);
    if (outcome.kind === "unavailable") return { written, isComplete: false };
    written.push(bill.requestId);
  }
  return { written, isComplete: true };
}

async function recoverPages(
  recovery: Recovery,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<RecoveryOutcome> {
  const { owner, records } = recovery;
  if (records.length === 0) return { written: [], isComplete: true };
  const pages = await readPages(recovery, store, options);
  if (pages === undefined) return { written: [], isComplete: false };

  const missing = listMissing(records, pages);
  const missingIds = new Set(missing.map((r) => r.receipt.requestId));
  const written = records
    .map((r) => r.receipt.requestId)
    .filter((requestId) => !missingIds.has(requestId));
  // A live owner that is not sealed writes the rest itself.
  const isSealed = options.seal || pages.at(-1)?.kind === "seal";
  if (!isSealed) return { written, isComplete: true };

  for (const { receipt } of missing) {
    const isWritten = await writeRecovered(store, { owner, receipt }, options);
    if (!isWritten) return { written, isComplete: false };
    written.push(receipt.requestId);
  }
  return { written, isComplete: true };
}

/** Writes a receipt that is in no page; true when the store has it. */
export async function writeRecovered(
  store: ObjectStore,
  value: RecoveredReceipt,
  options: { signal: AbortSignal },
): Promise<boolean> {
  const key = getRecoveredKey(value.receipt.requestId);
  // Whoever wrote the key wrote the same receipt.
  const write = { key, value, ifVersion: 0, isOwn: () => true };
  const outcome = await writeObject(store, write, options);
  return outcome.kind === "written";
}

/**
 * Reads the owner's pages that can contain the records, and seals them first
 * if asked: without a seal the owner could still write another page.
 */
async function readPages(
  recovery: Recovery,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<LedgerPage[] | undefined> {
  const { owner, records, endpoint } = recovery;
  const pages: LedgerPage[] = [];
  let last = Math.min(...records.map((record) => record.fromPage)) - 1;
  while (pages.length < MAX_PAGES_READ && !options.signal.aborted) {
    const listOptions = {
      prefix: getPagePrefix(owner),
      after: getPageKey(owner, last),
      limit: LIST_LIMIT,
    };
    const listed = await callStore(options, (signal) =>
      store.list(listOptions, signal),
    );
    if (listed.isErr()) return undefined;
    for (const { value } of listed.value) pages.push(value as LedgerPage);
    last = pages.at(-1)?.page ?? last;
    if (pages.at(-1)?.kind === "seal") return pages;
    if (listed.value.length > 0) continue;
    if (!options.seal) return pages;

    const seal: LedgerPage = {
      kind: "seal",
      owner,
      page: last + 1,
      receipts: [],
      sealedBy: endpoint,
    };
    const outcome = await writeObject(
      store,
      {
        key: getPageKey(owner, last + 1),
        value: seal,
        ifVersion: 0,
        isOwn: (value) => (value as LedgerPage).kind === "seal",
      },
      options,
    );
    if (outcome.kind === "written") return pages;
    if (outcome.kind === "unavailable") return undefined;
  }
  return undefined;
}
