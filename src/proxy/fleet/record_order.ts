/**
 * Orders the records of one endpoint by when it wrote them. The store may carry
 * out a write seconds late, so the order of its changes is another one.
 */

import type { EndpointRecord } from "../types.js";

/** False after a restart under the same id. */
export function isSameProcess(
  one: EndpointRecord,
  other: EndpointRecord,
): boolean {
  return (
    one.startedAtMs === other.startedAtMs &&
    one.address === other.address &&
    one.port === other.port
  );
}

/** Whether one process has written the first record after the second. */
export function isLaterRecord(
  one: EndpointRecord,
  other: EndpointRecord,
): boolean {
  return isSameProcess(one, other) && !isOlder(one, other, true);
}

/**
 * Whether the first record was written before the second. A sequence counts the
 * writes of one process. Where no start time tells processes apart, a lower one
 * may come from a restart, unless `isEnding`: then it is a late write.
 */
export function isOlder(
  one: EndpointRecord,
  other: EndpointRecord,
  isEnding: boolean,
): boolean {
  const hasStarts =
    one.startedAtMs !== undefined && other.startedAtMs !== undefined;
  if (hasStarts && one.startedAtMs !== other.startedAtMs)
    return one.startedAtMs < other.startedAtMs;
  if (!hasStarts && !(isEnding && isSameProcess(one, other))) return false;
  if (one.sequence === undefined || other.sequence === undefined) return false;
  return one.sequence < other.sequence;
}
