/**
 * State transitions of the claim document that belongs to an idempotency key.
 * The request runs at most once: a new attempt is allowed only when the
 * previous one is known not to have run.
 */

import type { Claim, KeptAnswer, Receipt } from "../schema/index.js";
import { hashSha256 } from "./canonical.js";
import { assertInvariant } from "./errors.js";

/** Longer bodies would take too much of a stored object's 1 MB. */
export const MAX_KEPT_BODY_BYTES = 64 * 1024;

/** Longest idempotency key that is part of the object's name unhashed. */
const MAX_UNHASHED_KEY_CHARACTERS = 128;

/** A caller's request with an idempotency key, which needs a claim to run. */
export interface ClaimRequest {
  readonly account: string;
  readonly key: string;
  readonly bodySha256: string;
  readonly requestId: string;
  readonly endpoint: string;
  readonly epoch: string;
  /** The receipt that is billed if the request runs. */
  readonly quote: Receipt;
}

/** The answer and the bill of an attempt that ran. */
export interface BilledResult {
  readonly account: string;
  readonly key: string;
  readonly attempt: number;
  readonly answer: KeptAnswer;
  readonly bill: Receipt;
}

/** What a claim's state lets a request with the same key do. */
export type ClaimAction =
  | { readonly kind: "create" }
  | { readonly kind: "take-over" }
  | { readonly kind: "look-up" }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  | { readonly kind: "unknown" }
  | { readonly kind: "key-reused" };

/** Stored key of a claim; a long or unusual idempotency key is hashed. */
export function getClaimKey(account: string, key: string): string {
  const isPlain =
    key.length <= MAX_UNHASHED_KEY_CHARACTERS && /^[A-Za-z0-9_-]+$/.test(key);
  const name = isPlain ? `k-${key}` : `h-${hashSha256(key)}`;
  return `claims/${account}/${name}`;
}

export function createClaim(request: ClaimRequest, nonce: string): Claim {
  const { account, key, bodySha256, requestId, endpoint, epoch } = request;
  return {
    account,
    key,
    bodySha256,
    state: "claimed",
    requestId,
    attempt: 1,
    endpoint,
    epoch,
    nonce,
    quote: request.quote,
  };
}

/** Starts the next attempt once the previous one is known not to have run. */
export function takeOverClaim(
  claim: Claim,
  request: ClaimRequest,
  nonce: string,
): Claim {
  assertInvariant(
    claim.state === "claimed" || claim.state === "released",
    "ranTwice",
    `claim "${claim.key}" in state "${claim.state}" was given a new attempt`,
  );
  return { ...createClaim(request, nonce), attempt: claim.attempt + 1 };
}

/** The attempt did not run, so the next request may take over the claim. */
export function createReleasedClaim(claim: Claim, nonce: string): Claim {
  assertInvariant(
    claim.state === "claimed",
    "falseNotRun",
    `claim "${claim.key}" in state "${claim.state}" was released`,
  );
  return { ...claim, state: "released", nonce };
}

/** Whether the attempt ran can't be determined, so none runs again. */
export function createUnknownClaim(claim: Claim, nonce: string): Claim {
  assertInvariant(
    claim.state === "claimed",
    "falseNotRun",
    `claim "${claim.key}" in state "${claim.state}" became unknown`,
  );
  return { ...claim, state: "unknown", nonce };
}

/**
 * Records the result of an attempt that ran; undefined when the claim already
 * has it. A claim in state "unknown" stays so and only gets the bill.
 */
export function settleClaim(
  claim: Claim,
  result: BilledResult,
  nonce: string,
): Claim | undefined {
  const name = `claim "${claim.key}" attempt ${result.attempt}`;
  assertInvariant(
    claim.attempt === result.attempt,
    "ranTwice",
    `${name} ran, and attempt ${claim.attempt} was started`,
  );
  assertInvariant(
    claim.state !== "released",
    "falseNotRun",
    `${name} ran after it was released`,
  );
  if (claim.bill !== undefined) return undefined;
  const { answer, bill } = result;
  if (claim.state === "unknown") return { ...claim, bill, nonce };
  return { ...claim, state: "done", answer, bill, nonce };
}

export function decideClaimAction(
  claim: Claim | undefined,
  request: ClaimRequest,
): ClaimAction {
  if (claim === undefined) return { kind: "create" };
  if (claim.bodySha256 !== request.bodySha256) return { kind: "key-reused" };
  if (claim.state === "done" && claim.answer !== undefined) {
    return { kind: "done", answer: claim.answer };
  }
  if (claim.state === "released") return { kind: "take-over" };
  return { kind: claim.state === "claimed" ? "look-up" : "unknown" };
}

/** The answer as the claim stores it; without its body when that is long. */
export function createKeptAnswer(answer: {
  status: number;
  contentType: string;
  body: Uint8Array;
}): KeptAnswer {
  const { status, contentType, body } = answer;
  const kept = { status, contentType, bodyBytes: body.byteLength };
  return body.byteLength > MAX_KEPT_BODY_BYTES
    ? kept
    : { ...kept, bodyBase64: Buffer.from(body).toString("base64") };
}
