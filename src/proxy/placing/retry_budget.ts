/**
 * Budget of retries per service. All entries together may retry a share of the
 * service's requests and a fixed number more. Each entry spends the share of
 * its own requests and its part of the fixed number.
 */

export interface RetryLimits {
  /** Retries per request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries per window that all entries together have beyond the ratio. */
  readonly allowance: number;
}

/**
 * Share of the budget that is used. The rest is a margin, since the windows of
 * the entries and of a checker don't begin at the same time.
 */
const USABLE_SHARE = 0.8;

class SlidingWindow {
  /** Times of the events, oldest first. */
  #times: number[] = [];

  add(nowMs: number): void {
    this.#times.push(nowMs);
  }

  /** Counts from `sinceMs` on and drops what is older. */
  count(sinceMs: number): number {
    let old = 0;
    while (old < this.#times.length && (this.#times[old] ?? 0) < sinceMs) old++;
    if (old > 0) this.#times = this.#times.slice(old);
    return this.#times.length;
  }
}

export class RetryBudget {
  readonly #limits: RetryLimits;
  readonly #requests = new Map<string, SlidingWindow>();
  readonly #retries = new Map<string, SlidingWindow>();

  constructor(limits: RetryLimits) {
    this.#limits = limits;
  }

  recordRequest(service: string, nowMs: number): void {
    getWindow(this.#requests, service).add(nowMs);
  }

  /** Used share of the budget; 1 or more when nothing is left. */
  getUsedShare(service: string, entryCount: number, nowMs: number): number {
    const { ratio, windowMs, allowance } = this.#limits;
    const sinceMs = nowMs - windowMs;
    const requests = getWindow(this.#requests, service).count(sinceMs);
    const retries = getWindow(this.#retries, service).count(sinceMs);
    const ownAllowance = allowance / Math.max(1, entryCount);
    const maxRetries = USABLE_SHARE * (ratio * requests + ownAllowance);
    return maxRetries <= 0 ? 1 : retries / maxRetries;
  }

  /** Takes one retry; false when the budget of the window is spent. */
  spend(service: string, entryCount: number, nowMs: number): boolean {
    if (this.getUsedShare(service, entryCount, nowMs) >= 1) return false;
    getWindow(this.#retries, service).add(nowMs);
    return true;
  }
}

function getWindow(
  windows: Map<string, SlidingWindow>,
  service: string,
): SlidingWindow {
  let window = windows.get(service);
  if (window === undefined) {
    window = new SlidingWindow();
    windows.set(service, window);
  }
  return window;
}
