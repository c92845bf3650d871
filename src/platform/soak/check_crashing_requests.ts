/** Checks that a request which ends replicas soon reaches no more of them. */

import type { Findings } from "../../soak/findings.js";
import { CALM_BEFORE_MS } from "./calm.js";
import type { Property } from "./properties.js";
import type { CallRecord, SoakRecords } from "./records.js";

/** Crashes after which entries have to know the request. */
const CRASHES_BEFORE_REFUSAL = 3;
/** Time after them in which it may still reach replicas, ms. */
const NOTICE_MS = 3_000;
/** How often it may reach replicas later than that. */
const MAX_LATER = 3;

export function checkCrashingRequests(
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const groups = new Map<string, CallRecord[]>();
  for (const call of records.crashingRequests) {
    const { requestBody = "" } = call;
    groups.set(requestBody, [...(groups.get(requestBody) ?? []), call]);
  }
  for (const [body, calls] of groups) {
    checkCrashingRequest(body, calls, records, findings);
  }
}

function checkCrashingRequest(
  body: string,
  calls: readonly CallRecord[],
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const crashTimes = records.requestCrashes
    .filter((crash) => crash.body === body)
    .map(({ atMs }) => atMs)
    .sort((one, other) => one - other);
  const knownAtMs = crashTimes[CRASHES_BEFORE_REFUSAL - 1];
  if (knownAtMs === undefined) return;
  const fromMs = knownAtMs + NOTICE_MS;
  const entries = new Map(calls.map(({ id, entry }) => [id, entry]));
  const judged = calls.filter(
    ({ entry, sentAtMs }) =>
      sentAtMs > fromMs && isInTouch(entry, sentAtMs, records),
  );
  const late = records.arrivals.filter(({ requestId, atMs }) => {
    const entry = entries.get(requestId);
    return (
      entry !== undefined && atMs > fromMs && isInTouch(entry, atMs, records)
    );
  });
  // Fewer calls could not reach replicas too often.
  if (judged.length <= MAX_LATER && late.length <= MAX_LATER) return;
  findings.check("crashingRequestSent", late.length <= MAX_LATER, () => {
    const lateCalls = new Set(late.map(({ requestId }) => requestId)).size;
    return `"${body}" on ${calls[0]?.route} reached replicas ${late.length} times in ${lateCalls} of ${judged.length} calls later than 3 s after its third crash at ${Math.round(knownAtMs)} ms, ${crashTimes.length} crashes in all`;
  });
}

/** True when neither the entry nor the store was disturbed lately. */
function isInTouch(
  entry: string,
  atMs: number,
  { disturbances }: SoakRecords,
): boolean {
  return !disturbances.some(
    ({ kind, member, fromMs, toMs }) =>
      (member === entry || kind.startsWith("store")) &&
      fromMs < atMs &&
      toMs > atMs - CALM_BEFORE_MS,
  );
}
