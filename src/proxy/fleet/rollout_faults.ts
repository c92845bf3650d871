/**
 * Finds out whether the target of a roll-out is bad: its answers fail, reject
 * requests or are slow against the baseline, the versions that served before.
 */

import {
  type AnswerTotals,
  estimateRejectionShare,
  getFailureShare,
  getMeanServiceTimeRatio,
  type RolloutEvidence,
  sumTotals,
} from "./rollout_evidence.js";

/** Fewer bad answers of the target may be chance. */
const MIN_BAD_ANSWERS = 6;
const MIN_BAD_ROUTE_ANSWERS = 5;
/** Share of bad answers that is a fault if none are usual. */
const BAD_SHARE = 0.2;
const BAD_ROUTE_SHARE = 0.3;
/** A fault is a share of bad answers above this many times the usual one. */
const BAD_RATIO = 2;
/** Share of a version's endpoints whose bad answers may be the hosts' fault. */
const IGNORED_ENDPOINTS_SHARE = 0.2;
/** Share of bad answers that is tolerated on top of the usual one. */
const TOLERATED_SHARE = 0.02;
/** z-score of the Wilson interval: its half-width in standard deviations. */
const Z_SCORE = 2.6;
/** A fault is a mean answer time above this many times the baseline's. */
const BAD_RELATIVE_SERVICE_TIME = 3;
/** Timed answers of each side below which answer times are not compared. */
const MIN_TIMED = 12;

export interface JudgedRollout {
  readonly evidence: RolloutEvidence;
  /** Largest number of registered endpoints of the target seen so far. */
  readonly targetEndpointCount: number;
}

/** Totals of one version, or of all baseline versions together. */
interface VersionTotals {
  readonly all: AnswerTotals;
  readonly byRoute: ReadonlyMap<string, AnswerTotals>;
}

/** What counts against the target, and how much of it is usual. */
interface BadAnswers {
  readonly kind: "failures" | "rejections";
  /** What such an answer did, for the reason of a fault. */
  readonly verb: string;
  /** Usual share of all answers of the target. */
  readonly usualShare: number;
  /** Usual share on a route, from the baseline's answers there, if any. */
  readonly estimateRouteShare: (baseline: AnswerTotals | undefined) => number;
}

/** Why the target is bad; undefined while no fault is found. */
export function findFault(rollout: JudgedRollout): string | undefined {
  const target = sumVersion(rollout.evidence, true);
  const baseline = sumVersion(rollout.evidence, false);
  return (
    findFailureFault(rollout, target, baseline) ??
    findRejectionFault(rollout, target, baseline) ??
    findSlowness(target.all, baseline.all)
  );
}

function sumVersion(
  evidence: RolloutEvidence,
  isTarget: boolean,
): VersionTotals {
  const byRoute = evidence.sumByRoute(isTarget);
  return { all: sumTotals(byRoute.values()), byRoute };
}

function findFailureFault(
  rollout: JudgedRollout,
  target: VersionTotals,
  baseline: VersionTotals,
): string | undefined {
  return findBadAnswers(rollout, target, baseline, {
    kind: "failures",
    verb: "failed",
    usualShare: getFailureShare(baseline.all),
    estimateRouteShare: getFailureShare,
  });
}

/**
 * Finds requests that the target rejects and the baseline would not. Wrong
 * requests of callers reach both, but each route gets a share of them that only
 * the baseline's answers on that route tell. Without any, none is a fault.
 */
function findRejectionFault(
  rollout: JudgedRollout,
  target: VersionTotals,
  baseline: VersionTotals,
): string | undefined {
  // Spares estimates for each answer, as most versions reject few requests.
  if (target.all.rejections < MIN_BAD_ROUTE_ANSWERS) return undefined;
  let usualCount = 0;
  for (const [route, { answers }] of target.byRoute)
    usualCount += estimateRejectionShare(baseline.byRoute.get(route)) * answers;
  return findBadAnswers(rollout, target, baseline, {
    kind: "rejections",
    verb: "rejected the request",
    usualShare: usualCount / target.all.answers,
    estimateRouteShare: estimateRejectionShare,
  });
}

/** Finds more bad answers than usual: in all, on one route, or spread thinly. */
function findBadAnswers(
  rollout: JudgedRollout,
  target: VersionTotals,
  baseline: VersionTotals,
  badAnswers: BadAnswers,
): string | undefined {
  const { kind, verb, usualShare, estimateRouteShare } = badAnswers;
  const { answers, [kind]: count } = target.all;
  if (
    count >= MIN_BAD_ANSWERS &&
    isBadShare(count, answers, usualShare, BAD_SHARE)
  )
    return `${count} of ${answers} answers ${verb}`;
  for (const [route, totals] of target.byRoute) {
    const routeCount = totals[kind];
    if (routeCount < MIN_BAD_ROUTE_ANSWERS) continue;
    const usualRouteShare = estimateRouteShare(baseline.byRoute.get(route));
    if (
      isBadShare(routeCount, totals.answers, usualRouteShare, BAD_ROUTE_SHARE)
    )
      return `${routeCount} of ${totals.answers} answers on ${route} ${verb}`;
  }
  return findWidespreadFault(rollout, answers, badAnswers);
}

/** True when the share reaches `minShare` and is well above the usual one. */
function isBadShare(
  count: number,
  answers: number,
  usualShare: number,
  minShare: number,
): boolean {
  if (count / answers < minShare) return false;
  return computeWilsonLowerBound(count, answers) > BAD_RATIO * usualShare;
}

/**
 * Finds a small share of bad answers that is spread over the endpoints. The
 * endpoints with the most are ignored: their hosts may be faulty.
 */
function findWidespreadFault(
  { evidence, targetEndpointCount }: JudgedRollout,
  allAnswers: number,
  { kind, verb, usualShare }: BadAnswers,
): string | undefined {
  const ignoredEndpointCount = Math.floor(
    IGNORED_ENDPOINTS_SHARE * targetEndpointCount,
  );
  const count = evidence
    .listEndpointCounts(kind)
    .slice(ignoredEndpointCount)
    .reduce((sum, endpointCount) => sum + endpointCount, 0);
  if (count < MIN_BAD_ANSWERS) return undefined;
  const countedShare =
    1 - ignoredEndpointCount / Math.max(1, targetEndpointCount);
  const answers = Math.max(count, allAnswers * countedShare);
  const lowerBound = computeWilsonLowerBound(count, answers);
  if (lowerBound <= BAD_RATIO * usualShare + TOLERATED_SHARE) return undefined;
  return `${count} of ${Math.round(answers)} answers of many endpoints ${verb}`;
}

function findSlowness(
  target: AnswerTotals,
  baseline: AnswerTotals,
): string | undefined {
  if (target.timed < MIN_TIMED || baseline.timed < MIN_TIMED) return undefined;
  const relativeServiceTime =
    getMeanServiceTimeRatio(target) / getMeanServiceTimeRatio(baseline);
  if (relativeServiceTime <= BAD_RELATIVE_SERVICE_TIME) return undefined;
  return `Answers take ${relativeServiceTime.toFixed(1)} times as long`;
}

/** Lower bound of the Wilson score interval for `count` out of `total`. */
function computeWilsonLowerBound(count: number, total: number): number {
  const share = count / total;
  const z2 = Z_SCORE ** 2;
  const centre = share + z2 / (2 * total);
  const variance = (share * (1 - share)) / total + z2 / (4 * total ** 2);
  const lowerEnd = centre - Z_SCORE * Math.sqrt(variance);
  return Math.max(0, lowerEnd / (1 + z2 / total));
}
