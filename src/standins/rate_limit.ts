/** Limits the calls in any period of a second. */

const WINDOW_MS = 1_000;

export class RateLimit {
  readonly #getNowMs: () => number;
  /** Times of the calls counted within the window, oldest first. */
  readonly #takenAtMs: number[] = [];

  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  /** Counts a call and returns 0, or returns the ms until one is allowed. */
  take(perSecond: number): number {
    const nowMs = this.#getNowMs();
    const firstKept = this.#takenAtMs.findIndex(
      (atMs) => atMs > nowMs - WINDOW_MS,
    );
    this.#takenAtMs.splice(
      0,
      firstKept < 0 ? this.#takenAtMs.length : firstKept,
    );
    if (this.#takenAtMs.length < perSecond) {
      this.#takenAtMs.push(nowMs);
      return 0;
    }
    const oldestMs = this.#takenAtMs[0] ?? nowMs;
    return Math.ceil(oldestMs + WINDOW_MS - nowMs) || 1;
  }
}
