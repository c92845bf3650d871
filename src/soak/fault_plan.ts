/** The seeded schedule of faults. */

import type { Layout } from "./layout.js";
import { INITIAL_VERSIONS } from "./layout.js";
import { Random } from "./random.js";

type CutMode = "hold" | "reset";

/** What a ticket forbids while an entry is kept from learning of it. */
export type UnseenChange =
  | "drain"
  | "endpoint-out"
  | "withdrawal"
  | "permission";

export type FaultAction =
  | { readonly kind: "kill" | "stop"; readonly member: string }
  | { readonly kind: "freeze"; readonly member: string }
  | {
      readonly kind: "cut-link";
      readonly fromDataCentre: string;
      readonly target: string;
      readonly mode: CutMode;
      readonly direction: "both" | "requests" | "replies";
    }
  | {
      readonly kind: "slow-link";
      readonly fromDataCentre: string;
      readonly target: string;
      readonly delayMs: number;
    }
  | {
      readonly kind: "cut-data-centre";
      readonly dataCentre: string;
      readonly mode: CutMode;
    }
  | { readonly kind: "store-down"; readonly outage: string }
  | { readonly kind: "store-slow"; readonly delayMs: number }
  | { readonly kind: "store-loses-replies"; readonly share: number }
  | { readonly kind: "engine-cold"; readonly endpoint: string }
  | { readonly kind: "back-end-frozen"; readonly endpoint: string }
  | { readonly kind: "service-loses-replies"; readonly endpoint: string }
  | { readonly kind: "version-bad"; readonly version: string }
  | { readonly kind: "ratings-down" }
  | { readonly kind: "leaving"; readonly member: string }
  | { readonly kind: "burst"; readonly factor: number }
  | {
      readonly kind: "stale-entry";
      readonly member: string;
      readonly endpoint: string;
      readonly change: UnseenChange;
    }
  | { readonly kind: "kill-behind-cut"; readonly member: string }
  | { readonly kind: "take-over"; readonly member: string }
  | {
      readonly kind: "seal-live-owner";
      readonly member: string;
      readonly endpoint: string;
    };

export type FaultKind = FaultAction["kind"];

export interface PlannedFault {
  readonly atMs: number;
  /** How long it lasts, or how long the process stays down. */
  readonly durationMs: number;
  readonly action: FaultAction;
}

interface FaultKindSpec {
  readonly kind: FaultKind;
  readonly weight: number;
  readonly minMs: number;
  readonly maxMs: number;
}

/**
 * Freezes are longer than the freshness bound of 8 s, and some are longer than
 * a lease of 15 s. Leaving lasts longer than the 11 s in which the fleet must
 * react to it.
 */
const FAULT_KIND_SPECS: readonly FaultKindSpec[] = [
  { kind: "kill", weight: 5, minMs: 100, maxMs: 5_000 },
  { kind: "stop", weight: 4, minMs: 100, maxMs: 2_000 },
  { kind: "freeze", weight: 4, minMs: 8_500, maxMs: 18_000 },
  { kind: "cut-link", weight: 4, minMs: 500, maxMs: 14_000 },
  { kind: "slow-link", weight: 3, minMs: 2_000, maxMs: 8_000 },
  { kind: "cut-data-centre", weight: 2, minMs: 2_000, maxMs: 14_000 },
  { kind: "store-down", weight: 2, minMs: 2_000, maxMs: 15_000 },
  { kind: "store-slow", weight: 1, minMs: 2_000, maxMs: 8_000 },
  { kind: "store-loses-replies", weight: 2, minMs: 2_000, maxMs: 10_000 },
  { kind: "engine-cold", weight: 4, minMs: 2_000, maxMs: 6_000 },
  { kind: "back-end-frozen", weight: 3, minMs: 1_000, maxMs: 6_000 },
  { kind: "service-loses-replies", weight: 1, minMs: 1_000, maxMs: 4_000 },
  { kind: "version-bad", weight: 2, minMs: 4_000, maxMs: 10_000 },
  { kind: "ratings-down", weight: 1, minMs: 2_000, maxMs: 8_000 },
  { kind: "leaving", weight: 2, minMs: 13_000, maxMs: 18_000 },
  { kind: "burst", weight: 2, minMs: 1_000, maxMs: 4_000 },
  { kind: "stale-entry", weight: 2, minMs: 18_000, maxMs: 24_000 },
  { kind: "kill-behind-cut", weight: 2, minMs: 500, maxMs: 4_000 },
  { kind: "take-over", weight: 1, minMs: 20_000, maxMs: 24_000 },
  { kind: "seal-live-owner", weight: 1, minMs: 38_000, maxMs: 44_000 },
];

export interface FaultPlanOptions {
  readonly seed: number;
  /** Time that the plan covers. */
  readonly planMs: number;
  /** Mean time between two faults. */
  readonly meanGapMs: number;
  /** All kinds when absent. */
  readonly kinds?: readonly FaultKind[];
}

const UNSEEN_CHANGES = [
  "drain",
  "endpoint-out",
  "withdrawal",
  "permission",
] as const;
/** A fault of this length fits only at the start of a run. */
const LONG_FAULT_MS = 30_000;

