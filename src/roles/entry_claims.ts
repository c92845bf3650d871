/**
 * Claims of non-idempotent calls, so that an order with one key runs at most
 * once however many entries and callers try it.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  createClaim,
  createKeptAnswer,
  createRefusal,
  decideClaimStep,
  loseClaim,
  type Order,
  type OrderResult,
  type Refusal,
  releaseClaim,
  takeOverClaim,
} from "../core/index.js";
import type { Claim, KeptAnswer, Receipt } from "../schema/index.js";
import {
  readClaim,
  type StoredClaim,
  storeResult,
  writeClaim,
} from "./claim_writes.js";
import type { Clock } from "./clock.js";
import type { PendingResult, PendingResults } from "./pending_results.js";
import type { Unavailable } from "./store_writes.js";

/** Between two questions to a gate whose attempt is running. */
const JOIN_INTERVAL_MS = 200;

/** Questions in a row that a gate leaves open before the caller is answered. */
const MAX_UNREACHABLE = 3;

/** Changes of one claim seen in a row by one caller; more mean a fault. */
const MAX_ACQUIRE_STEPS = 10_000;

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

export type AcquireOutcome =
  | { readonly kind: "acquired"; readonly stored: StoredClaim }
  | { readonly kind: "done"; readonly answer: KeptAnswer }
  | { readonly kind: "unknown"; readonly refusal: Refusal }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export type ReleaseOutcome =
  /** The attempt did not run, and neither did any other of the key. */
  | { readonly kind: "released" }
  /** Another caller has the claim: acquire again to join it. */
  | { readonly kind: "taken" }
  | { readonly kind: "refused"; readonly refusal: Refusal };

export interface ClaimKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly createId: () => string;
  readonly lookUpAttempt: LookUpAttempt;
  /** Keeps results whose claim the store could not take. */
  readonly pending: PendingResults;
}

export interface AcquireRequest extends Order {
  readonly deadlineAtMs: number;
}

type Step =
  | { readonly kind: "again"; readonly stored: StoredClaim | undefined }
  | { readonly kind: "reread" }
  | AcquireOutcome;

