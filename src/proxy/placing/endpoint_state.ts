/** What one entry knows about one endpoint. */

import type { EndpointLoad, EndpointRecord } from "../types.js";
import { AnnouncedAvailability } from "./announced_availability.js";
import { PromptCacheEstimate } from "./prompt_cache_estimate.js";
import { TokenBucket } from "./token_bucket.js";

/** Weight of the newest result in the running means. */
const NEWEST_RESULT_WEIGHT = 0.15;
/** Age at which a load report is worthless; its weight falls until then. */
const LOAD_REPORT_LIFETIME_MS = 2_000;
/**
 * Age at which a report of the host's slowness is worthless, ms: it changes
 * several times per second.
 */
const HOST_SLOWNESS_LIFETIME_MS = 500;
/** First pause of an endpoint that fails; each further one is twice as long. */
const FIRST_FAILURE_PAUSE_MS = 500;
const MAX_FAILURE_PAUSE_MS = 8_000;
/** First pause of an endpoint that refuses as full; doubles like the above. */
const FIRST_REFUSAL_PAUSE_MS = 50;
const MAX_REFUSAL_PAUSE_MS = 1_600;
/** Consecutive failures after which an endpoint is paused. */
const FAILURES_BEFORE_PAUSE = 3;
/** An endpoint is paused if its failure share exceeds its peers' by more. */
const MAX_EXCESS_FAILURE_SHARE = 0.35;
/** Results from which the failure share is reliable enough to use. */
const MIN_RESULTS = 6;

/** Time for which an endpoint that was just added is slow. */
const WARM_UP_MS = 5_000;

/** How an attempt ended, as a sign of the endpoint's health. */
export const ATTEMPT_RESULT = {
  answered: "answered",
  /** It answered with a status of 3xx or 4xx, mostly the caller's fault. */
  rejected: "rejected",
  /** The endpoint refused the request because it was full. */
  refused: "refused",
  /** It answered with an error, as healthy endpoints also do at times. */
  erred: "erred",
  /** The answer was missing, broken or too late. */
  broken: "broken",
  unreachable: "unreachable",
} as const;
export type AttemptResult =
  (typeof ATTEMPT_RESULT)[keyof typeof ATTEMPT_RESULT];

export class EndpointState {
  record: EndpointRecord;
  /** Running attempts of this entry. */
  inFlight = 0;
  /** The same, weighted by the relative run time of their models. */
  runningWork = 0;
  /** Prompt tokens of attempts without an answer yet, weighted by model. */
  pendingPromptTokens = 0;
  /** Running mean of actual over expected time to the answer; 1 is usual. */
  serviceTimeRatio = 1;
  /** Running mean; refusals don't count. */
  failureShare = 0;
  /** Results of attempts so far, failures included and refusals not. */
  resultCount = 0;
  /** Prompt parts that the endpoint probably has cached. */
  readonly promptCache = new PromptCacheEstimate();
  /** Availability that the endpoint announced in its answers. */
  readonly availability: AnnouncedAvailability;
  #coldUntilMs = 0;
  /** Requests that a cold endpoint may get now, one at most. */
  readonly #coldCredit = new TokenBucket(1, 0);
  #othersInFlight = 0;
  #loadReportedAtMs = Number.NEGATIVE_INFINITY;
  #hostSlowness = 1;
  #consecutiveFailures = 0;
  #consecutivePauses = 0;
  #failurePauseEndMs = 0;
  #consecutiveRefusals = 0;
  #refusalPauseEndMs = 0;

  readonly #addedAtMs: number;

  /**
   * `availability` is that of an earlier state of the endpoint, if it has not
   * restarted since.
   */
  constructor(
    record: EndpointRecord,
    addedAtMs: number,
    availability = new AnnouncedAvailability(),
  ) {
    this.record = record;
    this.availability = availability;
    this.#addedAtMs = addedAtMs;
  }

  /** False while the endpoint is new, when every endpoint is slow. */
  isWarm(nowMs: number): boolean {
    return !this.isCold(nowMs) && nowMs - this.#addedAtMs >= WARM_UP_MS;
  }

  /** Requests of other entries, by the last load report. */
  estimateOthersInFlight(nowMs: number): number {
    const ageMs = nowMs - this.#loadReportedAtMs;
    if (ageMs >= LOAD_REPORT_LIFETIME_MS) return 0;
    return this.#othersInFlight * (1 - ageMs / LOAD_REPORT_LIFETIME_MS);
  }

