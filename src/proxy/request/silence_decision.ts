/**
 * Decides which endpoint goes on with a request when two are silent with it and
 * may not both work any longer.
 */

import { MAX_OVERLAP_MS } from "./overlap_timer.js";

export const OVERLAP_DECISION = {
  /** The earlier endpoint is given up. */
  keepNewest: "keep-newest",
  /** The newest endpoint, which is late, is given up. */
  keepEarlier: "keep-earlier",
} as const;
export type OverlapDecision =
  (typeof OVERLAP_DECISION)[keyof typeof OVERLAP_DECISION];

/** Silence of the endpoint that has the request for longest. */
export interface Silence {
  readonly silentMs: number;
  /** Time until the deadline. */
  readonly timeLeftMs: number;
}

/** Callers give up a stream after this time without an event, or later, ms. */
const CALLER_PATIENCE_MS = 2_000;
/**
 * Part of the time that a caller waits in which the earlier endpoint may go
 * on; the rest is for another one that is slow.
 */
const KEEP_SHARE = 0.75;
/** An endpoint is late after this multiple of its expected time. */
const LATE_PER_EXPECTED = 2;

/** True while an endpoint that is silent may still be one that pauses. */
export function isWorthKeeping({ silentMs, timeLeftMs }: Silence): boolean {
  const waitMs = Math.min(CALLER_PATIENCE_MS, silentMs + timeLeftMs);
  return silentMs < KEEP_SHARE * waitMs;
}

/**
 * Decides at the end of the time in which two may work. An endpoint that would
 * have answered by then, were it sound, is as silent as the earlier one, which
 * has done more of the work. It is kept nevertheless where the earlier one
 * would soon be given up, as another attempt would begin from the start.
 */
export function decideOverlap(
  silence: Silence,
  newestExpectedMs: number,
): OverlapDecision {
  const isLate = MAX_OVERLAP_MS >= LATE_PER_EXPECTED * newestExpectedMs;
  const silenceThen = {
    silentMs: silence.silentMs + MAX_OVERLAP_MS,
    timeLeftMs: silence.timeLeftMs - MAX_OVERLAP_MS,
  };
  return isLate && isWorthKeeping(silenceThen)
    ? OVERLAP_DECISION.keepEarlier
    : OVERLAP_DECISION.keepNewest;
}
