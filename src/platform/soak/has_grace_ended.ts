/** Whether the end of an entry's grace excuses an answer that broke off. */

import { TIME_BOUNDS } from "./fleet.js";
import type { CallRecord, RunRecord, SoakRecords } from "./records.js";

/** Share of a stop's grace after which running requests may be broken off. */
const LAST_OF_GRACE = 5 / 6;
/** Time of a stop in which a request may be sent that is broken off, ms. */
const MAX_SENT_IN_GRACE_MS = 3_000;

/** True where its replica still worked on it when the grace of a stop ended. */
export function hasGraceEnded(
  { entry, sentAtMs, endedAtMs }: CallRecord,
  runs: readonly RunRecord[],
  { disturbances }: SoakRecords,
): boolean {
  return disturbances.some(({ member, isPlanned, fromMs }) => {
    const isConcerned =
      isPlanned &&
      member === entry &&
      fromMs < endedAtMs &&
      sentAtMs < fromMs + MAX_SENT_IN_GRACE_MS;
    if (!isConcerned) return false;
    const atMs = fromMs + LAST_OF_GRACE * TIME_BOUNDS.graceSeconds * 1_000;
    return runs.some(
      (run) => run.startedAtMs < atMs && (run.endedAtMs ?? 0) > atMs,
    );
  });
}