  estimateLoad(nowMs: number): number {
    return this.inFlight + this.estimateOthersInFlight(nowMs);
  }

  recordLoad(load: EndpointLoad, nowMs: number): void {
    const totalInFlight = load.running + load.waiting;
    this.#othersInFlight = Math.max(0, totalInFlight - this.inFlight);
    this.#loadReportedAtMs = nowMs;
    this.#hostSlowness = load.hostSlowness ?? 1;
  }

  /** How long work takes on its host now, where it says so; 1 is usual. */
  getHostSlowness(nowMs: number): number {
    const isRecent = nowMs - this.#loadReportedAtMs < HOST_SLOWNESS_LIFETIME_MS;
    return isRecent ? this.#hostSlowness : 1;
  }

  /**
   * `ratio` is the actual time to the answer divided by the one expected at
   * usual speed.
   */
  recordServiceTimeRatio(ratio: number): void {
    const boundedRatio = Math.min(10, Math.max(0.1, ratio));
    this.serviceTimeRatio +=
      NEWEST_RESULT_WEIGHT * (boundedRatio - this.serviceTimeRatio);
  }

  setColdUntil(untilMs: number): void {
    this.#coldUntilMs = Math.max(this.#coldUntilMs, untilMs);
  }

  isCold(nowMs: number): boolean {
    return nowMs < this.#coldUntilMs;
  }

  /** `perSecond` is the rate at which this entry may send to it while cold. */
  hasColdCredit(perSecond: number, nowMs: number): boolean {
    return this.#coldCredit.count({ perSecond, capacity: 1 }, nowMs) >= 1;
  }

  /** Counts one request against the cold credit. */
  spendColdCredit(perSecond: number, nowMs: number): void {
    this.#coldCredit.take({ perSecond, capacity: 1 }, nowMs);
  }

  /** True while the endpoint asks for no requests. */
  isClosed(nowMs: number): boolean {
    return nowMs < this.availability.closedUntilMs;
  }

  /** The endpoint's answers or its record say that it is shutting down. */
  get isLeaving(): boolean {
    return this.availability.isLeaving || this.record.isLeaving;
  }

  /** This entry avoids the endpoint because it has failed or refused. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#failurePauseEndMs || nowMs < this.#refusalPauseEndMs;
  }

  /** After a pause it gets one attempt at a time until one succeeds. */
  get isOnProbation(): boolean {
    return this.#consecutivePauses > 0 && this.#consecutiveFailures > 0;
  }

  /** `peerFailureShare` is the mean over the service's other endpoints. */
  recordResult(
    result: AttemptResult,
    options: { peerFailureShare: number; nowMs: number },
  ): void {
    if (result === ATTEMPT_RESULT.refused) {
      this.#recordRefusal(options.nowMs);
      return;
    }
    this.#consecutiveRefusals = 0;
    const isFailure =
      result !== ATTEMPT_RESULT.answered && result !== ATTEMPT_RESULT.rejected;
    this.resultCount++;
    const weight = Math.max(NEWEST_RESULT_WEIGHT, 1 / this.resultCount);
    this.failureShare += weight * ((isFailure ? 1 : 0) - this.failureShare);
    if (!isFailure) {
      this.#consecutiveFailures = 0;
      this.#consecutivePauses = 0;
      return;
    }
    this.#consecutiveFailures++;
    const excess = this.failureShare - options.peerFailureShare;
    const isWorse =
      this.resultCount >= MIN_RESULTS && excess > MAX_EXCESS_FAILURE_SHARE;
    const isStreak =
      result !== ATTEMPT_RESULT.erred &&
      this.#consecutiveFailures >= FAILURES_BEFORE_PAUSE;
    if (!isWorse && !isStreak && result !== ATTEMPT_RESULT.unreachable) return;
    const pauseMs = Math.min(
      MAX_FAILURE_PAUSE_MS,
      FIRST_FAILURE_PAUSE_MS * 2 ** this.#consecutivePauses,
    );
    this.#failurePauseEndMs = options.nowMs + pauseMs;
    this.#consecutivePauses++;
  }

  /** Without a pause it looks idle and would be chosen first each time. */
  #recordRefusal(nowMs: number): void {
    const pauseMs = FIRST_REFUSAL_PAUSE_MS * 2 ** this.#consecutiveRefusals;
    this.#refusalPauseEndMs = nowMs + Math.min(MAX_REFUSAL_PAUSE_MS, pauseMs);
    this.#consecutiveRefusals++;
  }
}
