import { createRefusal, type Refusal } from "../../core/errors.js";

/** Retry delay while stopping, ms: short, as another entry is available. */
const RETRY_AFTER_MS = 20;

/** The refusal of a request that has not run when the entry stops. */
export function createStoppingRefusal(detail: string): Refusal {
  return createRefusal("stopping", detail, { retryAfterMs: RETRY_AFTER_MS });
}
