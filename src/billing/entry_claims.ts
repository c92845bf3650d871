/**
 * Claims of non-idempotent calls, so that an order with one key runs at most
 * once however many entries and callers try it.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  assertInvariant,
  type BilledResult,
  type ClaimRequest,
  createClaim,
  createKeptAnswer,
  createReleasedClaim,
  createUnknownClaim,
  decideClaimAction,
  takeOverClaim,
} from "../core/index.js";
import type { Clock } from "../runtime/clock.js";
import type { Receipt } from "../schema/index.js";
import {
  type AcquireOutcome,
  type AttemptReport,
  answerDone,
  answerUnknown,
  type LookUpAttempt,
  type ReleaseOutcome,
  refuseReused,
  refuseRunning,
  refuseUnavailable,
  refuseUnconfirmed,
} from "./claim_outcomes.js";
import {
  readClaim,
  type StoredClaim,
  writeClaim,
  writeResult,
} from "./claim_writes.js";
import type { PendingResult, PendingResults } from "./pending_results.js";

/**
 * Longest store call of an order: far above the usual milliseconds, and short
 * enough that a refusal leaves the caller time to go elsewhere.
 */
const CLAIM_CALL_TIMEOUT_MS = 1_000;

/** Between two questions to a gate whose attempt is running. */
const JOIN_INTERVAL_MS = 200;

/** Questions that a gate leaves open before the caller is answered. */
const MAX_UNREACHABLE = 3;

/** Far more steps than a deadline of minutes has join intervals. */
const MAX_ACQUIRE_STEPS = 10_000;

export interface ClaimKeeperOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly createId: () => string;
  readonly lookUpAttempt: LookUpAttempt;
  /** Keeps results whose claim the store could not take. */
  readonly pending: PendingResults;
}

export interface AcquireRequest extends ClaimRequest {
  readonly deadlineAtMs: number;
}

/** The answer of an attempt that ran. */
export interface OrderAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** The claim's quote when absent. */
  readonly bill?: Receipt;
}

type Step =
  | { readonly kind: "again"; readonly stored: StoredClaim | undefined }
  | { readonly kind: "reread" }
  | AcquireOutcome;

interface StepOptions {
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
  /** Questions to gates that stayed without a reply. */
  readonly unreachable: { count: number };
}

export class ClaimKeeper {
  readonly #options: ClaimKeeperOptions;

  constructor(options: ClaimKeeperOptions) {
    this.#options = options;
  }

  /** Takes the order's claim, or joins the attempt that has it. */
  async acquire(
    order: AcquireRequest,
    signal: AbortSignal,
  ): Promise<AcquireOutcome> {
    const full = this.#options.pending.checkRoom();
    if (full !== undefined) return { kind: "refused", refusal: full };
    const options = createStepOptions(signal);
    return this.#follow(order, undefined, options);
  }

  /**
   * Finds out what became of an acquired attempt, after its dispatch broke or
   * another caller took the claim. Starting from the known claim instead of
   * a new one, no refusal says "not run" of an attempt that ran.
   */
  async rejoin(
    order: AcquireRequest,
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<AcquireOutcome> {
    const options = createStepOptions(signal);
    return this.#follow(order, stored, options);
  }

  async #follow(
    order: AcquireRequest,
    stored: StoredClaim | undefined,
    options: StepOptions,
  ): Promise<AcquireOutcome> {
    let step: Step = { kind: "again", stored };
    for (let count = 0; count < MAX_ACQUIRE_STEPS; count += 1) {
      if (step.kind === "reread") {
        const read = await readClaim(this.#options.store, order, options);
        // The claim was seen, so the order may be running.
        if (read.kind === "unavailable") return refuseUnconfirmed(read);
        step = { kind: "again", stored: read.stored };
      }
      if (step.kind !== "again") return step;
      step = await this.#advance(order, step.stored, options);
    }
    return refuseRunning(order.key);
  }

  async #advance(
    order: AcquireRequest,
    stored: StoredClaim | undefined,
    options: StepOptions,
  ): Promise<Step> {
    const next = decideClaimAction(stored?.claim, order);
    if (next.kind === "done") return answerDone(order.key, next.answer);
    if (next.kind === "unknown") return answerUnknown(order.key);
    if (next.kind === "key-reused") return refuseReused(order.key);
    if (stored === undefined) {
      const claim = createClaim(order, this.#options.createId());
      return this.#take({ claim, version: 0 }, options);
    }
    return next.kind === "take-over"
      ? this.#takeOver(order, stored, options)
      : this.#lookUp(order, stored, options);
  }

  async #takeOver(
    order: AcquireRequest,
    stored: StoredClaim,
    options: StepOptions,
  ): Promise<Step> {
    const claim = takeOverClaim(stored.claim, order, this.#options.createId());
    return this.#take({ claim, version: stored.version }, options);
  }

  async #take(next: StoredClaim, options: StepOptions): Promise<Step> {
    const outcome = await writeClaim(this.#options.store, next, options);
    // Every attempt before this one is known not to have run.
    if (outcome.kind === "unavailable") return refuseUnavailable(outcome);
    return outcome.kind === "conflict"
      ? { kind: "again", stored: outcome.current }
      : { kind: "acquired", stored: outcome.stored };
  }

  async #lookUp(
    order: AcquireRequest,
    stored: StoredClaim,
    options: StepOptions,
  ): Promise<Step> {
    const { signal, unreachable } = options;
    const report = await this.#options.lookUpAttempt(stored.claim, signal);
    switch (report.kind) {
      case "revoked":
        return this.#takeOver(order, stored, options);
      case "ended":
        return this.#settle(stored, report, signal);
      case "failed":
      case "other-epoch":
      case "gone":
        return this.#lose(stored, signal);
      case "running":
        return this.#wait(order, signal);
      case "unreachable":
        unreachable.count += 1;
        return unreachable.count < MAX_UNREACHABLE
          ? this.#wait(order, signal)
          : answerUnknown(order.key);
    }
  }

