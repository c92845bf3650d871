/** Plans of one or two versions, with their quality, cost and speed. */

import { computePassChance } from "./judge_estimate.js";
import type { QualityEstimate, QualityEstimates } from "./quality_estimates.js";
import type { LengthEstimate } from "./speed_estimates.js";

/** One or two versions; the judge decides whether the second is needed. */
export interface Plan {
  readonly steps: readonly string[];
  /** The steps joined into one text. */
  readonly key: string;
  readonly quality: number;
  /** Lower bound of the quality, from the posterior's variance. */
  readonly lowerBound: number;
  readonly cost: number;
  /** Chance that the answer is ready in time. */
  readonly inTimeChance: number;
  /** Cost plus a price for the risk of a late answer; the lowest is best. */
  readonly score: number;
}

/** Present speed of a version. */
export interface VersionSpeed {
  /** Milliseconds per unit of work; infinite when no endpoint serves it. */
  readonly unitMs: number;
  /** Expected wait in the queue. */
  readonly waitMs: number;
}

export interface VersionOption {
  readonly version: string;
  readonly estimate: QualityEstimate;
  readonly cost: number;
  readonly speed: VersionSpeed;
}

export interface PlanRequest {
  readonly requestClass: string;
  /**
   * Versions in roll-out. Each is used as a first step that the judge can
   * escalate from, and alone only if no other version is available.
   */
  readonly rolloutVersions: ReadonlySet<string>;
  readonly remainingMs: number;
}

export interface PlanSources {
  quality: QualityEstimates;
  getCost: (version: string) => number;
  getSpeed: (version: string) => VersionSpeed;
  getLength: (requestClass: string) => LengthEstimate;
  judgeCostPerCall: number;
}

/** Standard deviations from the mean of an estimate to its lower bound. */
const LOWER_BOUND_DEVIATIONS = 0.5;
/** Price of a late answer, in answers of the most expensive version. */
const LATE_ANSWER_PRICE = 1;
/** Least shortfall counted, so that a tiny one doesn't outweigh all savings. */
const MIN_SHORTFALL = 0.001;
/** Factor by which a cheaper version may be slower and still match another. */
const MAX_MATCHED_SLOWDOWN = 1.1;
/** Limit on the matched versions that are kept for lack of evidence. */
const MAX_EXPLORED_OPTIONS = 3;
/** Verdicts and ratings below which a version is still tried at random. */
export const EXPLORATION_EVIDENCE_LIMIT = 60;

/** Lower bound of a quality, from its variance. */
export function computeLowerBound(estimate: QualityEstimate): number {
  return estimate.mean - LOWER_BOUND_DEVIATIONS * Math.sqrt(estimate.variance);
}

/** Approximate standard normal distribution function. */
function computeNormalCdf(x: number): number {
  // A logistic curve; its error of 0.01 is below that of the speeds.
  return 1 / (1 + Math.exp(-1.702 * x));
}

/** Chance that an answer of log-normal length fits into a number of units. */
function computeFitChance(length: LengthEstimate, units: number): number {
  if (units <= 0) return 0;
  const deviation = Math.sqrt(length.varianceLog) || 1;
  return computeNormalCdf((Math.log(units) - length.meanLog) / deviation);
}

/** The plan below the target that saves most in relation to its shortfall. */
export function findCheaperBelowTarget(
  plans: readonly Plan[],
  onTargetPlan: Plan,
  raisedTarget: number,
): Plan | undefined {
  let chosen: Plan | undefined;
  let mostSaved = 0;
  for (const plan of plans) {
    if (plan.lowerBound >= raisedTarget || plan.score >= onTargetPlan.score)
      continue;
    const shortfall = Math.max(MIN_SHORTFALL, raisedTarget - plan.lowerBound);
    const savedPerShortfall = (onTargetPlan.score - plan.score) / shortfall;
    if (savedPerShortfall <= mostSaved) continue;
    mostSaved = savedPerShortfall;
    chosen = plan;
  }
  return chosen;
}

