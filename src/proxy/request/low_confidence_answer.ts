/**
 * An answer in which its model has low confidence, kept briefly while a larger
 * model is asked: if that fails at once, the caller gets this answer instead
 * of a failure.
 */

import type { AnsweredAttempt } from "./attempt_runner.js";
import { MAX_OVERLAP_MS } from "./overlap_timer.js";

export class LowConfidenceAnswer {
  readonly #attempt: AnsweredAttempt;
  readonly #timer: NodeJS.Timeout;

  /** `onCut` is called if the endpoint ends before it has sent an event. */
  constructor(attempt: AnsweredAttempt, onCut: () => void) {
    this.#attempt = attempt;
    this.#timer = setTimeout(() => this.discard(), MAX_OVERLAP_MS);
    const { message } = attempt.head;
    message.once("close", () => {
      const hasEvents = message.readableLength > 0 || message.readableFlowing;
      if (!attempt.controller.signal.aborted && !hasEvents) onCut();
    });
  }

  /** The answer to deliver; undefined if it was discarded or has broken. */
  take(): AnsweredAttempt | undefined {
    clearTimeout(this.#timer);
    const { controller, head } = this.#attempt;
    if (!controller.signal.aborted && !head.message.destroyed) {
      return this.#attempt;
    }
    this.discard();
    return undefined;
  }

  discard(): void {
    clearTimeout(this.#timer);
    this.#attempt.controller.abort();
    this.#attempt.release();
  }
}
