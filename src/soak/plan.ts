/** The seeded schedule of faults. */

import type { Layout } from "./layout.js";
import { FIRST_VERSIONS } from "./layout.js";
import { Random } from "./random.js";

type CutMode = "hold" | "reset";

/** What operators forbid while an entry can't learn of it. */
export type StaleChange =
  | "drain"
  | "endpoint-out"
  | "withdrawal"
  | "permission";

export type FaultAction =
  | { readonly kind: "kill" | "stop"; readonly member: string }
  | { readonly kind: "freeze"; readonly member: string }
  | {
      readonly kind: "cut-link";
      readonly viewer: string;
      readonly target: string;
      readonly mode: CutMode;
      readonly direction: "both" | "requests" | "replies";
    }
  | {
      readonly kind: "slow-link";
      readonly viewer: string;
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
      readonly change: StaleChange;
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
  readonly forMs: number;
  readonly action: FaultAction;
}

interface KindSpec {
  readonly kind: FaultKind;
  readonly weight: number;
  readonly minMs: number;
  readonly maxMs: number;
}

/**
 * Freezes are longer than the freshness bound of 8 s, and some are longer than
 * a lease of 15 s. Leaving lasts longer than the 11 s that it may take.
 */
const KINDS: readonly KindSpec[] = [
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

export interface PlanOptions {
  readonly seed: number;
  readonly lengthMs: number;
  /** Mean time between two faults. */
  readonly meanGapMs: number;
  /** All kinds when absent. */
  readonly kinds?: readonly FaultKind[];
}

const STALE_CHANGES = [
  "drain",
  "endpoint-out",
  "withdrawal",
  "permission",
] as const;
/** A kind this long fits only at the start of a run. */
const LONG_MS = 30_000;

/** A stream of its own, so that the layout's draws don't shift the plan. */
const PLAN_STREAM = 1_000_003;

class Planner {
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
        // An endpoint shows whether it gets new work; an entry leaves too.
        const isEndpoint = random.chance(0.8);
        const member = random.pick(endpoints).name;
        return { kind, member: isEndpoint ? member : this.#pickMember() };
      }
      case "cut-link":
        return {
          kind,
          viewer: random.pick(dataCentres),
          target: this.#pickTarget(),
          mode: random.pick(["hold", "reset"]),
          direction: random.pick(["both", "both", "requests", "replies"]),
        };
      case "slow-link": {
        const viewer = random.pick(dataCentres);
        const delayMs = random.pickInteger(30, 800);
        return { kind, viewer, target: this.#pickTarget(), delayMs };
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
        return { kind, version: random.pick(FIRST_VERSIONS) };
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
        const change = random.pick(STALE_CHANGES);
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
    const list = this.#random.chance(0.4) ? entries : endpoints;
    return this.#random.pick<{ readonly name: string }>(list).name;
  }

  #pickTarget(): string {
    return this.#random.chance(0.25) ? "store" : this.#pickMember();
  }
}

/** Every kind comes once before any comes by chance. */
export function createPlan(
  layout: Layout,
  options: PlanOptions,
): PlannedFault[] {
  const { seed, lengthMs, meanGapMs, kinds } = options;
  const specs = KINDS.filter((spec) => kinds?.includes(spec.kind) ?? true);
  const random = new Random(seed + PLAN_STREAM);
  const planner = new Planner(layout, random);
  const isLong = (spec: KindSpec) => Number(spec.minMs >= LONG_MS);
  const first = random.shuffle(specs).sort((a, b) => isLong(b) - isLong(a));
  const faults: PlannedFault[] = [];
  let atMs = meanGapMs;
  while (atMs < lengthMs) {
    const leftMs = lengthMs - atMs;
    const fitting = specs.filter((spec) => spec.minMs <= leftMs);
    if (fitting.length === 0) break;
    const next = first.findIndex((spec) => spec.minMs <= leftMs);
    const [due] = next < 0 ? [] : first.splice(next, 1);
    const spec = due ?? random.chooseWeighted(fitting);
    faults.push({
      atMs,
      forMs: random.pickInteger(spec.minMs, Math.min(spec.maxMs, leftMs)),
      action: planner.createAction(spec.kind),
    });
    atMs += -Math.log(1 - random.next()) * meanGapMs;
  }
  return faults;
}
