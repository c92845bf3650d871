/**
 * Budget of repeated attempts. Endpoints of a service get at most a share of
 * the requests again, summed over all entries: each entry spends a share of
 * its own requests and its part of the fixed allowance.
 */

export interface RepeatBounds {
  /** Repeats for each request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Repeats that all entries together have besides. */
  readonly allowance: number;
}

/** Kept free, since windows of the entries and of a checker begin apart. */
const USED_SHARE = 0.8;

class Window {
  #times: number[] = [];

  add(nowMs: number): void {
    this.#times.push(nowMs);
  }

  count(sinceMs: number): number {
    let old = 0;
    while (old < this.#times.length && (this.#times[old] ?? 0) < sinceMs) old++;
    if (old > 0) this.#times = this.#times.slice(old);
    return this.#times.length;
  }
}

export class RepeatBudget {
  readonly #bounds: RepeatBounds;
  readonly #requests = new Map<string, Window>();
  readonly #repeats = new Map<string, Window>();

  constructor(bounds: RepeatBounds) {
    this.#bounds = bounds;
  }

  recordRequest(service: string, nowMs: number): void {
    getWindow(this.#requests, service).add(nowMs);
  }

  /** Share of the budget in use, 0 to 1; `entries` share the allowance. */
  getUse(service: string, entries: number, nowMs: number): number {
    const { ratio, windowMs, allowance } = this.#bounds;
    const since = nowMs - windowMs;
    const requests = getWindow(this.#requests, service).count(since);
    const repeats = getWindow(this.#repeats, service).count(since);
    const own = allowance / Math.max(1, entries);
    const most = USED_SHARE * (ratio * requests + own);
    return most <= 0 ? 1 : repeats / most;
  }

  /** Takes one repeat; false when the budget of the window is spent. */
  spend(service: string, entries: number, nowMs: number): boolean {
    if (this.getUse(service, entries, nowMs) >= 1) return false;
    getWindow(this.#repeats, service).add(nowMs);
    return true;
  }
}

function getWindow(windows: Map<string, Window>, service: string): Window {
  let window = windows.get(service);
  if (window === undefined) {
    window = new Window();
    windows.set(service, window);
  }
  return window;
}
