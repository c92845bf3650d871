/** Assumptions of a workload, their capacity and their seeded arrivals. */

import { readFileSync } from "node:fs";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Priority } from "../schema/index.js";

export interface ClassSpec {
  share: number;
  kind: "model" | "service";
  promptTokens: number;
  outputTokens: number;
  deadlineMs: number;
  priority: Priority;
  qualityTarget: number | null;
  idempotent: boolean;
  /** Versions that serve the class; all when absent. */
  versions?: string[];
}

export interface VersionSpec {
  costPerKiloToken: number;
  prefillTokensPerSecond: number;
  decodeTokensPerSecondPerSlot: number;
  /** Share of acceptable answers, by class. */
  acceptableShare: Record<string, number>;
}

export interface ReplicaSpec {
  count: number;
  dataCentre: string;
  speedFactor: number;
  slots: number;
  versions: string[];
  coldStartMs: number;
  slotsWhileCold: number;
}

/** A change during the run; which optional fields count is up to its kind. */
export interface BenchEvent {
  atMs: number;
  kind: string;
  version?: string;
  dataCentre?: string;
  fromShare?: number;
  toShare?: number;
  overMs?: number;
  acceptableShareFactor?: number;
  factor?: number;
}

export interface Assumptions {
  name: string;
  seconds: number;
  dataCentres: string[];
  /** Latency of data centres whose names differ in the first letter. */
  betweenRegionsMs?: number;
  latencyMs: { betweenDataCentres: number; toClients: number };
  accounts: { count: number; zipfExponent: number };
  offeredLoadOfCapacity: number;
  /** Fixed arrival rate in place of a share of the capacity. */
  requestsPerSecond?: number;
  classes: Record<string, ClassSpec>;
  versions: Record<string, VersionSpec>;
  modelReplicas: ReplicaSpec[];
  serviceReplicas: ReplicaSpec[];
  serviceTimeMs: Record<string, number>;
  events: BenchEvent[];
  judge: {
    latencyMs: number;
    costPerCall: number;
    sensitivity: number;
    specificity: number;
  };
  ratings: { shareRated: number; lagMs: number; lostShare: number };
  loadReportLagMs: number;
  arrivals: { burstFactor: number; burstMeanMs: number; burstShare: number };
}

export interface Arrival {
  id: string;
  atMs: number;
  account: string;
  className: string;
  classSpec: ClassSpec;
  promptTokens: number;
  outputTokens: number;
  /** Service time relative to the mean; services only. */
  serviceTimeFactor: number;
  /**
   * A version's answer is acceptable when this is below its share. Policies
   * don't see it.
   */
  difficulty: number;
}

/** Standard deviation of the logarithm of token counts and service times. */
export const LENGTH_SIGMA = 0.5;
/** Decode speed per slot with all slots in use, relative to only one. */
export const FULL_LOAD_DECODE_SPEED = 0.6;
/** Equal parts of a class's requests, each assigned to one replica. */
const CHUNKS_PER_CLASS = 100;
/** Times that each chunk may move to a better replica. */
const ASSIGNMENT_ROUNDS = 30;

export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

export function loadAssumptions(file: string): Assumptions {
  return JSON.parse(readFileSync(file, "utf8")) as Assumptions;
}

/** Versions that serve the class. */
export function listClassVersions(
  workload: Assumptions,
  name: string,
): string[] {
  return workload.classes[name]?.versions ?? Object.keys(workload.versions);
}

/** Versions without a roll-out that meet the class's target, by cost. */
export function listVersionsMeetingTarget(
  assumptions: Assumptions,
  className: string,
): string[] {
  const rollouts = assumptions.events.flatMap((event) =>
    event.kind === "rollout" && event.version !== undefined
      ? [event.version]
      : [],
  );
  return listClassVersions(assumptions, className)
    .filter((version) => !rollouts.includes(version))
    .filter(
      (version) =>
        (assumptions.versions[version]?.acceptableShare[className] ?? 0) >=
        (assumptions.classes[className]?.qualityTarget ?? 0),
    )
    .toSorted(
      (x, y) =>
        (assumptions.versions[x]?.costPerKiloToken ?? 0) -
        (assumptions.versions[y]?.costPerKiloToken ?? 0),
    );
}

/** Cheapest version without a roll-out that meets the class's target. */
export function findCheapestVersionMeetingTarget(
  assumptions: Assumptions,
  className: string,
): string {
  return listVersionsMeetingTarget(assumptions, className)[0] ?? "";
}

/** Load of a replica by one request per second of the class; 1 is full. */
function computeReplicaLoad(
  assumptions: Assumptions,
  className: string,
  replica: ReplicaSpec,
): number {
  const classSpec = assumptions.classes[className];
  if (classSpec === undefined) return Number.POSITIVE_INFINITY;
  if ((classSpec.kind === "service") !== (replica.versions.length === 0)) {
    return Number.POSITIVE_INFINITY;
  }
  if (classSpec.kind === "service") {
    return (assumptions.serviceTimeMs[className] ?? 0) / 1000 / replica.slots;
  }
  const version = findCheapestVersionMeetingTarget(assumptions, className);
  const versionSpec = assumptions.versions[version];
  if (versionSpec === undefined || !replica.versions.includes(version)) {
    return Number.POSITIVE_INFINITY;
  }
  const prefillSeconds =
    classSpec.promptTokens / versionSpec.prefillTokensPerSecond;
  const decodeSeconds =
    classSpec.outputTokens /
    versionSpec.decodeTokensPerSecondPerSlot /
    FULL_LOAD_DECODE_SPEED;
  const serviceSeconds = (prefillSeconds + decodeSeconds) / replica.speedFactor;
  // A replica too slow for the deadline carries no work of the class.
  if (serviceSeconds * 1000 > classSpec.deadlineMs)
    return Number.POSITIVE_INFINITY;
  return Math.max(
    serviceSeconds / replica.slots,
    prefillSeconds / replica.speedFactor,
  );
}

