/** Limit on the retries of one service, as its endpoints count them. */

export interface RetryRule {
  readonly ratio: number;
  readonly windowMs: number;
  readonly allowance: number;
}

/** Times of one service's events at all entries, ms, in order. */
export interface ServiceEvents {
  readonly requests: readonly number[];
  /** Arrivals at endpoints beyond the first one of each request. */
  readonly retries: readonly number[];
}

/** Earlier windows whose requests count as well, as parts of a window. */
const WINDOW_OFFSETS = [0, 0.5, 1];

/**
 * Most retries beyond the limit in any window; negative if it is kept. The
 * requests are those of the window, of the one before it or of the one half a
 * window before it, whichever has most.
 */
export function computeExcessRetries(
  { requests, retries }: ServiceEvents,
  { ratio, windowMs, allowance }: RetryRule,
): number {
  const count = (times: readonly number[], fromMs: number) =>
    countBefore(times, fromMs + windowMs) - countBefore(times, fromMs);
  // Only at these do the retries of a window change.
  const startsMs = retries.flatMap((atMs) => [atMs, atMs - windowMs + 1]);
  let excess = -allowance;
  for (const fromMs of new Set(startsMs)) {
    const counted = Math.max(
      ...WINDOW_OFFSETS.map((part) =>
        count(requests, fromMs - part * windowMs),
      ),
    );
    const limit = ratio * counted + allowance;
    excess = Math.max(excess, count(retries, fromMs) - limit);
  }
  return excess;
}

/** How many of the sorted times are before `untilMs`. */
function countBefore(times: readonly number[], untilMs: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((times[middle] ?? 0) < untilMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
