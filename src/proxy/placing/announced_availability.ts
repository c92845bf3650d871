/**
 * What an endpoint asked for in its answers: no requests for some time, no more
 * requests as it is shutting down, or no more than some rate. Unlike a pause, which this entry
 * chooses, this holds even if no other endpoint is open.
 */

import { EndpointLimit } from "./endpoint_limit.js";

/**
 * Longest time for which an endpoint may ask for no requests; a longer one is
 * more likely a mistake.
 */
const MAX_CLOSED_MS = 600_000;

export class AnnouncedAvailability {
  readonly limit = new EndpointLimit();
  #closedUntilMs = Number.NEGATIVE_INFINITY;
  #isLeaving = false;

  /** The endpoint takes no requests for the next `ms` milliseconds. */
  closeFor(ms: number, nowMs: number): void {
    const untilMs = nowMs + Math.min(MAX_CLOSED_MS, ms);
    this.#closedUntilMs = Math.max(this.#closedUntilMs, untilMs);
  }

  /** When the endpoint takes requests again; in the past while it is open. */
  get closedUntilMs(): number {
    return this.#closedUntilMs;
  }

  /** The endpoint is shutting down: it takes no more requests. */
  setLeaving(): void {
    this.#isLeaving = true;
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }
}
