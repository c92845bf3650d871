/** The refusal of a request for which no attempt succeeded. */

import { createRefusal, type Refusal } from "../../core/errors.js";
import type { HeldParts, PromptHolds } from "../fleet/index.js";
import { createHeldRefusal } from "./held_refusal.js";
import { createStoppingRefusal } from "./stopping_refusal.js";

/** Random part of the retry delay for lack of capacity: spreads callers. */
const RETRY_AFTER_MS = { minMs: 150, maxMs: 600 } as const;

export interface RequestFailure {
  readonly detail: string;
  /** An endpoint may have run the request. */
  readonly mayHaveRun: boolean;
  /** The stop of the entry has ended its requests. */
  readonly isStopped: boolean;
  /** The entry stops before an endpoint would have answered. */
  readonly isTooLate: boolean;
  /** The caller left or its time is up. */
  readonly isOutOfTime: boolean;
  readonly heldParts?: HeldParts;
}

export interface FailureOptions {
  readonly promptHolds: Pick<PromptHolds, "getRemainingMs">;
  readonly random: () => number;
  /** Assigns the delay after which an endpoint may take the request, ms. */
  readonly assignReturnDelay: () => number | undefined;
}

/** States correctly whether the request may have run. */
export function createFailureRefusal(
  failure: RequestFailure,
  { promptHolds, random, assignReturnDelay }: FailureOptions,
): Refusal {
  const { detail, mayHaveRun, isStopped, heldParts } = failure;
  const { minMs, maxMs } = RETRY_AFTER_MS;
  const spreadMs = minMs + random() * (maxMs - minMs);
  if ((isStopped || failure.isTooLate) && !mayHaveRun) {
    return createStoppingRefusal(detail);
  }
  if (!isStopped && failure.isOutOfTime) {
    const ran = mayHaveRun ? "unknown" : "no";
    return createRefusal("deadline-exceeded", detail, { ran });
  }
  if (mayHaveRun) return createRefusal("outcome-unknown", detail);
  if (heldParts !== undefined) {
    return createHeldRefusal(promptHolds, heldParts, random);
  }
  const retryAfterMs = (assignReturnDelay() ?? 0) + spreadMs;
  return createRefusal("capacity", detail, { retryAfterMs });
}
