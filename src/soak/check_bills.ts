/** Checks the bills in the store against the answers that callers got. */

import { getClaimKey } from "../core/index.js";
import type { Findings } from "./findings.js";
import type { CallRecord } from "./journal.js";
import { type Bill, listBills, type StoreWrite } from "./standin_records.js";

function groupBills(bills: readonly Bill[]): Map<string, Bill[]> {
  const groups = new Map<string, Bill[]>();
  for (const bill of bills) {
    const { requestId } = bill.receipt;
    groups.set(requestId, [...(groups.get(requestId) ?? []), bill]);
  }
  return groups;
}

/** Answered requests that have no bill in the store. */
export function listUnbilled(
  calls: readonly CallRecord[],
  writes: readonly StoreWrite[],
): CallRecord[] {
  const bills = listBills(writes);
  const ids = new Set(bills.map((bill) => bill.receipt.requestId));
  const keys = new Set(bills.map((bill) => bill.key));
  return calls.filter((call) => {
    if (call.outcome.kind !== "answered") return false;
    return call.kind === "order"
      ? !keys.has(getClaimKey(call.account, call.idempotencyKey ?? ""))
      : !ids.has(call.outcome.requestId);
  });
}

export function checkBills(
  calls: readonly CallRecord[],
  writes: readonly StoreWrite[],
  findings: Findings,
): void {
  const answered = calls.filter((call) => call.outcome.kind === "answered");
  findings.addCase("unbilled", answered.length);
  for (const call of listUnbilled(calls, writes)) {
    findings.addViolation("unbilled", JSON.stringify(call));
  }
  for (const [requestId, bills] of groupBills(listBills(writes))) {
    findings.check(
      "billedTwice",
      bills.length === 1,
      () => `request ${requestId}: ${bills.map((bill) => bill.key).join(", ")}`,
    );
  }
}
