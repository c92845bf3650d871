/** Everything the router knows and decides about versions. */

import type { FleetState } from "../schema/index.js";
import { Chooser } from "./chooser.js";
import { type AnswerRole, QualityEstimates } from "./estimates.js";
import type { RouteRequest } from "./events.js";
import { createEmptyState } from "./fleet_state.js";
import { Guard, type Outcomes, SLOW_FACTOR } from "./guard.js";
import { computeEscalatedQuality } from "./judge.js";
import type { PendingRequest, RunningAttempt } from "./pending.js";
import { computeLowerBound, type VersionPace } from "./plans.js";
import type { LengthEstimate } from "./speeds.js";

export interface VersionsOptions {
  random: () => number;
  judgeCostPerCall: number;
  getPace: (version: string) => VersionPace;
  getLength: (requestClass: string) => LengthEstimate;
  /** Called when the guard cuts a version. */
  hold: (version: string, reason: string) => void;
}

/** Requests between two updates of the judge's estimated chances. */
const JUDGE_UPDATE_REQUESTS = 200;

export class Versions {
  readonly #options: VersionsOptions;
  readonly #quality = new QualityEstimates();
  readonly #chooser: Chooser;
  readonly #guard: Guard;
  #state: FleetState = createEmptyState();
  #planned = 0;

  constructor(options: VersionsOptions) {
    this.#options = options;
    this.#guard = new Guard({
      random: options.random,
      getControl: (version, requestClass) =>
        this.#countControl(version, requestClass),
    });
    this.#chooser = new Chooser({
      random: options.random,
      quality: this.#quality,
      getCost: (name) => this.#state.versions[name]?.costPerKiloToken ?? 0,
      getPace: options.getPace,
      getLength: options.getLength,
      judgeCostPerCall: options.judgeCostPerCall,
    });
  }

  setState(state: FleetState): void {
    this.#state = state;
    this.#guard.setState(state);
    this.#chooser.clearPlans();
  }

  /** Versions in the order to try; the last one's answer is final. */
  planSteps(request: RouteRequest, nowMs: number): string[] {
    if (request.kind === "service") return [""];
    if (request.sessionVersion !== undefined) return [request.sessionVersion];
    if (++this.#planned % JUDGE_UPDATE_REQUESTS === 0) {
      this.#quality.estimateJudge();
    }
    const candidates = this.#guard.filter(request.candidates);
    const guarded = new Set(
      candidates.filter((version) => this.#guard.isGuarded(version)),
    );
    const { requestClass, qualityTarget = 0, deadlineAtMs } = request;
    const remainingMs = deadlineAtMs - nowMs;
    const plan = this.#chooser.choose(
      { requestClass, candidates, guarded, qualityTarget, remainingMs },
      nowMs,
    );
    return [...(plan?.steps ?? [])];
  }

  /**
   * Versions for a new session, which has no cascade to make up for a weak
   * one: the cheapest that meets the target, else the dearest. Versions that
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
    const stable = open.filter((version) => !this.#guard.isGuarded(version));
    const usable = [stable, open, candidates].find((list) => list.length > 0);
    const getCost = (version: string) =>
      this.#state.versions[version]?.costPerKiloToken ?? 0;
    const priced = (usable ?? []).toSorted((a, b) => getCost(a) - getCost(b));
    const meeting = priced.find((version) => {
      const estimate = this.#quality.estimate(requestClass, version);
      return computeLowerBound(estimate) >= qualityTarget;
    });
    const chosen = meeting ?? priced.at(-1);
    return chosen === undefined ? [] : [chosen];
  }

  /** Counts the request against its roll-out until its verdict is known. */
  watch(pending: PendingRequest): void {
    const guarded = pending.steps.find((name) => this.#guard.isGuarded(name));
    if (guarded === undefined) return;
    pending.watched = guarded;
    this.#guard.begin(guarded);
  }

  stopWatching(pending: PendingRequest): void {
    if (pending.watched === undefined) return;
    this.#guard.end(pending.watched);
    pending.watched = undefined;
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
    this.#holdFor(version, reason);
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
    const from = pending.rejectedVersion;
    this.#quality.recordAnswer(requestClass, version, { role, from });
  }

  recordTime(running: RunningAttempt, nowMs: number): void {
    const { version, startedAtMs = running.sentAtMs, expectedMs } = running;
    const isSlow = nowMs - startedAtMs > expectedMs * SLOW_FACTOR;
    this.#holdFor(version, this.#guard.recordHealth(version, !isSlow));
  }

  recordFailure({ version, endpoint }: RunningAttempt, nowMs: number): void {
    const reason = this.#guard.recordFailure(version, endpoint, nowMs);
    this.#holdFor(version, reason);
  }

  /** Stable versions better than the rejected one, the best first. */
  listBetter(request: RouteRequest, rejected: string): string[] {
    const { requestClass, candidates } = request;
    const getMean = (version: string) =>
      this.#quality.estimate(requestClass, version).mean;
    const least = getMean(rejected);
    return candidates
      .filter((version) => this.#state.holds[version] === undefined)
      .filter((version) => !this.#guard.isGuarded(version))
      .filter((version) => getMean(version) > least)
      .toSorted((a, b) => getMean(b) - getMean(a));
  }

  /** Charges the quality that a faster version loses to the planned one. */
  chargeReplacement(
    { requestClass }: RouteRequest,
    versions: { rejected: string; planned: string; other: string },
  ): void {
    const getMean = (version: string) =>
      this.#quality.estimate(requestClass, version).mean;
    const first = getMean(versions.rejected);
    const { judge } = this.#quality;
    const lost =
      computeEscalatedQuality(first, getMean(versions.planned), judge) -
      computeEscalatedQuality(first, getMean(versions.other), judge);
    if (lost > 0) this.#chooser.credit.charge(requestClass, lost);
  }

  /** True when the class's credit pays for answering with a rejected output. */
  acceptRejected(request: RouteRequest, version: string): boolean {
    const { requestClass, qualityTarget = 0 } = request;
    const { mean } = this.#quality.estimate(requestClass, version);
    const judge = this.#quality.judge;
    const quality = computeEscalatedQuality(mean, mean, judge);
    return this.#chooser.credit.spend(requestClass, qualityTarget - quality);
  }

  #countControl(version: string, requestClass: string): Outcomes {
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

  #holdFor(version: string, reason: string | undefined): void {
    if (reason === undefined) return;
    this.#quality.reset(version);
    this.#chooser.clearPlans();
    this.#options.hold(version, reason);
  }
}
