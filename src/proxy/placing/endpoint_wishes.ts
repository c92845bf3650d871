/**
 * What an endpoint asked of its senders in its answers. Unlike a pause, which
 * is this entry's guess, that binds also where no other endpoint is open.
 */

/**
 * Longest time for which an endpoint is taken at its word that it wants
 * nothing, ms; a longer one is a mistake more likely than a wish.
 */
const MAX_CLOSED_MS = 600_000;

export class EndpointWishes {
  #closedUntilMs = Number.NEGATIVE_INFINITY;
  #isLeaving = false;

  /** The endpoint wants nothing for a time. */
  closeFor(ms: number, nowMs: number): void {
    const untilMs = nowMs + Math.min(MAX_CLOSED_MS, ms);
    this.#closedUntilMs = Math.max(this.#closedUntilMs, untilMs);
  }

  /** When the endpoint takes requests again; in the past while it is open. */
  get closedUntilMs(): number {
    return this.#closedUntilMs;
  }

  /** The endpoint wants nothing more until its life ends. */
  setLeaving(): void {
    this.#isLeaving = true;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }
}
