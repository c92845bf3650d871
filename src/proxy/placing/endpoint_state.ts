/** What one entry knows of one endpoint. */

import type { EndpointLoad, EndpointRecord } from "../types.js";
import { EndpointWishes } from "./endpoint_wishes.js";
import { PromptCache } from "./prompt_cache.js";

const MS_PER_SECOND = 1_000;
/** Weight of the newest answer in the running means. */
const SMOOTHING = 0.15;
/** Age at which a load report says nothing of the present any more. */
const LOAD_FADES_MS = 2_000;
/** First pause of an endpoint that fails; doubles with each further one. */
const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 8_000;
/** First pause of an endpoint that refuses as full; doubles with each further one. */
const FIRST_FULL_MS = 50;
const MAX_FULL_MS = 1_600;
/** Failures in a row after which an endpoint gets a pause. */
const FAILURES_IN_A_ROW = 3;
/** Share of failures above that of its peers that earns a pause. */
const EXCESS_FAILURES = 0.35;
/** Answers before the share of failures means anything. */
const MIN_ANSWERS = 6;

/** Time for which an endpoint that has just started is slow, ms. */
const WARM_UP_MS = 5_000;

/** How an attempt ended, as far as the endpoint's health goes. */
export const ATTEMPT_RESULT = {
  answered: "answered",
  /** The endpoint was full and said so. */
  refused: "refused",
  /** A failure that it answered, as sound endpoints also do at times. */
  erred: "erred",
  /** No answer, a broken one, or one out of time. */
  broken: "broken",
  unreachable: "unreachable",
} as const;
export type AttemptResult =
  (typeof ATTEMPT_RESULT)[keyof typeof ATTEMPT_RESULT];

export class EndpointState {
  record: EndpointRecord;
  /** Attempts of this entry that are running. */
  inFlight = 0;
  /** Prompt tokens of attempts that have no answer yet, weighed by model. */
  pendingWork = 0;
  /** Time to the answer against the expected one; 1 is usual. */
  slowness = 1;
  failureShare = 0;
  answers = 0;
  readonly kept = new PromptCache();
  readonly wishes: EndpointWishes;
  #coldUntilMs = 0;
  #coldCredit = 1;
  #coldCreditAtMs = 0;
  #othersInFlight = 0;
  #loadAtMs = Number.NEGATIVE_INFINITY;
  #failuresInARow = 0;
  #pauses = 0;
  #pausedUntilMs = 0;
  #refusalsInARow = 0;
  #fullUntilMs = 0;

  readonly #addedAtMs: number;

  /** `wishes` are those of the same life, where it was known before. */
  constructor(
    record: EndpointRecord,
    addedAtMs: number,
    wishes = new EndpointWishes(),
  ) {
    this.record = record;
    this.wishes = wishes;
    this.#addedAtMs = addedAtMs;
  }

  /** False in the first seconds, in which every endpoint is slow. */
  isWarm(nowMs: number): boolean {
    return !this.isCold(nowMs) && nowMs - this.#addedAtMs >= WARM_UP_MS;
  }

  /** Requests of other entries, as far as the last answer told. */
  estimateOthers(nowMs: number): number {
    const age = nowMs - this.#loadAtMs;
    if (age >= LOAD_FADES_MS) return 0;
    return this.#othersInFlight * (1 - age / LOAD_FADES_MS);
  }

  estimateLoad(nowMs: number): number {
    return this.inFlight + this.estimateOthers(nowMs);
  }

  recordLoad(load: EndpointLoad, nowMs: number): void {
    const total = load.running + load.waiting;
    this.#othersInFlight = Math.max(0, total - this.inFlight);
    this.#loadAtMs = nowMs;
  }

  /** `ratio` is the time to the answer against the expected one. */
  recordPace(ratio: number): void {
    const bounded = Math.min(10, Math.max(0.1, ratio));
    this.slowness += SMOOTHING * (bounded - this.slowness);
  }

  setColdUntil(untilMs: number): void {
    this.#coldUntilMs = Math.max(this.#coldUntilMs, untilMs);
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.#coldUntilMs;
  }

  /** `perSecond` is this entry's part of what a cold endpoint bears. */
  hasColdCredit(perSecond: number, nowMs: number): boolean {
    return this.#computeColdCredit(perSecond, nowMs) >= 1;
  }

  /** Takes one request from what a cold endpoint bears from this entry. */
  spendColdCredit(perSecond: number, nowMs: number): void {
    this.#coldCredit = this.#computeColdCredit(perSecond, nowMs) - 1;
    this.#coldCreditAtMs = nowMs;
  }

  #computeColdCredit(perSecond: number, nowMs: number): number {
    const seconds = (nowMs - this.#coldCreditAtMs) / MS_PER_SECOND;
    return Math.min(1, this.#coldCredit + seconds * perSecond);
  }

  /** The endpoint asked for nothing more for a time. */
  isClosed(nowMs: number): boolean {
    return nowMs < this.wishes.closedUntilMs;
  }

  /** The endpoint itself or its record says that it leaves. */
  get isLeaving(): boolean {
    return this.wishes.isLeaving || this.record.isLeaving;
  }

  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs || nowMs < this.#fullUntilMs;
  }

  /** After a pause one attempt at a time shows whether it is sound again. */
  get isOnProbation(): boolean {
    return this.#pauses > 0 && this.#failuresInARow > 0;
  }

  /** `peerFailureShare` is the mean over the other endpoints of the service. */
  recordResult(
    result: AttemptResult,
    options: { peerFailureShare: number; nowMs: number },
  ): void {
    if (result === ATTEMPT_RESULT.refused) {
      this.#recordRefusal(options.nowMs);
      return;
    }
    this.#refusalsInARow = 0;
    const isFailure = result !== ATTEMPT_RESULT.answered;
    this.answers++;
    const weight = Math.max(SMOOTHING, 1 / this.answers);
    this.failureShare += weight * ((isFailure ? 1 : 0) - this.failureShare);
    if (!isFailure) {
      this.#failuresInARow = 0;
      this.#pauses = 0;
      return;
    }
    this.#failuresInARow++;
    const excess = this.failureShare - options.peerFailureShare;
    const isOutlier = this.answers >= MIN_ANSWERS && excess > EXCESS_FAILURES;
    const isRow =
      result !== ATTEMPT_RESULT.erred &&
      this.#failuresInARow >= FAILURES_IN_A_ROW;
    if (!isOutlier && !isRow && result !== ATTEMPT_RESULT.unreachable) return;
    const pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** this.#pauses);
    this.#pausedUntilMs = options.nowMs + pauseMs;
    this.#pauses++;
  }

  /** An endpoint that refuses looks idle, and would be asked first each time. */
  #recordRefusal(nowMs: number): void {
    const pauseMs = FIRST_FULL_MS * 2 ** this.#refusalsInARow;
    this.#fullUntilMs = nowMs + Math.min(MAX_FULL_MS, pauseMs);
    this.#refusalsInARow++;
  }
}
