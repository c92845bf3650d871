/**
 * Claims of requests to non-idempotent services, so that the requests with one
 * idempotency key run at most once, however many entries and callers send them.
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
  answerFromClaim,
  type LookUpAttempt,
  type ReleaseOutcome,
  refuseInProgress,
  refuseReusedKey,
  refuseUnavailable,
  refuseUnconfirmed,
  refuseUnknownOutcome,
} from "./claim_outcomes.js";
import {
  readClaim,
  type StoredClaim,
  writeClaim,
  writeResult,
} from "./claim_writes.js";
import type { PendingResult, PendingResults } from "./pending_results.js";

/**
 * Timeout of a store call that a caller waits for: far above the usual
 * milliseconds, and short enough that after a refusal the caller has time to
 * send the request elsewhere.
 */
const CLAIM_STORE_TIMEOUT_MS = 1_000;

/** Pause before a running attempt is looked up again. */
const LOOK_UP_INTERVAL_MS = 200;

/** Lookups without a reply after which the caller is told "unknown". */
const MAX_UNANSWERED_LOOK_UPS = 3;

/** Bounds the loop; a deadline of minutes has far fewer lookup intervals. */
const MAX_ACQUIRE_STEPS = 10_000;

export interface EntryClaimsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  readonly createId: () => string;
  readonly lookUpAttempt: LookUpAttempt;
  /** Keeps results that could not be written to their claim. */
  readonly pending: PendingResults;
}

export interface AcquireRequest extends ClaimRequest {
  readonly deadlineAtMs: number;
}

/** The answer of an attempt that ran. */
export interface AttemptAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** When absent, the claim's quote is billed. */
  readonly bill?: Receipt;
}

/** What to do next; an outcome ends the steps. */
type AcquireStep =
  /** Decide again, with this version of the claim. */
  | { readonly kind: "again"; readonly stored: StoredClaim | undefined }
  /** Read the claim, then decide again. */
  | { readonly kind: "reread" }
  | AcquireOutcome;

interface StepOptions {
  readonly signal: AbortSignal;
  readonly timeoutMs: number;
  /** Lookups to which no gate replied. */
  readonly unansweredLookUps: { count: number };
}

export class EntryClaims {
  readonly #options: EntryClaimsOptions;

  constructor(options: EntryClaimsOptions) {
    this.#options = options;
  }

  /** Acquires the claim of the key, or waits for the attempt that has it. */
  async acquire(
    request: AcquireRequest,
    signal: AbortSignal,
  ): Promise<AcquireOutcome> {
    const full = this.#options.pending.checkRoom();
    if (full !== undefined) return { kind: "refused", refusal: full };
    const options = createStepOptions(signal);
    return this.#runSteps(request, undefined, options);
  }

  /**
   * Determines the outcome of an acquired attempt whose dispatch broke off or
   * whose claim another caller took over. It starts from the known claim, so
   * that no refusal reports an attempt that ran as "not run".
   */
  async rejoin(
    request: AcquireRequest,
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<AcquireOutcome> {
    const options = createStepOptions(signal);
    return this.#runSteps(request, stored, options);
  }

  async #runSteps(
    request: AcquireRequest,
    stored: StoredClaim | undefined,
    options: StepOptions,
  ): Promise<AcquireOutcome> {
    let step: AcquireStep = { kind: "again", stored };
    for (let count = 0; count < MAX_ACQUIRE_STEPS; count += 1) {
      if (step.kind === "reread") {
        const read = await readClaim(this.#options.store, request, options);
        // The claim was read before, so its attempt may be running.
        if (read.kind === "unavailable") return refuseUnconfirmed(read);
        step = { kind: "again", stored: read.stored };
      }
      if (step.kind !== "again") return step;
      step = await this.#runStep(request, step.stored, options);
    }
    return refuseInProgress(request.key);
  }

  async #runStep(
    request: AcquireRequest,
    stored: StoredClaim | undefined,
    options: StepOptions,
  ): Promise<AcquireStep> {
    const next = decideClaimAction(stored?.claim, request);
    if (next.kind === "done") return answerFromClaim(request.key, next.answer);
    if (next.kind === "unknown") return refuseUnknownOutcome(request.key);
    if (next.kind === "key-reused") return refuseReusedKey(request.key);
    if (stored === undefined) {
      const claim = createClaim(request, this.#options.createId());
      return this.#acquireClaim({ claim, version: 0 }, options);
    }
    return next.kind === "take-over"
      ? this.#takeOver(request, stored, options)
      : this.#lookUp(request, stored, options);
  }

  async #takeOver(
    request: AcquireRequest,
    stored: StoredClaim,
    options: StepOptions,
  ): Promise<AcquireStep> {
    const claim = takeOverClaim(
      stored.claim,
      request,
      this.#options.createId(),
    );
    return this.#acquireClaim({ claim, version: stored.version }, options);
  }

