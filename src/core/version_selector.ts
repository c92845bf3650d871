/** Chooses versions for requests and sessions, and records their results. */

import type { FleetState } from "../schema/index.js";
import { createEmptyState } from "./fleet_state.js";
import { computeEscalatedQuality } from "./judge_estimate.js";
import type { PendingRequest, RunningAttempt } from "./pending_requests.js";
import { computeLowerBound, type VersionSpeed } from "./plans.js";
import { type AnswerRole, QualityEstimates } from "./quality_estimates.js";
import {
  type OutcomeCounts,
  RolloutGuard,
  SLOW_FACTOR,
} from "./rollout_guard.js";
import type { RouteRequest } from "./router_events.js";
import type { LengthEstimate } from "./speed_estimates.js";
import { VersionChooser } from "./version_chooser.js";

export interface VersionSelectorOptions {
  random: () => number;
  judgeCostPerCall: number;
  getSpeed: (version: string) => VersionSpeed;
  getLength: (requestClass: string) => LengthEstimate;
  /** Called when the roll-out guard stops a version. */
  hold: (version: string, reason: string) => void;
}

/** Planned requests between updates of the judge's estimated error rates. */
const JUDGE_UPDATE_PERIOD_REQUESTS = 200;

export class VersionSelector {
  readonly #options: VersionSelectorOptions;
  readonly #quality = new QualityEstimates();
  readonly #chooser: VersionChooser;
  readonly #guard: RolloutGuard;
  #state: FleetState = createEmptyState();
  #plannedRequests = 0;

