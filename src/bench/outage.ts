/** What the rest of the fleet could carry while a data centre is out. */

import {
  type Assumptions,
  assignMix,
  LENGTH_SIGMA,
  listMeeting,
  listReplicas,
} from "./workload.js";

/** Grid of the standard normal distribution for each length. */
const GRID_LIMIT = 5;
const GRID_STEP = 0.05;

/** Points and weights of a log-normal length relative to its mean. */
function listLengths(): { factor: number; weight: number }[] {
  const count = Math.round((2 * GRID_LIMIT) / GRID_STEP) + 1;
  const lengths = Array.from({ length: count }, (_, i) => {
    const z = -GRID_LIMIT + i * GRID_STEP;
    const factor = Math.exp(LENGTH_SIGMA * z - LENGTH_SIGMA ** 2 / 2);
    return { factor, weight: Math.exp(-(z ** 2) / 2) };
  });
  const total = lengths.reduce((sum, { weight }) => sum + weight, 0);
  return lengths.map(({ factor, weight }) => ({
    factor,
    weight: weight / total,
  }));
}

/**
 * Share of a class's requests that can end in time on an idle endpoint
 * outside the data centre, on any version that meets the class's target.
 */
export function computeInTimeShare(
  a: Assumptions,
  name: string,
  outDataCentre: string,
): number {
  const spec = a.classes[name];
  if (spec === undefined) return 0;
  if (spec.kind === "service") return 1;
  const lengths = listLengths();
  const remainingMs = spec.deadlineMs - 2 * a.latencyMs.toClients;
  let most = 0;
  for (const version of listMeeting(a, name)) {
    const speeds = a.versions[version];
    const speed = listReplicas(a, outDataCentre)
      .filter((replica) => replica.versions.includes(version))
      .reduce((max, replica) => Math.max(max, replica.speedFactor), 0);
    if (speeds === undefined || speed === 0) continue;
    const { prefillTokensPerSecond, decodeTokensPerSecondPerSlot } = speeds;
    const prefillMs = (spec.promptTokens / prefillTokensPerSecond) * 1000;
    const decodeMs = (spec.outputTokens / decodeTokensPerSecondPerSlot) * 1000;
    let share = 0;
    for (const prompt of lengths) {
      for (const output of lengths) {
        const workMs = prefillMs * prompt.factor + decodeMs * output.factor;
        if (workMs / speed > remainingMs) continue;
        share += prompt.weight * output.weight;
      }
    }
    most = Math.max(most, share);
  }
  return most;
}

/**
 * Share of each class's arrivals that the rest could carry: its chunks of the
 * mix, each limited to the inverse of its replica's load where that is above
 * one. A chunk with no replica that is fast enough when full is limited by its
 * lengths alone.
 */
export function computeCarriedShares(
  a: Assumptions,
  outDataCentre: string,
  requestsPerSecond: number,
): Map<string, number> {
  const { load, chunks } = assignMix(a, outDataCentre);
  return new Map(
    Object.keys(a.classes).map((name) => {
      const own = chunks.filter((chunk) => chunk.name === name);
      const carried = own.reduce((sum, { at }) => {
        const replicaLoad = (load[at] ?? 0) * requestsPerSecond;
        return sum + Math.min(1, 1 / replicaLoad);
      }, 0);
      const inTime = computeInTimeShare(a, name, outDataCentre);
      return [name, (carried / own.length) * inTime];
    }),
  );
}
