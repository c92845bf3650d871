/** Assumptions at the target scale: 930 model replicas, 6 data centres. */

import type { Assumptions, ReplicaSpec, VersionSpec } from "./assumptions.js";

const MODEL_FAMILY_COUNT = 13;
const REGIONS = ["a", "b"];
const DATA_CENTRES_PER_REGION = 3;
const MODEL_REPLICA_COUNT = 930;
const SERVICE_REPLICA_COUNT = 24;
const REQUESTS_PER_SECOND = 3_600;
const BETWEEN_REGIONS_MS = 30;
const MODEL_SLOTS = 64;
/** Speeds of the replicas, as varied as in the first two deployments. */
const SPEED_FACTORS = [1, 0.5, 1.3, 0.7, 0.9, 1.1];

/**
 * Builds the workload from the classes of the two given ones. Each class is
 * split over the model families, which stand for the models of different
 * accounts. Each family has three versions, 39 in all, and there are two
 * regions.
 */
export function createPeakAssumptions(
  yushan: Assumptions,
  ikenna: Assumptions,
) {
  const dataCentres = REGIONS.flatMap((region) =>
    Array.from(
      { length: DATA_CENTRES_PER_REGION },
      (_, i) => `${region}${i + 1}`,
    ),
  );
  const classes: Assumptions["classes"] = {};
  const versions: Record<string, VersionSpec> = {};
  for (let family = 0; family < MODEL_FAMILY_COUNT; family++) {
    const source = family % 2 === 0 ? yushan : ikenna;
    const sizes = ["small-1", "medium-1", "large-1"];
    const versionNames = sizes.map((size) => `f${family}-${size}`);
    for (const [i, size] of sizes.entries()) {
      const versionSpec = source.versions[size];
      if (versionSpec === undefined) continue;
      const shares = Object.entries(versionSpec.acceptableShare);
      const acceptableShare = Object.fromEntries(
        shares.map(([className, share]) => [`${className}-${family}`, share]),
      );
      versions[versionNames[i] ?? ""] = { ...versionSpec, acceptableShare };
    }
    for (const [className, classSpec] of Object.entries(source.classes)) {
      const share = classSpec.share / MODEL_FAMILY_COUNT;
      if (classSpec.kind === "model") {
        classes[`${className}-${family}`] = {
          ...classSpec,
          share,
          versions: versionNames,
        };
      } else {
        const shareBefore = classes[className]?.share ?? 0;
        classes[className] = { ...classSpec, share: shareBefore + share };
      }
    }
  }
  const createPlacement = (i: number) => ({
    count: 1,
    dataCentre: dataCentres[i % dataCentres.length] ?? "",
    speedFactor: SPEED_FACTORS[i % SPEED_FACTORS.length] ?? 1,
  });
  const modelReplicas = Array.from(
    { length: MODEL_REPLICA_COUNT },
    (_, i): ReplicaSpec => {
      const family = Math.floor(i / dataCentres.length) % MODEL_FAMILY_COUNT;
      const size = ["large-1", "medium-1", "small-1"][i % 3] ?? "";
      const versions = [`f${family}-${size}`];
      const coldStart = { coldStartMs: 20_000, slotsWhileCold: 1 };
      return {
        ...createPlacement(i),
        slots: MODEL_SLOTS,
        versions,
        ...coldStart,
      };
    },
  );
  const serviceReplicas = Array.from(
    { length: SERVICE_REPLICA_COUNT },
    (_, i): ReplicaSpec => {
      const coldStart = { coldStartMs: 2_000, slotsWhileCold: 2 };
      return { ...createPlacement(i), slots: 32, versions: [], ...coldStart };
    },
  );
  return {
    ...yushan,
    name: "peak",
    dataCentres,
    latencyMs: { ...yushan.latencyMs, betweenDataCentres: 1 },
    betweenRegionsMs: BETWEEN_REGIONS_MS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    offeredLoadOfCapacity: 1,
    classes,
    versions,
    modelReplicas,
    serviceReplicas,
    serviceTimeMs: { ...yushan.serviceTimeMs, ...ikenna.serviceTimeMs },
    events: [],
  } satisfies Assumptions;
}
