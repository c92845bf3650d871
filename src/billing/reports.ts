/** Reads bills and service-level counts from the store for reports. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore, StoreFailure } from "../adapters/index.js";
import {
  type BurnReport,
  BurnTotals,
  type CostReport,
  CostTotals,
  getPageKey,
  getPagePrefix,
  getSloPrefix,
  HOUR_MS,
  RECOVERED_PREFIX,
} from "../core/index.js";
import { StoreScan } from "../runtime/store_scan.js";
import type {
  Claim,
  LedgerPage,
  Objective,
  RecoveredReceipt,
  SloDocument,
} from "../schema/index.js";
import { getFirstHour } from "./slo_counter.js";

/** Longest period of a report: 30 days, the usual error budget period. */
export const MAX_REPORT_HOURS = 720;

/** Default period of a burn report: the longest burn-rate window. */
export const DEFAULT_BURN_HOURS = 72;

export interface ReportOptions {
  readonly nowMs: number;
  readonly hours: number;
  readonly signal: AbortSignal;
  readonly maxCalls?: number;
}

/** Sums the bills of the last hours in pages, recovered receipts and claims. */
export async function readCostReport(
  store: ObjectStore,
  options: ReportOptions,
): Promise<Result<CostReport, StoreFailure>> {
  const { nowMs, hours } = options;
  const fromMs = nowMs - Math.min(hours, MAX_REPORT_HOURS) * HOUR_MS;
  const totals = new CostTotals(fromMs, nowMs);
  const scan = new StoreScan(store, options);

  const owners = await scan.listOwners();
  if (owners.isErr()) return err(owners.error);
  for (const owner of owners.value) {
    const read = await addOwnerReceipts(scan, totals, { owner, fromMs });
    if (read.isErr()) return err(read.error);
  }
  const recovered = await scan.visit({ prefix: RECOVERED_PREFIX }, (value) =>
    totals.add((value as RecoveredReceipt).receipt),
  );
  if (recovered.isErr()) return err(recovered.error);
  const claims = await scan.visit({ prefix: "claims/" }, (value) => {
    const { bill } = value as Claim;
    if (bill !== undefined) totals.add(bill);
  });
  if (claims.isErr()) return err(claims.error);
  return ok(totals.createReport(scan.isComplete));
}

async function addOwnerReceipts(
  scan: StoreScan,
  totals: CostTotals,
  options: { owner: string; fromMs: number },
): Promise<Result<void, StoreFailure>> {
  const { owner, fromMs } = options;
  const pageBefore = await scan.findPageBefore(owner, fromMs);
  if (pageBefore.isErr()) return err(pageBefore.error);
  const prefix = getPagePrefix(owner);
  const after = getPageKey(owner, pageBefore.value);
  return scan.visit({ prefix, after }, (value) => {
    for (const receipt of (value as LedgerPage).receipts) totals.add(receipt);
  });
}

/** Computes error budgets and burn rates from the counts of all entries. */
export async function readBurnReport(
  store: ObjectStore,
  objectives: Readonly<Record<string, Objective>>,
  options: ReportOptions,
): Promise<Result<BurnReport, StoreFailure>> {
  const { nowMs } = options;
  const hours = Math.min(options.hours, MAX_REPORT_HOURS);
  const period = { fromMs: nowMs - hours * HOUR_MS, toMs: nowMs };
  const totals = new BurnTotals(period, objectives);
  const scan = new StoreScan(store, options);
  const lastHour = getFirstHour(nowMs, 0);
  for (let hour = getFirstHour(nowMs, hours); hour <= lastHour; hour += 1) {
    const prefix = getSloPrefix(hour);
    const read = await scan.visit({ prefix }, (value) =>
      totals.add(value as SloDocument),
    );
    if (read.isErr()) return err(read.error);
  }
  return ok(totals.createReport(scan.isComplete));
}
