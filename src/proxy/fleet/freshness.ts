/**
 * Age of the configuration in force: the time since the store confirmed it. An
 * API key may be withdrawn at any moment, so nothing runs under an old one.
 */

import type { SuspendClock } from "../suspend_clock.js";
import { Waiters } from "../waiters.js";

export class Freshness {
  readonly #clock: SuspendClock;
  readonly #confirmNow: () => void;
  readonly #waiters = new Waiters();
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  /** `confirmNow` asks the store at once; its answer is passed to `confirm`. */
  constructor(clock: SuspendClock, confirmNow: () => void) {
    this.#clock = clock;
    this.#confirmNow = confirmNow;
  }

  /** The configuration was current at this time of the suspend clock. */
  confirm(atMs: number): void {
    if (atMs <= this.#confirmedAtMs) return;
    this.#confirmedAtMs = atMs;
    this.#waiters.wake();
  }

  get ageMs(): number {
    return this.#clock.now() - this.#confirmedAtMs;
  }

  /**
   * If the age is over the maximum, asks the store and waits for its answer.
   * Returns whether the age is within the maximum then.
   */
  async waitUntilFresh(maxAgeMs: number, waitMs: number): Promise<boolean> {
    if (this.ageMs <= maxAgeMs) return true;
    this.#confirmNow();
    await this.#waiters.waitUntil(() => this.ageMs <= maxAgeMs, waitMs);
    return this.ageMs <= maxAgeMs;
  }
}