  constructor(options: VersionSelectorOptions) {
    this.#options = options;
    this.#guard = new RolloutGuard({
      random: options.random,
      getControlCounts: (version, requestClass) =>
        this.#countControlVerdicts(version, requestClass),
    });
    this.#chooser = new VersionChooser({
      random: options.random,
      quality: this.#quality,
      getCost: (name) => this.#state.versions[name]?.costPerKiloToken ?? 0,
      getSpeed: options.getSpeed,
      getLength: options.getLength,
      judgeCostPerCall: options.judgeCostPerCall,
    });
  }

  setState(state: FleetState): void {
    this.#state = state;
    this.#guard.setState(state);
    this.#chooser.clearChoices();
  }

  /** Versions in the order to try; the answer of the last one is final. */
  planSteps(request: RouteRequest, nowMs: number): string[] {
    if (request.kind === "service") return [""];
    if (request.sessionVersion !== undefined) return [request.sessionVersion];
    if (++this.#plannedRequests % JUDGE_UPDATE_PERIOD_REQUESTS === 0) {
      this.#quality.updateJudge();
    }
    const candidates = this.#guard.listOpen(request.candidates);
    const rolloutVersions = new Set(
      candidates.filter((version) => this.#guard.isInRollout(version)),
    );
    const { requestClass, qualityTarget = 0, deadlineAtMs } = request;
    const remainingMs = deadlineAtMs - nowMs;
    const plan = this.#chooser.choose(
      {
        requestClass,
        candidates,
        rolloutVersions,
        qualityTarget,
        remainingMs,
      },
      nowMs,
    );
    return [...(plan?.steps ?? [])];
  }

  /**
   * Versions for a new session, which has no cascade to correct a weak version:
   * the cheapest that meets the target, else the most expensive. Versions that
   * are held or in roll-out are left out, unless there is no other.
   */
  listSessionCandidates(
    request: Pick<
      RouteRequest,
      "requestClass" | "qualityTarget" | "candidates"
    >,
  ): string[] {
    const { requestClass, qualityTarget = 0, candidates } = request;
    const open = candidates.filter(
      (version) => this.#state.holds[version] === undefined,
    );
    const stable = open.filter((version) => !this.#guard.isInRollout(version));
    const usable = [stable, open, candidates].find((list) => list.length > 0);
    const getCost = (version: string) =>
      this.#state.versions[version]?.costPerKiloToken ?? 0;
    const sortedByCost = (usable ?? []).toSorted(
      (a, b) => getCost(a) - getCost(b),
    );
    const cheapestOnTarget = sortedByCost.find((version) => {
      const estimate = this.#quality.estimate(requestClass, version);
      return computeLowerBound(estimate) >= qualityTarget;
    });
    const chosen = cheapestOnTarget ?? sortedByCost.at(-1);
    return chosen === undefined ? [] : [chosen];
  }

  /**
   * Counts the request as outstanding for a version in roll-out among its steps
   * until the verdict on it is known.
   */
  watch(pending: PendingRequest): void {
    const rolloutVersion = pending.steps.find((name) =>
      this.#guard.isInRollout(name),
    );
    if (rolloutVersion === undefined) return;
    pending.watchedVersion = rolloutVersion;
    this.#guard.beginRequest(rolloutVersion);
  }

  stopWatching(pending: PendingRequest): void {
    if (pending.watchedVersion === undefined) return;
    this.#guard.endRequest(pending.watchedVersion);
    pending.watchedVersion = undefined;
  }

  recordVerdict(
    pending: PendingRequest,
    version: string,
    passed: boolean | undefined,
  ): void {
    this.stopWatching(pending);
    if (passed === undefined) return;
    const { requestClass } = pending.request;
    this.#quality.recordVerdict(requestClass, version, passed);
    const reason = this.#guard.recordVerdict(version, requestClass, passed);
    this.#holdIfBad(version, reason);
  }

  recordRatings(counts: {
    requestClass: string;
    version: string;
    accepted: number;
    rejected: number;
  }): void {
    const { requestClass, version } = counts;
    this.#quality.recordRatings(requestClass, version, counts);
  }

  recordAnswer(
    pending: PendingRequest,
    version: string,
    role: AnswerRole,
  ): void {
    const { kind, requestClass } = pending.request;
    if (kind === "service") return;
    const rejectedVersion = pending.rejectedVersion;
    this.#quality.recordAnswer(requestClass, version, {
      role,
      rejectedVersion,
    });
  }

  recordDuration(running: RunningAttempt, nowMs: number): void {
    const { version, startedAtMs = running.sentAtMs, expectedMs } = running;
    const isSlow = nowMs - startedAtMs > expectedMs * SLOW_FACTOR;
    this.#holdIfBad(version, this.#guard.recordHealth(version, !isSlow));
  }

  recordFailure({ version, endpoint }: RunningAttempt, nowMs: number): void {
    const reason = this.#guard.recordFailure(version, endpoint, nowMs);
    this.#holdIfBad(version, reason);
  }

  /**
   * Versions neither held nor in roll-out that are better than the rejected
   * one, the best first.
   */
  listBetter(request: RouteRequest, rejected: string): string[] {
    const { requestClass, candidates } = request;
    const getMean = (version: string) =>
      this.#quality.estimate(requestClass, version).mean;
    const rejectedMean = getMean(rejected);
    return candidates
      .filter((version) => this.#state.holds[version] === undefined)
      .filter((version) => !this.#guard.isInRollout(version))
      .filter((version) => getMean(version) > rejectedMean)
      .toSorted((a, b) => getMean(b) - getMean(a));
  }

  /**
   * Deducts from the class's credit the quality lost by the replacement of the
   * planned version with a faster one.
   */
  chargeReplacement(
    { requestClass }: RouteRequest,
    versions: { rejected: string; planned: string; replacement: string },
  ): void {
    const getMean = (version: string) =>
      this.#quality.estimate(requestClass, version).mean;
    const rejectedMean = getMean(versions.rejected);
    const { judge } = this.#quality;
    const lostQuality =
      computeEscalatedQuality(rejectedMean, getMean(versions.planned), judge) -
      computeEscalatedQuality(
        rejectedMean,
        getMean(versions.replacement),
        judge,
      );
    if (lostQuality > 0) this.#chooser.credit.deduct(requestClass, lostQuality);
  }

  /**
   * Deducts the quality lost by an answer that the judge rejected from the
   * class's credit; false when the credit is too small.
   */
  acceptRejected(request: RouteRequest, version: string): boolean {
    const { requestClass, qualityTarget = 0 } = request;
    const { mean } = this.#quality.estimate(requestClass, version);
    const judge = this.#quality.judge;
    const quality = computeEscalatedQuality(mean, mean, judge);
    return this.#chooser.credit.trySpend(requestClass, qualityTarget - quality);
  }

  /** Verdicts on the other versions of the version's model. */
  #countControlVerdicts(version: string, requestClass: string): OutcomeCounts {
    const sum = { good: 0, total: 0 };
    const model = this.#state.versions[version]?.model;
    for (const other of Object.values(this.#state.versions)) {
      if (other.model !== model || other.name === version) continue;
      const counts = this.#quality.countVerdicts(requestClass, other.name);
      sum.good += counts.good;
      sum.total += counts.total;
    }
    return sum;
  }

  /** Holds the version if the guard gave a reason. */
  #holdIfBad(version: string, reason: string | undefined): void {
    if (reason === undefined) return;
    this.#quality.dropEvidence(version);
    this.#chooser.clearChoices();
    this.#options.hold(version, reason);
  }
}
