/** Runs a non-idempotent call under its claim, so that it runs at most once. */

import { createRefusal, type Refusal } from "../core/index.js";
import type { End, KeptAnswer } from "../schema/index.js";
import type { StoredClaim } from "./claim_writes.js";
import type { AcquireRequest, ClaimKeeper } from "./entry_claims.js";

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
  readonly claims: ClaimKeeper;
  /** Dispatches the attempt that the claim names. */
  readonly dispatch: (claim: StoredClaim["claim"]) => Promise<DispatchOutcome>;
  readonly getRemainingMs: () => number;
}

/** Broken dispatches of one request that are looked into. */
const MAX_ROUNDS = 5;

function createKeptEnd(answer: KeptAnswer): End | undefined {
  if (answer.bodyBase64 === undefined && answer.bodyBytes > 0) return undefined;
  return {
    status: answer.status,
    promptTokens: 0,
    outputTokens: 0,
    body: Buffer.from(answer.bodyBase64 ?? "", "base64"),
    contentType: answer.contentType,
    chunks: 0,
  };
}

function answerKept(answer: KeptAnswer): OrderOutcome {
  const end = createKeptEnd(answer);
  if (end !== undefined) return { kind: "ended", end };
  return {
    kind: "refused",
    refusal: createRefusal(
      "answer-not-kept",
      `The call ran with status ${answer.status}; its answer of ${answer.bodyBytes} bytes is not kept`,
    ),
  };
}

/** Acquires the claim, dispatches, and settles what became of it. */
export async function runOrder(
  order: AcquireRequest,
  options: OrderRunnerOptions,
  signal: AbortSignal,
): Promise<OrderOutcome> {
  const { claims } = options;
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    const claim = await claims.acquire(order, signal);
    if (claim.kind === "done") return answerKept(claim.answer);
    if (claim.kind !== "acquired") {
      return { kind: "refused", refusal: claim.refusal };
    }
    const outcome = await dispatchClaimed(claim.stored, options);
    if (outcome.kind === "ended") {
      await claims.complete(claim.stored, outcome.end, signal);
      return outcome;
    }
    const { refusal } = outcome;
    // Whether it ran is open: the next round asks the gate through the claim.
    if (refusal.ran !== "no") continue;
    const release = await claims.release(claim.stored, signal);
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
