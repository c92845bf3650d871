/** Runs a non-idempotent call under its claim, so that it runs at most once. */

import type { AcquireOutcome } from "../billing/claim_outcomes.js";
import type { StoredClaim } from "../billing/claim_writes.js";
import type { AcquireRequest, EntryClaims } from "../billing/entry_claims.js";
import { createRefusal, type Refusal } from "../core/index.js";
import type { End, KeptAnswer } from "../schema/index.js";

export type DispatchOutcome =
  | { readonly kind: "ended"; readonly end: End }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export type OrderOutcome =
  /** The call ran, now or under an earlier request with the key. */
  | { readonly kind: "ended"; readonly end: End }
  /** It did not run and the claim is free: another endpoint may take it. */
  | { readonly kind: "not-run"; readonly refusal: Refusal }
  /** The final answer of the request. */
  | { readonly kind: "refused"; readonly refusal: Refusal };

export interface OrderRunnerOptions {
  readonly claims: Pick<
    EntryClaims,
    "acquire" | "rejoin" | "complete" | "release"
  >;
  /** Dispatches the attempt that the claim names. */
  readonly dispatch: (claim: StoredClaim["claim"]) => Promise<DispatchOutcome>;
  readonly getRemainingMs: () => number;
}

/** Broken dispatches of one request that are looked into. */
const MAX_ROUNDS = 5;

/** The keeper refuses an answer whose body was not kept. */
function createKeptEnd(answer: KeptAnswer): End {
  return {
    status: answer.status,
    promptTokens: 0,
    outputTokens: 0,
    body: Buffer.from(answer.bodyBase64 ?? "", "base64"),
    contentType: answer.contentType,
    chunks: 0,
  };
}

/** Acquires the claim, dispatches, and settles what became of it. */
export async function runOrder(
  order: AcquireRequest,
  options: OrderRunnerOptions,
  signal: AbortSignal,
): Promise<OrderOutcome> {
  const { claims } = options;
  let held: StoredClaim | undefined;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    // A second acquire could say "not run" of the dispatch that broke.
    const claim: AcquireOutcome =
      held === undefined
        ? await claims.acquire(order, signal)
        : await claims.rejoin(order, held, signal);
    if (claim.kind === "done") {
      return { kind: "ended", end: createKeptEnd(claim.answer) };
    }
    if (claim.kind !== "acquired") {
      return { kind: "refused", refusal: claim.refusal };
    }
    held = claim.stored;
    const outcome = await dispatchClaimed(held, options);
    if (outcome.kind === "ended") {
      await claims.complete(held, outcome.end, signal);
      return outcome;
    }
    const { refusal } = outcome;
    // Whether it ran is open: the next round asks the gate through the claim.
    if (refusal.ran !== "no") continue;
    const release = await claims.release(held, signal);
    if (release.kind === "released") return { kind: "not-run", refusal };
    if (release.kind === "refused") return release;
  }
  return {
    kind: "refused",
    refusal: createRefusal(
      "outcome-unknown",
      `The call with key "${order.key}" has no outcome after ${MAX_ROUNDS} rounds`,
    ),
  };
}

async function dispatchClaimed(
  stored: StoredClaim,
  options: OrderRunnerOptions,
): Promise<DispatchOutcome> {
  // The store may have been slow: an order past its deadline must not start.
  if (options.getRemainingMs() > 0) return await options.dispatch(stored.claim);
  return {
    kind: "refused",
    refusal: createRefusal(
      "deadline-exceeded",
      "The deadline passed before the call started",
    ),
  };
}
