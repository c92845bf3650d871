/** Plans of one or two versions, with their quality, cost and time. */

import type { QualityEstimate, QualityEstimates } from "./estimates.js";
import { computePassChance } from "./judge.js";
import type { LengthEstimate } from "./speeds.js";

/** One or two versions; the judge decides whether the second is needed. */
export interface Plan {
  readonly steps: readonly string[];
  readonly key: string;
  readonly quality: number;
  /** Lower bound of the quality, from the posterior's variance. */
  readonly lowerBound: number;
  readonly cost: number;
  /** Chance that the answer is ready in time. */
  readonly inTime: number;
  /** Cost with a price on late answers, by which plans are compared. */
  readonly score: number;
}

/** Speed of a version at the moment. */
export interface VersionPace {
  /** Milliseconds per unit of work; infinite when no endpoint serves it. */
  readonly unitMs: number;
  readonly waitMs: number;
}

export interface VersionOption {
  readonly version: string;
  readonly estimate: QualityEstimate;
  readonly cost: number;
  readonly pace: VersionPace;
}

export interface PlanRequest {
  readonly requestClass: string;
  /** Versions in roll-out, which the judge must be able to escalate from. */
  readonly guarded: ReadonlySet<string>;
  readonly remainingMs: number;
}

export interface PlanSources {
  quality: QualityEstimates;
  getCost: (version: string) => number;
  getPace: (version: string) => VersionPace;
  getLength: (requestClass: string) => LengthEstimate;
  judgeCostPerCall: number;
}

/** Standard deviations of the estimate below its mean. */
const BOUND_DEVIATIONS = 0.5;
/** Price of a late answer, in answers of the dearest version. */
const LATE_PRICE = 1;
const MIN_SHORTFALL = 0.001;
/** Slower by up to this factor, a cheaper version still matches another. */
const MATCHED_PACE = 1.1;
const MAX_EXPLORED = 3;
/** Evidence below which a version is still tried now and then. */
export const EXPLORED_EVIDENCE = 60;

/** Lower bound of a quality, from its variance. */
export function computeLowerBound(estimate: QualityEstimate): number {
  return estimate.mean - BOUND_DEVIATIONS * Math.sqrt(estimate.variance);
}

function computeNormal(x: number): number {
  // Logistic approximation; its error of 0.01 is below that of the speeds.
  return 1 / (1 + Math.exp(-1.702 * x));
}

/** Chance that work of log-normal length fits into a number of units. */
function computeFit(length: LengthEstimate, units: number): number {
  if (units <= 0) return 0;
  const deviation = Math.sqrt(length.varianceLog) || 1;
  return computeNormal((Math.log(units) - length.meanLog) / deviation);
}

/** The plan below target that saves most for its shortfall. */
export function findShort(
  plans: readonly Plan[],
  safe: Plan,
  raisedTarget: number,
): Plan | undefined {
  let short: Plan | undefined;
  let most = 0;
  for (const plan of plans) {
    if (plan.lowerBound >= raisedTarget || plan.score >= safe.score) continue;
    const shortfall = Math.max(MIN_SHORTFALL, raisedTarget - plan.lowerBound);
    const saved = (safe.score - plan.score) / shortfall;
    if (saved <= most) continue;
    most = saved;
    short = plan;
  }
  return short;
}

/**
 * Versions that a plan may use, by cost. One that a cheaper version matches
 * in quality and speed is left out, except for a few with little evidence, so
 * that the number of plans stays small however many versions there are.
 */
export function listOptions(
  sources: PlanSources,
  request: PlanRequest,
  priced: readonly string[],
): VersionOption[] {
  const { quality, getCost, getPace, getLength } = sources;
  const { requestClass, guarded } = request;
  const { meanKiloTokens } = getLength(requestClass);
  const options: VersionOption[] = [];
  let explored = 0;
  for (const version of priced) {
    const pace = getPace(version);
    if (pace.unitMs === Number.POSITIVE_INFINITY) continue;
    const estimate = quality.estimate(requestClass, version);
    const isMatched = options.some(
      (other) =>
        !guarded.has(other.version) &&
        other.estimate.mean >= estimate.mean &&
        other.pace.unitMs <= pace.unitMs * MATCHED_PACE &&
        other.pace.waitMs <= pace.waitMs,
    );
    if (isMatched) {
      const evidence = quality.countEvidence(requestClass, version);
      if (evidence >= EXPLORED_EVIDENCE) continue;
      if (++explored > MAX_EXPLORED && version !== priced.at(-1)) continue;
    }
    const cost = getCost(version) * meanKiloTokens;
    options.push({ version, estimate, cost, pace });
  }
  return options;
}

export function listPlans(
  sources: PlanSources,
  request: PlanRequest,
  known: readonly VersionOption[],
): Plan[] {
  const { quality, getLength } = sources;
  const length = getLength(request.requestClass);
  const judge = quality.judge;
  const latePrice = LATE_PRICE * (known.at(-1)?.cost ?? 0);
  const plans: Plan[] = [];
  const add = (
    steps: string[],
    estimate: QualityEstimate,
    rest: { cost: number; inTime: number },
  ) => {
    plans.push({
      steps,
      key: steps.join(" "),
      quality: estimate.mean,
      lowerBound: computeLowerBound(estimate),
      ...rest,
      score: rest.cost + latePrice * (1 - rest.inTime),
    });
  };
  for (const [i, first] of known.entries()) {
    const firstMs = request.remainingMs - first.pace.waitMs;
    const inTime = computeFit(length, firstMs / first.pace.unitMs);
    const isGuarded = request.guarded.has(first.version);
    if (!isGuarded || known.length === 1) {
      add([first.version], first.estimate, { cost: first.cost, inTime });
    }
    const pass = computePassChance(first.estimate.mean, judge);
    for (const second of known.slice(i + 1)) {
      if (second.cost <= first.cost) continue;
      if (request.guarded.has(second.version)) continue;
      if (second.estimate.mean <= first.estimate.mean) continue;
      const { specificity } = judge;
      const miss = 1 - specificity;
      const bothMs = firstMs - second.pace.waitMs;
      const bothUnitMs = first.pace.unitMs + second.pace.unitMs;
      const escalatedInTime = computeFit(length, bothMs / bothUnitMs);
      const { mean: a, variance: varianceA } = first.estimate;
      const { mean: b, variance: varianceB } = second.estimate;
      add(
        [first.version, second.version],
        {
          // The second version is assumed to solve all that the first does.
          mean: a + (b - a) * specificity,
          variance: miss ** 2 * varianceA + specificity ** 2 * varianceB,
        },
        {
          cost:
            first.cost + sources.judgeCostPerCall + (1 - pass) * second.cost,
          inTime: pass * inTime + (1 - pass) * escalatedInTime,
        },
      );
    }
  }
  return plans;
}
