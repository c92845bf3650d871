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
} from "./rollout_evidence.js";

/** Fewer failures of the target may be chance. */
const MIN_FAILURES = 6;
const MIN_ROUTE_FAILURES = 5;
/** Failure share that is a fault if the baseline has no failures. */
const BAD_FAILURE_SHARE = 0.2;
const BAD_ROUTE_FAILURE_SHARE = 0.3;
/** A fault is a failure share above this many times the baseline's. */
const BAD_FAILURE_RATIO = 2;
/** Share of a version's endpoints whose failures may be the hosts' fault. */
const IGNORED_ENDPOINTS_SHARE = 0.2;
/** Failure share that is tolerated on top of the baseline's. */
const TOLERATED_FAILURE_SHARE = 0.02;
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

/** Why the target is bad; undefined while no fault is found. */
export function findFault(rollout: JudgedRollout): string | undefined {
  const { evidence } = rollout;
  const target = evidence.sumAllRoutes(true);
  const baseline = evidence.sumAllRoutes(false);
  const { failures, answers } = target;
  const hasEnoughFailures = failures >= MIN_FAILURES;
  if (
    hasEnoughFailures &&
    isBadShare(target, getFailureShare(baseline), BAD_FAILURE_SHARE)
  ) {
    return `${failures} of ${answers} answers failed`;
  }
  const widespreadFault = findWidespreadFault(
    rollout,
    "failures",
    getFailureShare(baseline),
  );
  if (widespreadFault !== undefined) return widespreadFault;
  const rejectionFault = findRejectionFault(rollout);
  if (rejectionFault !== undefined) return rejectionFault;
  const baselineByRoute = evidence.sumByRoute(false);
  for (const [route, totals] of evidence.sumByRoute(true)) {
    const baselineTotals = baselineByRoute.get(route);
    const baselineShare =
      baselineTotals === undefined ? 0 : getFailureShare(baselineTotals);
    if (totals.failures < MIN_ROUTE_FAILURES) continue;
    if (!isBadShare(totals, baselineShare, BAD_ROUTE_FAILURE_SHARE)) continue;
    return `${totals.failures} of ${totals.answers} answers on ${route} failed`;
  }
  if (target.timed < MIN_TIMED || baseline.timed < MIN_TIMED) return undefined;
  const relativeServiceTime =
    getMeanServiceTimeRatio(target) / getMeanServiceTimeRatio(baseline);
  if (relativeServiceTime <= BAD_RELATIVE_SERVICE_TIME) return undefined;
  return `Answers take ${relativeServiceTime.toFixed(1)} times as long`;
}

/**
 * Finds requests that the target rejects and the baseline would not. Wrong
 * requests of callers reach both, but each route gets a share of them that only
 * the baseline's answers on that route tell. Without any, none is a fault.
 */
function findRejectionFault(rollout: JudgedRollout): string | undefined {
  const { evidence } = rollout;
  const baselineByRoute = evidence.sumByRoute(false);
  let expected = 0;
  for (const [route, totals] of evidence.sumByRoute(true)) {
    const { rejections, answers } = totals;
    const baselineShare = estimateRejectionShare(baselineByRoute.get(route));
    expected += baselineShare * answers;
    const isBad =
      rejections >= MIN_ROUTE_FAILURES &&
      isBadShare(
        { failures: rejections, answers },
        baselineShare,
        BAD_ROUTE_FAILURE_SHARE,
      );
    if (isBad)
      return `${rejections} of ${answers} answers on ${route} rejected the request`;
  }
  const { rejections, answers } = evidence.sumAllRoutes(true);
  if (rejections < MIN_FAILURES) return undefined;
  const baselineShare = expected / answers;
  const target = { failures: rejections, answers };
  if (isBadShare(target, baselineShare, BAD_FAILURE_SHARE))
    return `${rejections} of ${answers} answers rejected the request`;
  return findWidespreadFault(rollout, "rejections", baselineShare);
}

/** True when the failure share reaches `minShare` and is well above usual. */
function isBadShare(
  totals: Pick<AnswerTotals, "failures" | "answers">,
  baselineShare: number,
  minShare: number,
): boolean {
  if (getFailureShare(totals) < minShare) return false;
  const lowerBound = computeWilsonLowerBound(totals.failures, totals.answers);
  return lowerBound > BAD_FAILURE_RATIO * baselineShare;
}

/**
 * Finds a small share of failures or rejections that is spread over the
 * endpoints. The endpoints with the most are ignored: their hosts may be faulty.
 */
function findWidespreadFault(
  { evidence, targetEndpointCount }: JudgedRollout,
  kind: "failures" | "rejections",
  baselineShare: number,
): string | undefined {
  const ignoredEndpointCount = Math.floor(
    IGNORED_ENDPOINTS_SHARE * targetEndpointCount,
  );
  const failures = evidence
    .listEndpointCounts(kind)
    .slice(ignoredEndpointCount)
    .reduce((sum, count) => sum + count, 0);
  if (failures < MIN_FAILURES) return undefined;
  const countedShare =
    1 - ignoredEndpointCount / Math.max(1, targetEndpointCount);
  const answers = Math.max(
    failures,
    evidence.sumAllRoutes(true).answers * countedShare,
  );
  const lowerBound = computeWilsonLowerBound(failures, answers);
  if (lowerBound <= BAD_FAILURE_RATIO * baselineShare + TOLERATED_FAILURE_SHARE)
    return undefined;
  return `${failures} ${kind} in ${Math.round(answers)} answers of many endpoints`;
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
