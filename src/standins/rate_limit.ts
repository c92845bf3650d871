/** Token bucket that holds one second's worth of calls. */

export class RateLimit {
  readonly #clock: () => number;
  #tokens = Number.POSITIVE_INFINITY;
  #filledAtMs: number;

  constructor(clock: () => number) {
    this.#clock = clock;
    this.#filledAtMs = clock();
  }

  /** Takes a call, or gives the milliseconds until there is room for one. */
  take(perSecond: number): number {
    const nowMs = this.#clock();
    const refill = ((nowMs - this.#filledAtMs) * perSecond) / 1_000;
    this.#tokens = Math.min(perSecond, this.#tokens + refill);
    this.#filledAtMs = nowMs;
    if (this.#tokens < 1) {
      return Math.ceil(((1 - this.#tokens) * 1_000) / perSecond);
    }
    this.#tokens -= 1;
    return 0;
  }
}
