/**
 * Transitions of an order's claim document. An order runs at most once: a new
 * attempt is allowed only when the previous one is known not to have run.
 */

import { createHash } from "node:crypto";
import type { Claim, KeptAnswer, Receipt } from "../schema/index.js";
import { assertInvariant } from "./errors.js";

/** Longer answers would take too much of a stored object's 1 MB. */
export const MAX_KEPT_BODY_BYTES = 64 * 1024;

/** Longest key that is part of the object's name as it is. */
const MAX_PLAIN_KEY_CHARACTERS = 128;

/** A caller's order that asks for its claim. */
export interface Order {
  readonly account: string;
  readonly key: string;
  readonly bodySha256: string;
  readonly requestId: string;
  readonly endpoint: string;
  readonly epoch: string;
  /** The bill if the order runs. */
  readonly quote: Receipt;
}

/** The result of an attempt that ran. */
export interface OrderResult {
  readonly account: string;
  readonly key: string;
  readonly attempt: number;
  readonly answer: KeptAnswer;
  readonly bill: Receipt;
}

/** What a claim's state allows an order with the same key to do. */
export type ClaimStep =
  | { readonly kind: "create" }
  | { readonly kind: "take-over" }
  | { readonly kind: "look-up" }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  | { readonly kind: "unknown" }
  | { readonly kind: "key-reused" };

/** Names the claim; a long or unusual key is replaced by its hash. */
export function getClaimKey(account: string, key: string): string {
  const plain =
    key.length <= MAX_PLAIN_KEY_CHARACTERS && /^[A-Za-z0-9_-]+$/.test(key);
  const name = plain
    ? `k-${key}`
    : `h-${createHash("sha256").update(key).digest("hex")}`;
  return `claims/${account}/${name}`;
}

export function createClaim(order: Order, nonce: string): Claim {
  const { account, key, bodySha256, requestId, endpoint, epoch } = order;
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
    quote: order.quote,
  };
}

/** The next attempt, after the previous one is known not to have run. */
export function takeOverClaim(
  claim: Claim,
  order: Order,
  nonce: string,
): Claim {
  assertInvariant(
    claim.state === "claimed" || claim.state === "released",
    "ranTwice",
    `claim "${claim.key}" in state "${claim.state}" was given a new attempt`,
  );
  return { ...createClaim(order, nonce), attempt: claim.attempt + 1 };
}

/** The attempt did not run, so the next order may take the claim. */
export function createReleasedClaim(claim: Claim, nonce: string): Claim {
  assertInvariant(
    claim.state === "claimed",
    "falseNotRun",
    `claim "${claim.key}" in state "${claim.state}" was released`,
  );
  return { ...claim, state: "released", nonce };
}

/** Nobody can tell whether the attempt ran; the claim never runs again. */
export function createLostClaim(claim: Claim, nonce: string): Claim {
  assertInvariant(
    claim.state === "claimed",
    "falseNotRun",
    `claim "${claim.key}" in state "${claim.state}" became unknown`,
  );
  return { ...claim, state: "unknown", nonce };
}

/**
 * Records the result of an attempt that ran; undefined when the claim has it
 * already. A claim that is unknown stays so and only gets the bill.
 */
export function settleClaim(
  claim: Claim,
  result: OrderResult,
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

export function decideClaimStep(
  claim: Claim | undefined,
  order: Order,
): ClaimStep {
  if (claim === undefined) return { kind: "create" };
  if (claim.bodySha256 !== order.bodySha256) return { kind: "key-reused" };
  if (claim.state === "done" && claim.answer !== undefined) {
    return { kind: "done", answer: claim.answer };
  }
  if (claim.state === "released") return { kind: "take-over" };
  return { kind: claim.state === "claimed" ? "look-up" : "unknown" };
}

/** Keeps the answer; the body only when it is short enough. */
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
