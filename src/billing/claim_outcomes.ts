/** What comes out of the calls on an order's claim and of its gate. */

import { createRefusal, type Refusal } from "../core/index.js";
import type { StoreUnavailable } from "../runtime/store_calls.js";
import type { Claim, KeptAnswer, LookUpAttemptReply } from "../schema/index.js";
import type { StoredClaim } from "./claim_writes.js";

/** Time to come back when the store does not say one. */
const STORE_RETRY_AFTER_MS = 2_000;

/** What the gate that a claim names knows of the claim's attempt. */
export type AttemptReport =
  /** Never started and never will. */
  | { readonly kind: "revoked" }
  | { readonly kind: "running" }
  | {
      readonly kind: "ended";
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  /** Started, and the service's answer is lost. */
  | { readonly kind: "failed" }
  /** The process that had the attempt is gone for good. */
  | { readonly kind: "other-epoch" }
  | { readonly kind: "gone" }
  /** No reply now. */
  | { readonly kind: "unreachable" };

export type LookUpAttempt = (
  attempt: Pick<Claim, "endpoint" | "epoch" | "requestId" | "attempt">,
  signal: AbortSignal,
) => Promise<AttemptReport>;

/** Reads a gate's reply; a state it does not know counts as "failed". */
export function createAttemptReport(reply: LookUpAttemptReply): AttemptReport {
  if (reply.state === "revoked") return { kind: "revoked" };
  if (reply.state === "running") return { kind: "running" };
  if (reply.state === "other-epoch") return { kind: "other-epoch" };
  const { end, refusal } = reply.lastFrame ?? {};
  if (end !== undefined) {
    const { status, contentType, body } = end;
    return { kind: "ended", status, contentType, body };
  }
  return { kind: refusal?.ran === "no" ? "revoked" : "failed" };
}

export type AcquireOutcome =
  /** The order may be dispatched with the claim's attempt number. */
  | { readonly kind: "acquired"; readonly stored: StoredClaim }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  | { readonly kind: "unknown"; readonly refusal: Refusal }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export type ReleaseOutcome =
  /** The attempt did not run, and no other caller has the claim. */
  | { readonly kind: "released" }
  /** Another caller has the claim: `rejoin` finds its result. */
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Refuses at once; ran is "unknown" when another caller has the claim. @internal */
export function refuseUnavailable(outcome: StoreUnavailable) {
  const options = {
    ran: outcome.isContended ? ("unknown" as const) : ("no" as const),
    retryAfterMs: outcome.retryAfterMs ?? STORE_RETRY_AFTER_MS,
  };
  return {
    kind: "refused" as const,
    refusal: createRefusal("store-unavailable", outcome.detail, options),
  };
}

/** Another caller may have the claim and may have run the order. @internal */
export function refuseUnconfirmed(outcome: StoreUnavailable) {
  return refuseUnavailable({ ...outcome, isContended: true });
}

/** @internal */
export function refuseReused(key: string) {
  const detail = `Key "${key}" was used with another body`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("key-reused", detail),
  };
}

/** @internal */
export function refuseRunning(key: string) {
  const detail = `Order "${key}" is still running`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("in-progress", detail),
  };
}

/** @internal */
export function answerUnknown(key: string) {
  const detail = `Order "${key}" may have run`;
  return {
    kind: "unknown" as const,
    refusal: createRefusal("outcome-unknown", detail),
  };
}

/** @internal */
export function answerDone(key: string, answer: KeptAnswer) {
  if (answer.bodyBase64 !== undefined) return { kind: "done" as const, answer };
  // A caller never gets part of an answer.
  const detail = `Order "${key}" ran; its answer of ${answer.bodyBytes} bytes was not kept`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("answer-not-kept", detail),
  };
}
