/**
 * Age of the configuration in force: how long ago the store confirmed it. A
 * key may be withdrawn at any moment, so nothing runs under an old view.
 */

import type { SuspendClock } from "../clock.js";
import { Waiters } from "../waiters.js";

export class Freshness {
  readonly #clock: SuspendClock;
  readonly #confirmNow: () => void;
  readonly #waiters = new Waiters();
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
    this.#waiters.wake();
  }

  get ageMs(): number {
    return this.#clock.now() - this.#confirmedAtMs;
  }

  /** True when the view is young enough, after asking the store if need be. */
  async isFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.ageMs <= maxAgeMs) return true;
    this.#confirmNow();
    await this.#waiters.waitUntil(() => this.ageMs <= maxAgeMs, waitMs);
    return this.ageMs <= maxAgeMs;
  }
}
