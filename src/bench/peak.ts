/** The target scale: 930 replicas, 39 versions, 2 regions, 6 data centres. */

import type { Assumptions, ReplicaSpec, VersionSpec } from "./workload.js";

const FAMILIES = 13;
const REGIONS = ["a", "b"];
const DATA_CENTRES_PER_REGION = 3;
const REPLICAS = 930;
const SERVICE_REPLICAS = 24;
const REQUESTS_PER_SECOND = 3_600;
const REGION_LATENCY_MS = 30;
const SLOTS = 64;
/** Speeds of replicas, as mixed as in the first two deployments. */
const SPEEDS = [1, 0.5, 1.3, 0.7, 0.9, 1.1];

/**
 * Builds the workload from the classes of the given ones. Each class is split
 * over the families, which stand for the models of different accounts.
 */
export function createPeak(yushan: Assumptions, ikenna: Assumptions) {
  const dataCentres = REGIONS.flatMap((region) =>
    Array.from(
      { length: DATA_CENTRES_PER_REGION },
      (_, i) => `${region}${i + 1}`,
    ),
  );
  const classes: Assumptions["classes"] = {};
  const versions: Record<string, VersionSpec> = {};
  for (let family = 0; family < FAMILIES; family++) {
    const source = family % 2 === 0 ? yushan : ikenna;
    const sizes = ["small-1", "medium-1", "large-1"];
    const names = sizes.map((size) => `f${family}-${size}`);
    for (const [i, size] of sizes.entries()) {
      const spec = source.versions[size];
      if (spec === undefined) continue;
      const shares = Object.entries(spec.acceptableShare);
      const acceptableShare = Object.fromEntries(
        shares.map(([name, share]) => [`${name}-${family}`, share]),
      );
      versions[names[i] ?? ""] = { ...spec, acceptableShare };
    }
    for (const [name, spec] of Object.entries(source.classes)) {
      const share = spec.share / FAMILIES;
      if (spec.kind === "model") {
        classes[`${name}-${family}`] = { ...spec, share, versions: names };
      } else {
        const before = classes[name]?.share ?? 0;
        classes[name] = { ...spec, share: before + share };
      }
    }
  }
  const place = (i: number) => ({
    count: 1,
    dataCentre: dataCentres[i % dataCentres.length] ?? "",
    speedFactor: SPEEDS[i % SPEEDS.length] ?? 1,
  });
  const modelReplicas = Array.from(
    { length: REPLICAS },
    (_, i): ReplicaSpec => {
      const family = Math.floor(i / dataCentres.length) % FAMILIES;
      const size = ["large-1", "medium-1", "small-1"][i % 3] ?? "";
      const versions = [`f${family}-${size}`];
      const cold = { coldStartMs: 20_000, slotsWhileCold: 1 };
      return { ...place(i), slots: SLOTS, versions, ...cold };
    },
  );
  const serviceReplicas = Array.from(
    { length: SERVICE_REPLICAS },
    (_, i): ReplicaSpec => {
      const cold = { coldStartMs: 2_000, slotsWhileCold: 2 };
      return { ...place(i), slots: 32, versions: [], ...cold };
    },
  );
  return {
    ...yushan,
    name: "peak",
    dataCentres,
    latencyMs: { ...yushan.latencyMs, betweenDataCentres: 1 },
    betweenRegionsMs: REGION_LATENCY_MS,
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
