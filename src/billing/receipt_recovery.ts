/** Writes the receipts of an owner that can no longer write them itself. */

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

/** Pages in one list call, whose reply has 4 MB at most. */
const PAGES_PER_LIST_CALL = 8;

/** As many pages as an owner may write after the longest store outage. */
const MAX_PAGES_READ = 1_000;

export interface RecoveryInput {
  readonly owner: string;
  readonly records: readonly HeldRecord[];
  /** Name of the endpoint that recovers. */
  readonly endpoint: string;
}

export interface RecoveryOptions {
  readonly signal: AbortSignal;
  readonly createId: () => string;
  /** False for a live owner, which writes the missing receipts itself. */
  readonly seal: boolean;
}

export interface RecoveryOutcome {
  /** Request ids of the receipts that are in the store. */
  readonly written: string[];
  readonly isComplete: boolean;
}

/** Writes each record either to its claim or to the ledger, once. */
export async function recoverRecords(
  recovery: RecoveryInput,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<RecoveryOutcome> {
  const claimRecords = recovery.records.filter(
    (record) => record.completion !== undefined,
  );
  const ledgerRecords = recovery.records.filter(
    (record) => record.completion === undefined,
  );
  const claimOutcome = await recoverClaimResults(claimRecords, store, options);
  const ledgerOutcome = await recoverLedgerReceipts(
    { ...recovery, records: ledgerRecords },
    store,
    options,
  );
  return {
    written: [...claimOutcome.written, ...ledgerOutcome.written],
    isComplete: claimOutcome.isComplete && ledgerOutcome.isComplete,
  };
}

/** Writes results of claimed requests, whose bills are kept in the claim. */
async function recoverClaimResults(
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

async function recoverLedgerReceipts(
  recovery: RecoveryInput,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<RecoveryOutcome> {
  const { owner, records } = recovery;
  if (records.length === 0) return { written: [], isComplete: true };
  const pages = await readPages(recovery, store, options);
  if (pages === undefined) return { written: [], isComplete: false };

  const missing = listMissing(records, pages);
  const missingIds = new Set(missing.map((record) => record.receipt.requestId));
  const written = records
    .map((record) => record.receipt.requestId)
    .filter((requestId) => !missingIds.has(requestId));
  // An owner that is not sealed writes the missing receipts itself.
  const isSealed = options.seal || pages.at(-1)?.kind === "seal";
  if (!isSealed) return { written, isComplete: true };

  for (const { receipt } of missing) {
    const isWritten = await writeRecoveredReceipt(
      store,
      { owner, receipt },
      options,
    );
    if (!isWritten) return { written, isComplete: false };
    written.push(receipt.requestId);
  }
  return { written, isComplete: true };
}

/** Writes a receipt that is in no page; true when the store has it. */
export async function writeRecoveredReceipt(
  store: ObjectStore,
  value: RecoveredReceipt,
  options: { signal: AbortSignal },
): Promise<boolean> {
  const key = getRecoveredKey(value.receipt.requestId);
  // Every writer of this key writes the same receipt.
  const write = { key, value, ifVersion: 0, isOwn: () => true };
  const outcome = await writeObject(store, write, options);
  return outcome.kind === "written";
}

/**
 * Reads the owner's pages that can contain the records. With `seal` it also
 * ends them, as otherwise the owner could still write another page.
 */
async function readPages(
  recovery: RecoveryInput,
  store: ObjectStore,
  options: RecoveryOptions,
): Promise<LedgerPage[] | undefined> {
  const { owner, records, endpoint } = recovery;
  const pages: LedgerPage[] = [];
  let lastPage = Math.min(...records.map((record) => record.fromPage)) - 1;
  while (pages.length < MAX_PAGES_READ && !options.signal.aborted) {
    const listOptions = {
      prefix: getPagePrefix(owner),
      after: getPageKey(owner, lastPage),
      limit: PAGES_PER_LIST_CALL,
    };
    const listed = await callStore(options, (signal) =>
      store.list(listOptions, signal),
    );
    if (listed.isErr()) return undefined;
    for (const { value } of listed.value) pages.push(value as LedgerPage);
    lastPage = pages.at(-1)?.page ?? lastPage;
    if (pages.at(-1)?.kind === "seal") return pages;
    if (listed.value.length > 0) continue;
    if (!options.seal) return pages;

    const seal: LedgerPage = {
      kind: "seal",
      owner,
      page: lastPage + 1,
      receipts: [],
      sealedBy: endpoint,
    };
    const outcome = await writeObject(
      store,
      {
        key: getPageKey(owner, lastPage + 1),
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