  async #wait(order: AcquireRequest, signal: AbortSignal): Promise<Step> {
    const leftMs = order.deadlineAtMs - this.#options.clock.now();
    if (leftMs <= 0 || signal.aborted) return refuseRunning(order.key);
    await this.#options.clock.sleep(Math.min(JOIN_INTERVAL_MS, leftMs), signal);
    return { kind: "reread" };
  }

  async #settle(
    stored: StoredClaim,
    report: Extract<AttemptReport, { kind: "ended" }>,
    signal: AbortSignal,
  ): Promise<Step> {
    await this.complete(stored, report, signal);
    return answerDone(stored.claim.key, createKeptAnswer(report));
  }

  async #lose(stored: StoredClaim, signal: AbortSignal): Promise<Step> {
    const { store, createId } = this.#options;
    const claim = createUnknownClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, {
      signal,
      timeoutMs: CLAIM_CALL_TIMEOUT_MS,
    });
    // Without the store the next caller with the key comes to the same end.
    return outcome.kind === "conflict"
      ? { kind: "again", stored: outcome.current }
      : answerUnknown(claim.key);
  }

  /** Gives the claim back after a refusal that says "not run". */
  async release(
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<ReleaseOutcome> {
    const { store, createId } = this.#options;
    const claim = createReleasedClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, {
      signal,
      timeoutMs: CLAIM_CALL_TIMEOUT_MS,
    });
    if (outcome.kind === "written") return { kind: "released" };
    if (outcome.kind === "unavailable") return refuseUnconfirmed(outcome);
    const other = outcome.current?.claim;
    assertInvariant(
      other?.attempt !== claim.attempt || other.bill === undefined,
      "falseNotRun",
      `Order "${claim.key}" attempt ${claim.attempt} was refused and ran`,
    );
    return { kind: "taken" };
  }

  /**
   * Records the answer of an attempt that ran. When the store can't take it
   * the answer still goes to the caller, and the result is kept for later.
   */
  async complete(
    stored: StoredClaim,
    answer: OrderAnswer,
    signal: AbortSignal,
  ): Promise<"stored" | "pending"> {
    const { store, createId, pending } = this.#options;
    const { account, key, attempt, quote, endpoint } = stored.claim;
    const result: BilledResult = {
      account,
      key,
      attempt,
      answer: createKeptAnswer(answer),
      bill: answer.bill ?? quote,
    };
    const timeoutMs = CLAIM_CALL_TIMEOUT_MS;
    const options = { signal, timeoutMs, createId, known: stored };
    const outcome = await writeResult(store, result, options);
    if (outcome.kind === "stored") return "stored";
    const kept: PendingResult = { result, endpoint };
    await pending.add(kept, signal);
    return "pending";
  }
}

function createStepOptions(signal: AbortSignal): StepOptions {
  const timeoutMs = CLAIM_CALL_TIMEOUT_MS;
  return { signal, timeoutMs, unreachable: { count: 0 } };
}
