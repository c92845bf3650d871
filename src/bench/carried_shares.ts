/**
 * Computes which share of the requests the rest of the fleet could serve in
 * time while a data centre is out.
 */

import {
  type Assumptions,
  assignMix,
  LENGTH_SIGMA,
  listReplicas,
  listVersionsMeetingTarget,
} from "./assumptions.js";

/** Grid on which the standard normal distribution of a length is sampled. */
const GRID_LIMIT_SIGMAS = 5;
const GRID_STEP_SIGMAS = 0.05;

/** Samples of a log-normal length, relative to its mean, with weights. */
function listLengthPoints(): { factor: number; weight: number }[] {
  const count = Math.round((2 * GRID_LIMIT_SIGMAS) / GRID_STEP_SIGMAS) + 1;
  const points = Array.from({ length: count }, (_, i) => {
    const z = -GRID_LIMIT_SIGMAS + i * GRID_STEP_SIGMAS;
    const factor = Math.exp(LENGTH_SIGMA * z - LENGTH_SIGMA ** 2 / 2);
    return { factor, weight: Math.exp(-(z ** 2) / 2) };
  });
  const totalWeight = points.reduce((sum, { weight }) => sum + weight, 0);
  return points.map(({ factor, weight }) => ({
    factor,
    weight: weight / totalWeight,
  }));
}

/**
 * Share of a class's requests that can end before the deadline on an idle
 * endpoint outside the data centre. Of the versions that meet the class's
 * quality target, the one with the largest share counts.
 */
export function computeInTimeShare(
  assumptions: Assumptions,
  className: string,
  outDataCentre: string,
): number {
  const classSpec = assumptions.classes[className];
  if (classSpec === undefined) return 0;
  if (classSpec.kind === "service") return 1;
  const points = listLengthPoints();
  const workLimitMs =
    classSpec.deadlineMs - 2 * assumptions.latencyMs.toClients;
  let largestShare = 0;
  for (const version of listVersionsMeetingTarget(assumptions, className)) {
    const versionSpec = assumptions.versions[version];
    const speedFactor = listReplicas(assumptions, outDataCentre)
      .filter((replica) => replica.versions.includes(version))
      .reduce((max, replica) => Math.max(max, replica.speedFactor), 0);
    if (versionSpec === undefined || speedFactor === 0) continue;
    const { prefillTokensPerSecond, decodeTokensPerSecondPerSlot } =
      versionSpec;
    const prefillMs = (classSpec.promptTokens / prefillTokensPerSecond) * 1000;
    const decodeMs =
      (classSpec.outputTokens / decodeTokensPerSecondPerSlot) * 1000;
    let share = 0;
    for (const prompt of points) {
      for (const output of points) {
        const workMs = prefillMs * prompt.factor + decodeMs * output.factor;
        if (workMs / speedFactor > workLimitMs) continue;
        share += prompt.weight * output.weight;
      }
    }
    largestShare = Math.max(largestShare, share);
  }
  return largestShare;
}

/**
 * Share of each class's arrivals that the rest of the fleet could carry, as
 * the mean over the class's chunks of the request mix. A replica with a load
 * above one carries only the inverse of its load of each chunk. A chunk that
 * no replica could serve in time when full is limited by its lengths alone.
 */
export function computeCarriedShares(
  assumptions: Assumptions,
  outDataCentre: string,
  requestsPerSecond: number,
): Map<string, number> {
  const { replicaLoads, chunks } = assignMix(assumptions, outDataCentre);
  return new Map(
    Object.keys(assumptions.classes).map((className) => {
      const classChunks = chunks.filter(
        (chunk) => chunk.className === className,
      );
      const carriedChunks = classChunks.reduce((sum, { replicaIndex }) => {
        const replicaLoad =
          (replicaLoads[replicaIndex] ?? 0) * requestsPerSecond;
        return sum + Math.min(1, 1 / replicaLoad);
      }, 0);
      const inTimeShare = computeInTimeShare(
        assumptions,
        className,
        outDataCentre,
      );
      return [className, (carriedChunks / classChunks.length) * inTimeShare];
    }),
  );
}
