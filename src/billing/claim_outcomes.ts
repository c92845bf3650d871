/** Outcomes of claiming a request, and of looking up its attempt at a gate. */

import { createRefusal, type Refusal } from "../core/index.js";
import type { StoreUnavailable } from "../runtime/store_calls.js";
import type { Claim, KeptAnswer, LookUpAttemptReply } from "../schema/index.js";
import type { StoredClaim } from "./claim_writes.js";

/** Sent to the caller when the store gives no retry time. */
const DEFAULT_RETRY_AFTER_MS = 2_000;

/** State of a claim's attempt, as reported by the gate that the claim names. */
export type AttemptReport =
  /** The attempt was not started and never will be. */
  | { readonly kind: "revoked" }
  | { readonly kind: "running" }
  | {
      readonly kind: "ended";
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  /** The attempt was started, and the service's answer is lost. */
  | { readonly kind: "failed" }
  /** The endpoint was restarted, so the gate's state is lost. */
  | { readonly kind: "other-epoch" }
  /** The endpoint has left the host list. */
  | { readonly kind: "gone" }
  /** The endpoint is not known to be gone and does not reply. */
  | { readonly kind: "unreachable" };

export type LookUpAttempt = (
  attempt: Pick<Claim, "endpoint" | "epoch" | "requestId" | "attempt">,
  signal: AbortSignal,
) => Promise<AttemptReport>;

/** Converts a gate's reply; an unknown state counts as "failed". */
export function createAttemptReport(reply: LookUpAttemptReply): AttemptReport {
  if (reply.state === "revoked") return { kind: "revoked" };
  if (reply.state === "running") return { kind: "running" };
  if (reply.state === "other-epoch") return { kind: "other-epoch" };
  const { end, refusal } = reply.lastFrame ?? {};
  if (end !== undefined) {
    const { status, contentType, body } = end;
    return { kind: "ended", status, contentType, body };
  }
  // "no": the gate refused the attempt before it reached the service.
  return { kind: refusal?.ran === "no" ? "revoked" : "failed" };
}

export type AcquireOutcome =
  /** The request may be dispatched with the claim's attempt number. */
  | { readonly kind: "acquired"; readonly stored: StoredClaim }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  | { readonly kind: "unknown"; readonly refusal: Refusal }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export type ReleaseOutcome =
  /** The claim is free: the attempt did not run. */
  | { readonly kind: "released" }
  /** Another caller has acquired the claim: `rejoin` finds its result. */
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/**
 * Refuses as "not run", or as "unknown" when another caller has the claim.
 * @internal
 */
export function refuseUnavailable(outcome: StoreUnavailable) {
  const options = {
    ran: outcome.isContended ? ("unknown" as const) : ("no" as const),
    retryAfterMs: outcome.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
  };
  return {
    kind: "refused" as const,
    refusal: createRefusal("store-unavailable", outcome.detail, options),
  };
}

/**
 * Refuses as "unknown": another caller may have run the request.
 * @internal
 */
export function refuseUnconfirmed(outcome: StoreUnavailable) {
  return refuseUnavailable({ ...outcome, isContended: true });
}

/** @internal */
export function refuseReusedKey(key: string) {
  const detail = `Key "${key}" was used with another body`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("key-reused", detail),
  };
}

/** @internal */
export function refuseInProgress(key: string) {
  const detail = `Request with key "${key}" is still running`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("in-progress", detail),
  };
}

/** @internal */
export function refuseUnknownOutcome(key: string) {
  const detail = `Request with key "${key}" may have run`;
  return {
    kind: "unknown" as const,
    refusal: createRefusal("outcome-unknown", detail),
  };
}

/** @internal */
export function answerFromClaim(key: string, answer: KeptAnswer) {
  if (answer.bodyBase64 !== undefined) return { kind: "done" as const, answer };
  // A long body is not kept at all, so a caller never gets part of an answer.
  const detail = `Request with key "${key}" ran; its answer of ${answer.bodyBytes} bytes was not kept`;
  return {
    kind: "refused" as const,
    refusal: createRefusal("answer-not-kept", detail),
  };
}
