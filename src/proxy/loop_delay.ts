/**
 * Mean delay of the event loop, and the share of caller connections to close
 * because of it. Without this a slow host holds as many connections as a fast
 * one. While the process can't keep up, it closes some connections after their
 * answers, and their callers reconnect to other hosts.
 */

/** Weight of the newest delay in the running mean. */
const NEWEST_DELAY_WEIGHT = 0.3;
/** Mean delay above which the process is late; lower ones are usual. */
const LATE_THRESHOLD_MS = 40;
/** Mean delay up to which a late process counts as recovered. */
const RECOVERY_THRESHOLD_MS = 20;
/** Mean delay from which every answer closes its connection. */
const CLOSE_ALL_THRESHOLD_MS = 240;

export class LoopDelay {
  #meanMs = 0;
  #isLate = false;

  /**
   * `lateMs` is how much later than planned a timer fired. Returns whether
   * `isLate` has changed.
   */
  record(lateMs: number): boolean {
    this.#meanMs += NEWEST_DELAY_WEIGHT * (Math.max(0, lateMs) - this.#meanMs);
    const wasLate = this.#isLate;
    this.#isLate =
      this.#meanMs > (wasLate ? RECOVERY_THRESHOLD_MS : LATE_THRESHOLD_MS);
    return this.#isLate !== wasLate;
  }

  get isLate(): boolean {
    return this.#isLate;
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Share of answers after which the connection is to be closed, 0 to 1. */
  get closeShare(): number {
    const share =
      (this.#meanMs - LATE_THRESHOLD_MS) /
      (CLOSE_ALL_THRESHOLD_MS - LATE_THRESHOLD_MS);
    return Math.min(1, Math.max(0, share));
  }
}