/**
 * Versions that a plan may use, by cost. One that a cheaper version matches in
 * quality and speed is left out, except for a few with little evidence, so
 * that the number of plans stays small however many versions there are.
 */
export function listOptions(
  sources: PlanSources,
  request: PlanRequest,
  versionsByCost: readonly string[],
): VersionOption[] {
  const { quality, getCost, getSpeed, getLength } = sources;
  const { requestClass, rolloutVersions } = request;
  const { meanKiloTokens } = getLength(requestClass);
  const options: VersionOption[] = [];
  let exploredCount = 0;
  for (const version of versionsByCost) {
    const speed = getSpeed(version);
    if (speed.unitMs === Number.POSITIVE_INFINITY) continue;
    const estimate = quality.estimate(requestClass, version);
    const isMatched = options.some(
      (other) =>
        !rolloutVersions.has(other.version) &&
        other.estimate.mean >= estimate.mean &&
        other.speed.unitMs <= speed.unitMs * MAX_MATCHED_SLOWDOWN &&
        other.speed.waitMs <= speed.waitMs,
    );
    if (isMatched) {
      const evidence = quality.countEvidence(requestClass, version);
      if (evidence >= EXPLORATION_EVIDENCE_LIMIT) continue;
      if (
        ++exploredCount > MAX_EXPLORED_OPTIONS &&
        version !== versionsByCost.at(-1)
      )
        continue;
    }
    const cost = getCost(version) * meanKiloTokens;
    options.push({ version, estimate, cost, speed });
  }
  return options;
}

export function listPlans(
  sources: PlanSources,
  request: PlanRequest,
  options: readonly VersionOption[],
): Plan[] {
  const { quality, getLength } = sources;
  const length = getLength(request.requestClass);
  const judge = quality.judge;
  const latePrice = LATE_ANSWER_PRICE * (options.at(-1)?.cost ?? 0);
  const plans: Plan[] = [];
  const addPlan = (
    steps: string[],
    estimate: QualityEstimate,
    costAndTime: { cost: number; inTimeChance: number },
  ) => {
    plans.push({
      steps,
      key: steps.join(" "),
      quality: estimate.mean,
      lowerBound: computeLowerBound(estimate),
      ...costAndTime,
      score: costAndTime.cost + latePrice * (1 - costAndTime.inTimeChance),
    });
  };
  for (const [i, first] of options.entries()) {
    const firstRemainingMs = request.remainingMs - first.speed.waitMs;
    const inTimeChance = computeFitChance(
      length,
      firstRemainingMs / first.speed.unitMs,
    );
    const isInRollout = request.rolloutVersions.has(first.version);
    if (!isInRollout || options.length === 1) {
      addPlan([first.version], first.estimate, {
        cost: first.cost,
        inTimeChance,
      });
    }
    const passChance = computePassChance(first.estimate.mean, judge);
    for (const second of options.slice(i + 1)) {
      if (second.cost <= first.cost) continue;
      if (request.rolloutVersions.has(second.version)) continue;
      if (second.estimate.mean <= first.estimate.mean) continue;
      const { specificity } = judge;
      const missChance = 1 - specificity;
      const bothRemainingMs = firstRemainingMs - second.speed.waitMs;
      const bothUnitMs = first.speed.unitMs + second.speed.unitMs;
      const escalatedInTimeChance = computeFitChance(
        length,
        bothRemainingMs / bothUnitMs,
      );
      const { mean: firstQuality, variance: firstVariance } = first.estimate;
      const { mean: secondQuality, variance: secondVariance } = second.estimate;
      addPlan(
        [first.version, second.version],
        {
          // The second version is assumed to solve all that the first does.
          mean: firstQuality + (secondQuality - firstQuality) * specificity,
          variance:
            missChance ** 2 * firstVariance + specificity ** 2 * secondVariance,
        },
        {
          cost:
            first.cost +
            sources.judgeCostPerCall +
            (1 - passChance) * second.cost,
          inTimeChance:
            passChance * inTimeChance +
            (1 - passChance) * escalatedInTimeChance,
        },
      );
    }
  }
  return plans;
}
