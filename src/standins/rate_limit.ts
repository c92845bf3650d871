/** Limit on the calls of any second. */

const WINDOW_MS = 1_000;

export class RateLimit {
  readonly #clock: () => number;
  /** Times of the calls taken within the window, oldest first. */
  readonly #takenAtMs: number[] = [];

  constructor(clock: () => number) {
    this.#clock = clock;
  }

  /** Takes a call, or gives the milliseconds until there is room for one. */
  take(perSecond: number): number {
    const nowMs = this.#clock();
    const kept = this.#takenAtMs.findIndex((at) => at > nowMs - WINDOW_MS);
    this.#takenAtMs.splice(0, kept < 0 ? this.#takenAtMs.length : kept);
    if (this.#takenAtMs.length < perSecond) {
      this.#takenAtMs.push(nowMs);
      return 0;
    }
    const oldestMs = this.#takenAtMs[0] ?? nowMs;
    return Math.ceil(oldestMs + WINDOW_MS - nowMs) || 1;
  }
}
