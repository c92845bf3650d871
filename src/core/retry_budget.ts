/** Retry budget: limits retries to a small share of the requests. */

import type { Ran } from "./errors.js";

/** Retries as a share of submitted requests. */
const RETRY_SHARE = 0.1;
/** Retries saved at most, for a burst of failures such as a cold engine's. */
const MAX_SAVED_RETRIES = 50;
/**
 * Limit on attempts of one step, so that no request is sent from one full
 * endpoint to the next without end.
 */
const MAX_STEP_ATTEMPTS = 6;

export interface EndedAttempt {
  readonly idempotent: boolean;
  readonly ran: Ran;
  /** True when the caller has part of the answer. */
  readonly delivered: boolean;
  /** Attempts of the current step so far. */
  readonly stepAttempts: number;
}

export class RetryBudget {
  #savedRetries = MAX_SAVED_RETRIES;

  /** Adds a new request's share of a retry to the budget. */
  earn(): void {
    this.#savedRetries = Math.min(
      MAX_SAVED_RETRIES,
      this.#savedRetries + RETRY_SHARE,
    );
  }

  /**
   * Takes a retry from the budget; false when the attempt may not be retried.
   * A non-idempotent call is only retried when it certainly did not run,
   * since a second run does harm.
   */
  spend(ended: EndedAttempt): boolean {
    if (ended.delivered) return false;
    if (ended.ran !== "no" && !ended.idempotent) return false;
    if (ended.stepAttempts >= MAX_STEP_ATTEMPTS || this.#savedRetries < 1) {
      return false;
    }
    this.#savedRetries--;
    return true;
  }
}
