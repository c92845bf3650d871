/**
 * Runs a call to a non-idempotent service under its claim, the stored record of
 * its idempotency key, so that the call runs at most once.
 */

import type { AcquireOutcome } from "../billing/claim_outcomes.js";
import type { StoredClaim } from "../billing/claim_writes.js";
import type { AcquireRequest, EntryClaims } from "../billing/entry_claims.js";
import { createRefusal, type Refusal } from "../core/index.js";
import type { End, KeptAnswer } from "../schema/index.js";

export type DispatchOutcome =
  | { readonly kind: "ended"; readonly end: End }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export type ClaimedCallOutcome =
  /** The call ran, now or for an earlier request with the same key. */
  | { readonly kind: "ended"; readonly end: End }
  /** It did not run and the claim is released: another endpoint may run it. */
  | { readonly kind: "not-run"; readonly refusal: Refusal }
  /** The final answer of the request. */
  | { readonly kind: "refused"; readonly refusal: Refusal };

export interface ClaimedCallOptions {
  readonly claims: Pick<
    EntryClaims,
    "acquire" | "rejoin" | "complete" | "release"
  >;
  /** Dispatches the attempt that the claim names. */
  readonly dispatch: (claim: StoredClaim["claim"]) => Promise<DispatchOutcome>;
  readonly getRemainingMs: () => number;
}

/** Limit of rounds per call; a broken dispatch needs another round. */
const MAX_CLAIM_ROUNDS = 5;

/** The body is present: `acquire` refuses when it was too long to be kept. */
function createEndFromAnswer(answer: KeptAnswer): End {
  return {
    status: answer.status,
    promptTokens: 0,
    outputTokens: 0,
    body: Buffer.from(answer.bodyBase64 ?? "", "base64"),
    contentType: answer.contentType,
    chunks: 0,
  };
}

/** Acquires the claim, dispatches the call and records the outcome. */
export async function runClaimedCall(
  acquireRequest: AcquireRequest,
  options: ClaimedCallOptions,
  signal: AbortSignal,
): Promise<ClaimedCallOutcome> {
  const { claims } = options;
  let storedClaim: StoredClaim | undefined;
  for (let round = 0; round < MAX_CLAIM_ROUNDS; round += 1) {
    // After a broken dispatch, a second acquire could report "not run" although
    // the call ran.
    const claim: AcquireOutcome =
      storedClaim === undefined
        ? await claims.acquire(acquireRequest, signal)
        : await claims.rejoin(acquireRequest, storedClaim, signal);
    if (claim.kind === "done") {
      return { kind: "ended", end: createEndFromAnswer(claim.answer) };
    }
    if (claim.kind !== "acquired") {
      return { kind: "refused", refusal: claim.refusal };
    }
    storedClaim = claim.stored;
    const outcome = await dispatchBeforeDeadline(storedClaim, options);
    if (outcome.kind === "ended") {
      await claims.complete(storedClaim, outcome.end, signal);
      return outcome;
    }
    const { refusal } = outcome;
    // It may have run: the next round asks the gate for the outcome.
    if (refusal.ran !== "no") continue;
    const release = await claims.release(storedClaim, signal);
    if (release.kind === "released") return { kind: "not-run", refusal };
    if (release.kind === "refused") return release;
  }
  return {
    kind: "refused",
    refusal: createRefusal(
      "outcome-unknown",
      `The call with key "${acquireRequest.key}" has no outcome after ${MAX_CLAIM_ROUNDS} rounds of claim and dispatch`,
    ),
  };
}

async function dispatchBeforeDeadline(
  stored: StoredClaim,
  options: ClaimedCallOptions,
): Promise<DispatchOutcome> {
  // The store may have been slow: a call past its deadline must not start.
  if (options.getRemainingMs() > 0) return await options.dispatch(stored.claim);
  return {
    kind: "refused",
    refusal: createRefusal(
      "deadline-exceeded",
      "The deadline passed before the call started",
    ),
  };
}
