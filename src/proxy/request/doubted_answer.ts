/**
 * An answer that its own model doubts, kept for a moment while a larger model
 * is asked: where that fails at once, it serves the caller better than a
 * failure does.
 */

import type { AnsweredAttempt } from "./attempt_runner.js";

/**
 * How long two endpoints may work on one request, ms; the platform counts it
 * as run twice after 400 ms.
 */
const KEPT_MS = 300;

export class DoubtedAnswer {
  readonly #attempt: AnsweredAttempt;
  readonly #timer: NodeJS.Timeout;

  constructor(attempt: AnsweredAttempt) {
    this.#attempt = attempt;
    this.#timer = setTimeout(() => this.drop(), KEPT_MS);
  }

  /** The answer to deliver; undefined where it was dropped or has broken. */
  take(): AnsweredAttempt | undefined {
    clearTimeout(this.#timer);
    const { controller, head } = this.#attempt;
    if (!controller.signal.aborted && !head.message.destroyed) {
      return this.#attempt;
    }
    this.drop();
    return undefined;
  }

  drop(): void {
    clearTimeout(this.#timer);
    this.#attempt.controller.abort();
    this.#attempt.release();
  }
}
