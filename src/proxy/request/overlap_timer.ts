/**
 * Ends the time in which two endpoints may work on one request: the second one
 * may refuse in it, and the first one is still there.
 */

import { InactivityTimer } from "./inactivity_timer.js";

/** After 400 ms, the platform counts the request as run twice. */
export const MAX_OVERLAP_MS = 300;

export class OverlapTimer {
  readonly #onEnd: () => void;
  #timer: InactivityTimer | undefined;

  constructor(onEnd: () => void) {
    this.#onEnd = onEnd;
  }

  /** Called for each request to a second endpoint; the first one counts. */
  start(): void {
    this.#timer ??= new InactivityTimer(this.#onEnd, MAX_OVERLAP_MS);
  }

  /** Called when no second endpoint works on the request. */
  cancel(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
  }
}
