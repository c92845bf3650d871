/** Whether a disturbance excuses what was seen, and how a call is named. */

import { type CallRecord, SILENCE_KIND, type SoakRecords } from "./records.js";

/** A time limit holds only after this long without a disturbance, ms. */
export const CALM_BEFORE_MS = 3_000;

export function describeCall(call: CallRecord, text: string): string {
  const { id, route, entry, status, sentAtMs, endedAtMs } = call;
  const times = `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
  return `${id} ${route} at ${entry}, ${times}, status ${status}: ${text}`;
}

/**
 * True when nothing disturbed the members during the span; a replica's silence
 * excuses nothing.
 */
export function isCalm(
  { disturbances }: SoakRecords,
  members: ReadonlySet<string>,
  span: { fromMs: number; toMs: number },
  options: { ignorePlanned?: boolean; ignored?: string } = {},
): boolean {
  return !disturbances.some(
    ({ kind, member, fromMs, toMs, isPlanned }) =>
      kind !== SILENCE_KIND &&
      kind !== options.ignored &&
      fromMs < span.toMs &&
      toMs > span.fromMs &&
      (member === undefined || members.has(member)) &&
      !(isPlanned && options.ignorePlanned),
  );
}