/** Lists each replica outside the data centre on its own. */
export function listReplicas(
  assumptions: Assumptions,
  outDataCentre = "",
): ReplicaSpec[] {
  return [...assumptions.modelReplicas, ...assumptions.serviceReplicas]
    .filter((replica) => replica.dataCentre !== outDataCentre)
    .flatMap((replica) => Array<ReplicaSpec>(replica.count).fill(replica));
}

/** Largest requests per second of the mix that overload no replica. */
export function computeCapacity(
  assumptions: Assumptions,
  outDataCentre = "",
): number {
  return 1 / Math.max(...assignMix(assumptions, outDataCentre).replicaLoads);
}

/**
 * Spreads the request mix over the replicas. Returns the load of each replica
 * at one request per second of the mix and the replica of each class's chunks
 * (-1 for none). In each round, each chunk moves to the replica whose load is
 * lowest with it; the rounds even out the loads.
 */
export function assignMix(assumptions: Assumptions, outDataCentre = "") {
  const replicas = listReplicas(assumptions, outDataCentre);
  const replicaLoads = replicas.map(() => 0);
  const chunks = Object.entries(assumptions.classes).flatMap(
    ([className, classSpec]) => {
      const addedLoads = replicas.map(
        (replica) =>
          (computeReplicaLoad(assumptions, className, replica) *
            classSpec.share) /
          CHUNKS_PER_CLASS,
      );
      return Array.from({ length: CHUNKS_PER_CLASS }, () => ({
        className,
        addedLoads,
        replicaIndex: -1,
      }));
    },
  );
  const addChunkLoad = (
    chunk: { addedLoads: number[]; replicaIndex: number },
    sign: number,
  ) => {
    replicaLoads[chunk.replicaIndex] =
      (replicaLoads[chunk.replicaIndex] ?? 0) +
      sign * (chunk.addedLoads[chunk.replicaIndex] ?? 0);
  };
  for (let round = 0; round < ASSIGNMENT_ROUNDS; round++) {
    for (const chunk of chunks) {
      if (chunk.replicaIndex >= 0) addChunkLoad(chunk, -1);
      chunk.replicaIndex = -1;
      let lowestLoad = Number.POSITIVE_INFINITY;
      for (const [i, addedLoad] of chunk.addedLoads.entries()) {
        if ((replicaLoads[i] ?? 0) + addedLoad >= lowestLoad) continue;
        lowestLoad = (replicaLoads[i] ?? 0) + addedLoad;
        chunk.replicaIndex = i;
      }
      if (chunk.replicaIndex >= 0) addChunkLoad(chunk, 1);
    }
  }
  return { replicaLoads, chunks };
}

function chooseWeighted(weights: readonly number[], draw: number): number {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  let remaining = draw * total;
  const index = weights.findIndex((weight) => {
    remaining -= weight;
    return remaining < 0;
  });
  return index < 0 ? weights.length - 1 : index;
}

/** Poisson arrivals with bursts; a seed gives each policy the same ones. */
export function* createArrivals(
  assumptions: Assumptions,
  options: { seed: number; requestsPerSecond: number },
): Generator<Arrival> {
  const random = createRandom(options.seed);
  const { burstFactor, burstMeanMs, burstShare } = assumptions.arrivals;
  const classNames = Object.keys(assumptions.classes);
  const classShares = Object.values(assumptions.classes).map(
    (classSpec) => classSpec.share,
  );
  const accountWeights = Array.from(
    { length: assumptions.accounts.count },
    (_, i) => (i + 1) ** -assumptions.accounts.zipfExponent,
  );
  const calmRatePerSecond =
    options.requestsPerSecond / (1 - burstShare + burstShare * burstFactor);
  const calmMeanMs = (burstMeanMs * (1 - burstShare)) / burstShare;
  const drawExponential = (mean: number) => -Math.log(1 - random()) * mean;
  const drawLength = (mean: number) => {
    const normal =
      Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    return mean * Math.exp(LENGTH_SIGMA * normal - LENGTH_SIGMA ** 2 / 2);
  };
  let isBurst = false;
  let phaseEndMs = drawExponential(calmMeanMs);
  let atMs = 0;
  for (let number = 0; ; number++) {
    for (;;) {
      const ratePerSecond = isBurst
        ? calmRatePerSecond * burstFactor
        : calmRatePerSecond;
      const nextMs = atMs + drawExponential(1000 / ratePerSecond);
      if (nextMs <= phaseEndMs) {
        atMs = nextMs;
        break;
      }
      atMs = phaseEndMs;
      isBurst = !isBurst;
      phaseEndMs += drawExponential(isBurst ? burstMeanMs : calmMeanMs);
    }
    if (atMs > assumptions.seconds * 1000) return;
    const className = classNames[chooseWeighted(classShares, random())] ?? "";
    const classSpec = assumptions.classes[className];
    if (classSpec === undefined) continue;
    yield {
      id: `r${number}`,
      atMs,
      account: `account-${chooseWeighted(accountWeights, random()) + 1}`,
      className,
      classSpec,
      promptTokens: Math.max(1, Math.round(drawLength(classSpec.promptTokens))),
      outputTokens: Math.max(1, Math.round(drawLength(classSpec.outputTokens))),
      serviceTimeFactor: drawLength(1),
      difficulty: random(),
    };
  }
}