/** Makes the plan independent of how many choices the layout draws. */
const PLAN_SEED_OFFSET = 1_000_003;

class FaultPlanner {
  readonly #layout: Layout;
  readonly #random: Random;

  constructor(layout: Layout, random: Random) {
    this.#layout = layout;
    this.#random = random;
  }

  createAction(kind: FaultKind): FaultAction {
    const random = this.#random;
    const { dataCentres, endpoints } = this.#layout;
    switch (kind) {
      case "kill":
      case "stop":
      case "freeze":
        return { kind, member: this.#pickMember() };
      case "leaving": {
        // Mostly endpoints, whose records show new work; sometimes an entry.
        const isEndpoint = random.chance(0.8);
        const member = random.pick(endpoints).name;
        return { kind, member: isEndpoint ? member : this.#pickMember() };
      }
      case "cut-link":
        return {
          kind,
          fromDataCentre: random.pick(dataCentres),
          target: this.#pickLinkTarget(),
          mode: random.pick(["hold", "reset"]),
          direction: random.pick(["both", "both", "requests", "replies"]),
        };
      case "slow-link": {
        const fromDataCentre = random.pick(dataCentres);
        const delayMs = random.pickInteger(30, 800);
        return {
          kind,
          fromDataCentre,
          target: this.#pickLinkTarget(),
          delayMs,
        };
      }
      case "cut-data-centre": {
        const mode = random.pick(["hold", "reset"] as const);
        return { kind, dataCentre: random.pick(dataCentres), mode };
      }
      case "store-down":
        return { kind, outage: random.pick(["refuse", "reset", "hang"]) };
      case "store-slow":
        return { kind, delayMs: random.pickInteger(200, 2_600) };
      case "store-loses-replies":
        return { kind, share: 0.05 + 0.4 * random.next() };
      case "engine-cold": {
        const engines = endpoints.filter((item) => item.kind === "engine");
        return { kind, endpoint: random.pick(engines).name };
      }
      case "back-end-frozen":
        return { kind, endpoint: random.pick(endpoints).name };
      case "service-loses-replies": {
        const services = endpoints.filter((item) => item.kind === "service");
        return { kind, endpoint: random.pick(services).name };
      }
      case "version-bad":
        return { kind, version: random.pick(INITIAL_VERSIONS) };
      case "ratings-down":
        return { kind };
      case "burst":
        return { kind, factor: random.pickInteger(2, 5) };
      case "stale-entry": {
        const entry = random.pick(this.#layout.entries);
        const engines = endpoints.filter(
          (item) =>
            item.kind === "engine" && item.dataCentre !== entry.dataCentre,
        );
        const endpoint = random.pick(engines).name;
        const change = random.pick(UNSEEN_CHANGES);
        return { kind, member: entry.name, endpoint, change };
      }
      case "take-over": {
        const engines = endpoints.filter((item) => item.kind === "engine");
        return { kind, member: random.pick(engines).name };
      }
      case "kill-behind-cut":
        return { kind, member: random.pick(this.#layout.entries).name };
      case "seal-live-owner": {
        const member = random.pick(this.#layout.entries).name;
        return { kind, member, endpoint: random.pick(endpoints).name };
      }
    }
  }

  #pickMember(): string {
    const { entries, endpoints } = this.#layout;
    const members = this.#random.chance(0.4) ? entries : endpoints;
    return this.#random.pick<{ readonly name: string }>(members).name;
  }

  #pickLinkTarget(): string {
    return this.#random.chance(0.25) ? "store" : this.#pickMember();
  }
}

/** Plans every kind once before it draws further ones by weight. */
export function createFaultPlan(
  layout: Layout,
  options: FaultPlanOptions,
): PlannedFault[] {
  const { seed, planMs, meanGapMs, kinds } = options;
  const specs = FAULT_KIND_SPECS.filter(
    (spec) => kinds?.includes(spec.kind) ?? true,
  );
  const random = new Random(seed + PLAN_SEED_OFFSET);
  const planner = new FaultPlanner(layout, random);
  const isLong = (spec: FaultKindSpec) => Number(spec.minMs >= LONG_FAULT_MS);
  const oncePerKind = random
    .shuffle(specs)
    .sort((a, b) => isLong(b) - isLong(a));
  const faults: PlannedFault[] = [];
  let atMs = meanGapMs;
  while (atMs < planMs) {
    const remainingMs = planMs - atMs;
    const fitting = specs.filter((spec) => spec.minMs <= remainingMs);
    if (fitting.length === 0) break;
    const index = oncePerKind.findIndex((spec) => spec.minMs <= remainingMs);
    const [firstOfKind] = index < 0 ? [] : oncePerKind.splice(index, 1);
    const spec = firstOfKind ?? random.chooseWeighted(fitting);
    faults.push({
      atMs,
      durationMs: random.pickInteger(
        spec.minMs,
        Math.min(spec.maxMs, remainingMs),
      ),
      action: planner.createAction(spec.kind),
    });
    atMs += -Math.log(1 - random.next()) * meanGapMs;
  }
  return faults;
}
