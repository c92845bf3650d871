/** Retry budget: repeated attempts stay a small share of the traffic. */

import type { Ran } from "./errors.js";

/** Retries as a share of submitted requests. */
const RETRY_SHARE = 0.1;
/** Retries that may be saved up for a burst of failures, such as a cold engine. */
const MAX_TOKENS = 50;
/** Attempts of one step, so no request circles among full endpoints. */
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
  #tokens = MAX_TOKENS;

  /** Each new request earns its share of a retry. */
  earn(): void {
    this.#tokens = Math.min(MAX_TOKENS, this.#tokens + RETRY_SHARE);
  }

  /**
   * Takes a retry from the budget. A non-idempotent call is only repeated
   * when it surely did not run, since a second run does harm.
   */
  spend(ended: EndedAttempt): boolean {
    if (ended.delivered) return false;
    if (ended.ran !== "no" && !ended.idempotent) return false;
    if (ended.stepAttempts >= MAX_STEP_ATTEMPTS || this.#tokens < 1) {
      return false;
    }
    this.#tokens--;
    return true;
  }
}