export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
  }

  /**
   * Takes the order's claim, or joins the attempt that has it. Called again
   * after a broken dispatch, it finds out what became of the attempt.
   */
  async acquire(
    order: AcquireRequest,
    signal: AbortSignal,
  ): Promise<AcquireOutcome> {
    const full = this.#options.pending.checkRoom();
    if (full !== undefined) return { kind: "refused", refusal: full };
    let step: Step = { kind: "again", stored: undefined };
    const unreachable = { count: 0 };
    for (let count = 0; count < MAX_ACQUIRE_STEPS; count += 1) {
      if (step.kind === "reread") {
        const read = await readClaim(this.#options.store, order, { signal });
        if (read.kind === "unavailable") return refuseUnavailable(read);
        step = { kind: "again", stored: read.stored };
      }
      if (step.kind !== "again") return step;
      step = await this.#advance(order, step.stored, { signal, unreachable });
    }
    return refuse("in-progress", "The order is still running");
  }

  async #advance(
    order: AcquireRequest,
    stored: StoredClaim | undefined,
    options: { signal: AbortSignal; unreachable: { count: number } },
  ): Promise<Step> {
    const { createId } = this.#options;
    const next = decideClaimStep(stored?.claim, order);
    if (next.kind === "done") return next;
    if (next.kind === "unknown") return answerUnknown(order.key);
    if (next.kind === "key-reused") {
      return refuse("key-reused", `Key "${order.key}" had another body`);
    }
    if (stored === undefined) {
      const claim = createClaim(order, createId());
      return this.#take({ claim, version: 0 }, options.signal);
    }
    if (next.kind === "take-over") {
      return this.#takeOver(order, stored, options.signal);
    }
    return this.#lookUp(order, stored, options);
  }

  async #takeOver(
    order: AcquireRequest,
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<Step> {
    const claim = takeOverClaim(stored.claim, order, this.#options.createId());
    return this.#take({ claim, version: stored.version }, signal);
  }

  async #take(next: StoredClaim, signal: AbortSignal): Promise<Step> {
    const outcome = await writeClaim(this.#options.store, next, { signal });
    if (outcome.kind === "unavailable") return refuseUnavailable(outcome);
    if (outcome.kind === "conflict") {
      return { kind: "again", stored: outcome.current };
    }
    return { kind: "acquired", stored: outcome.stored };
  }

  async #lookUp(
    order: AcquireRequest,
    stored: StoredClaim,
    options: { signal: AbortSignal; unreachable: { count: number } },
  ): Promise<Step> {
    const { signal, unreachable } = options;
    const { claim } = stored;
    const report = await this.#options.lookUpAttempt(claim, signal);
    if (report.kind === "unreachable") {
      unreachable.count += 1;
      if (unreachable.count >= MAX_UNREACHABLE) return answerUnknown(order.key);
    }
    switch (report.kind) {
      case "revoked":
        return this.#takeOver(order, stored, signal);
      case "ended":
        return this.#settle(stored, report, signal);
      case "failed":
      case "other-epoch":
      case "gone":
        return this.#lose(stored, signal);
      case "running":
      case "unreachable":
        return this.#wait(order, signal);
    }
  }

  async #wait(order: AcquireRequest, signal: AbortSignal): Promise<Step> {
    const leftMs = order.deadlineAtMs - this.#options.clock.now();
    if (leftMs <= 0 || signal.aborted) {
      return refuse("in-progress", `Order "${order.key}" is still running`);
    }
    await this.#options.clock.sleep(Math.min(JOIN_INTERVAL_MS, leftMs), signal);
    return { kind: "reread" };
  }

  async #settle(
    stored: StoredClaim,
    report: Extract<AttemptReport, { kind: "ended" }>,
    signal: AbortSignal,
  ): Promise<Step> {
    const { claim } = stored;
    const result: OrderResult = {
      account: claim.account,
      key: claim.key,
      attempt: claim.attempt,
      answer: createKeptAnswer(report),
      bill: claim.quote,
    };
    await this.#store({ result, endpoint: claim.endpoint }, stored, signal);
    return { kind: "done", answer: result.answer };
  }

  async #lose(stored: StoredClaim, signal: AbortSignal): Promise<Step> {
    const { store, createId } = this.#options;
    const claim = loseClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, { signal });
    if (outcome.kind === "conflict") {
      return { kind: "again", stored: outcome.current };
    }
    // Without the store the next caller with the key comes to the same end.
    return answerUnknown(claim.key);
  }

  /** Gives the claim back after a refusal that says "not run". */
  async release(
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<ReleaseOutcome> {
    const { store, createId } = this.#options;
    const claim = releaseClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, { signal });
    if (outcome.kind === "written") return { kind: "released" };
    if (outcome.kind === "conflict") return { kind: "taken" };
    // Another caller may have the claim and may have run the order.
    const detail = `Order "${claim.key}": claim not readable`;
    const options = { ran: "unknown" as const, ...getRetryAfter(outcome) };
    const refusal = createRefusal("store-unavailable", detail, options);
    return { kind: "refused", refusal };
  }

  /**
   * Records the answer of an attempt that ran. When the store can't take it
   * the answer still goes to the caller, and the result is kept for later.
   */
  async complete(
    stored: StoredClaim,
    answer: {
      status: number;
      contentType: string;
      body: Uint8Array;
      bill?: Receipt;
    },
    signal: AbortSignal,
  ): Promise<"stored" | "pending"> {
    const { claim } = stored;
    const result: OrderResult = {
      account: claim.account,
      key: claim.key,
      attempt: claim.attempt,
      answer: createKeptAnswer(answer),
      bill: answer.bill ?? claim.quote,
    };
    const pending = { result, endpoint: claim.endpoint };
    return this.#store(pending, stored, signal);
  }

  async #store(
    pending: PendingResult,
    known: StoredClaim,
    signal: AbortSignal,
  ): Promise<"stored" | "pending"> {
    const { store, createId } = this.#options;
    const options = { signal, createId, known };
    const outcome = await storeResult(store, pending.result, options);
    if (outcome.kind === "stored") return "stored";
    await this.#options.pending.add(pending, signal);
    return "pending";
  }
}

function getRetryAfter(outcome: Unavailable): { retryAfterMs: number } {
  return { retryAfterMs: outcome.retryAfterMs ?? STORE_RETRY_AFTER_MS };
}

function refuseUnavailable(outcome: Unavailable): AcquireOutcome {
  const options = getRetryAfter(outcome);
  const refusal = createRefusal("store-unavailable", outcome.detail, options);
  return { kind: "refused", refusal };
}

function refuse(
  code: "key-reused" | "in-progress",
  detail: string,
): AcquireOutcome {
  return { kind: "refused", refusal: createRefusal(code, detail) };
}

function answerUnknown(key: string): AcquireOutcome {
  const detail = `Order "${key}" may have run`;
  return { kind: "unknown", refusal: createRefusal("outcome-unknown", detail) };
}
