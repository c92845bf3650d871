/**
 * Age of the configuration in force: how long ago the store confirmed it. A
 * key may be withdrawn at any moment, so nothing runs under an old view.
 */

import type { SuspendClock } from "../clock.js";

export class Freshness {
  readonly #clock: SuspendClock;
  readonly #confirmNow: () => void;
  readonly #waiting = new Set<() => void>();
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** `confirmNow` asks the store at once; its answer comes to `confirm`. */
  constructor(clock: SuspendClock, confirmNow: () => void) {
    this.#clock = clock;
    this.#confirmNow = confirmNow;
  }

  /** The view was current at this time of the suspend clock. */
  confirm(atMs: number): void {
    if (atMs <= this.#confirmedAtMs) return;
    this.#confirmedAtMs = atMs;
    for (const wake of [...this.#waiting]) wake();
  }

  get ageMs(): number {
    return this.#clock.now() - this.#confirmedAtMs;
  }

  /** True when the view is young enough, after asking the store if need be. */
  async isFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.ageMs <= maxAgeMs) return true;
    this.#confirmNow();
    await new Promise<void>((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiting.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      this.#waiting.add(settle);
    });
    return this.ageMs <= maxAgeMs;
  }
}
