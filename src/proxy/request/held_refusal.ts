/** The refusal of what endpoints crash under: a request, or parts of prompts. */

import { createRefusal, type Refusal } from "../../core/errors.js";
import type { HeldParts, PromptHolds } from "../fleet/index.js";
import { isRequestId } from "../placing/index.js";

/** Longest delay after which a caller is told to return, ms. */
const MAX_RETRY_AFTER_MS = 60_000;
/** Random part of the delay, so that callers don't return together. */
const RETRY_SPREAD = 0.5;

export function createHeldRefusal(
  promptHolds: Pick<PromptHolds, "getRemainingMs">,
  held: HeldParts,
  random: () => number,
): Refusal {
  const remainingMs = promptHolds.getRemainingMs(held);
  const retryAfterMs =
    Math.min(MAX_RETRY_AFTER_MS, Math.max(1_000, remainingMs)) *
    (1 + RETRY_SPREAD * random());
  const detail = held.parts.some(isRequestId)
    ? `Endpoints crash under this ${held.parts.join(",")}`
    : `Endpoints crash under the prompt part ${held.parts.join(",")}`;
  return createRefusal("prompt-held", detail, { retryAfterMs });
}