  async #acquireClaim(
    next: StoredClaim,
    options: StepOptions,
  ): Promise<AcquireStep> {
    const outcome = await writeClaim(this.#options.store, next, options);
    // All earlier attempts are known not to have run.
    if (outcome.kind === "unavailable") return refuseUnavailable(outcome);
    return outcome.kind === "conflict"
      ? { kind: "again", stored: outcome.current }
      : { kind: "acquired", stored: outcome.stored };
  }

  async #lookUp(
    request: AcquireRequest,
    stored: StoredClaim,
    options: StepOptions,
  ): Promise<AcquireStep> {
    const { signal, unansweredLookUps } = options;
    const report = await this.#options.lookUpAttempt(stored.claim, signal);
    switch (report.kind) {
      case "revoked":
        return this.#takeOver(request, stored, options);
      case "ended":
        return this.#recordEnded(stored, report, signal);
      case "failed":
      case "other-epoch":
      case "gone":
        return this.#markUnknown(stored, signal);
      case "running":
        return this.#waitAndReread(request, signal);
      case "unreachable":
        unansweredLookUps.count += 1;
        return unansweredLookUps.count < MAX_UNANSWERED_LOOK_UPS
          ? this.#waitAndReread(request, signal)
          : refuseUnknownOutcome(request.key);
    }
  }

  async #waitAndReread(
    request: AcquireRequest,
    signal: AbortSignal,
  ): Promise<AcquireStep> {
    const leftMs = request.deadlineAtMs - this.#options.clock.now();
    if (leftMs <= 0 || signal.aborted) return refuseInProgress(request.key);
    await this.#options.clock.sleep(
      Math.min(LOOK_UP_INTERVAL_MS, leftMs),
      signal,
    );
    return { kind: "reread" };
  }

  async #recordEnded(
    stored: StoredClaim,
    report: Extract<AttemptReport, { kind: "ended" }>,
    signal: AbortSignal,
  ): Promise<AcquireStep> {
    await this.complete(stored, report, signal);
    return answerFromClaim(stored.claim.key, createKeptAnswer(report));
  }

  async #markUnknown(
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<AcquireStep> {
    const { store, createId } = this.#options;
    const claim = createUnknownClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, {
      signal,
      timeoutMs: CLAIM_STORE_TIMEOUT_MS,
    });
    // If the write fails, the next caller with the key gets the same outcome.
    return outcome.kind === "conflict"
      ? { kind: "again", stored: outcome.current }
      : refuseUnknownOutcome(claim.key);
  }

  /** Releases the claim after its attempt was refused as "not run". */
  async release(
    stored: StoredClaim,
    signal: AbortSignal,
  ): Promise<ReleaseOutcome> {
    const { store, createId } = this.#options;
    const claim = createReleasedClaim(stored.claim, createId());
    const next = { claim, version: stored.version };
    const outcome = await writeClaim(store, next, {
      signal,
      timeoutMs: CLAIM_STORE_TIMEOUT_MS,
    });
    if (outcome.kind === "written") return { kind: "released" };
    if (outcome.kind === "unavailable") return refuseUnconfirmed(outcome);
    const other = outcome.current?.claim;
    assertInvariant(
      other?.attempt !== claim.attempt || other.bill === undefined,
      "falseNotRun",
      `claim "${claim.key}" attempt ${claim.attempt} was refused and ran`,
    );
    return { kind: "taken" };
  }

  /**
   * Records the answer of an attempt that ran. If the store is unavailable,
   * the result is kept and written later; the caller is answered either way.
   */
  async complete(
    stored: StoredClaim,
    answer: AttemptAnswer,
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
    const timeoutMs = CLAIM_STORE_TIMEOUT_MS;
    const options = { signal, timeoutMs, createId, known: stored };
    const outcome = await writeResult(store, result, options);
    if (outcome.kind === "stored") return "stored";
    const kept: PendingResult = { result, endpoint };
    await pending.add(kept, signal);
    return "pending";
  }
}

function createStepOptions(signal: AbortSignal): StepOptions {
  const timeoutMs = CLAIM_STORE_TIMEOUT_MS;
  return { signal, timeoutMs, unansweredLookUps: { count: 0 } };
}
