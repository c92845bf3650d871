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

export interface RetryBudgetOptions extends RetryLimits {
  /**
   * Number of entries that share the allowance, this one included; undefined
   * while it isn't known. Then this entry has no part of it.
   */
  readonly countSharers: () => number | undefined;
  /** When this entry started, ms. */
  readonly startedAtMs: number;
}

/**
 * Share of the budget that is used. The rest is a margin, since the windows of
 * the entries and of a checker don't begin at the same time.
 */
const USABLE_SHARE = 0.8;
/**
 * Share of its part of the allowance that an entry uses in its first window. It
 * may have used the whole part just before it restarted; two restarts in a
 * window use up the margin.
 */
const FIRST_WINDOW_SHARE = 0.1;

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
  readonly #options: RetryBudgetOptions;
  readonly #requests = new Map<string, SlidingWindow>();
  readonly #retries = new Map<string, SlidingWindow>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(service: string, nowMs: number): void {
    getWindow(this.#requests, service).add(nowMs);
  }

  /** Used share of the budget; 1 when nothing is left. */
  getUsedShare(service: string, nowMs: number): number {
    const { ratio, windowMs } = this.#options;
    const sinceMs = nowMs - windowMs;
    const requests = getWindow(this.#requests, service).count(sinceMs);
    const retries = getWindow(this.#retries, service).count(sinceMs);
    const maxRetries =
      USABLE_SHARE * ratio * requests + this.#computeAllowance(nowMs);
    // Rounded up by each of many entries, the sum would exceed the budget.
    return retries + 1 > maxRetries ? 1 : retries / maxRetries;
  }

  /** What this entry may use of the allowance. */
  #computeAllowance(nowMs: number): number {
    const { allowance, windowMs, countSharers, startedAtMs } = this.#options;
    const sharerCount = countSharers();
    if (sharerCount === undefined) return 0;
    const isFirstWindow = nowMs - startedAtMs <= windowMs;
    const share = isFirstWindow ? FIRST_WINDOW_SHARE : USABLE_SHARE;
    return (share * allowance) / sharerCount;
  }

  /** Takes one retry; false when the budget of the window is spent. */
  spend(service: string, nowMs: number): boolean {
    if (this.getUsedShare(service, nowMs) >= 1) return false;
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
