/**
 * How late the process gets to its work. Answers the load in which a slow host
 * holds as many connections as a fast one: while it can't keep up, it closes
 * some after their answers, and callers come back by way of another host.
 */

/** Weight of the newest delay in the mean. */
const SMOOTHING = 0.3;
/** Delays below are usual between two ticks, ms. */
const USUAL_MS = 40;
/** Delay below which a late process counts as in time again, ms. */
const CALM_MS = 20;
/** Delay at which every answer closes its connection, ms. */
const FULL_MS = 240;

export class LoopDelay {
  #meanMs = 0;
  #isLate = false;

  /**
   * `lateMs`: how much later than planned a timer fired. True when the process
   * has begun or ceased to be late.
   */
  record(lateMs: number): boolean {
    this.#meanMs += SMOOTHING * (Math.max(0, lateMs) - this.#meanMs);
    const wasLate = this.#isLate;
    this.#isLate = this.#meanMs > (wasLate ? CALM_MS : USUAL_MS);
    return this.#isLate !== wasLate;
  }

  get isLate(): boolean {
    return this.#isLate;
  }

  get meanMs(): number {
    return this.#meanMs;
  }

  /** Share of the connections that are to be closed after their answers. */
  get closeShare(): number {
    const share = (this.#meanMs - USUAL_MS) / (FULL_MS - USUAL_MS);
    return Math.min(1, Math.max(0, share));
  }
}
