/** The fleet of one seed: its size, data centres and back ends. */

import type { EndpointSpec, EntrySpec } from "../testbed/fleet.js";
import {
  IKENNA,
  listServices,
  type Workload,
  YUSHAN,
} from "../testbed/workloads.js";
import { Random } from "./random.js";

export interface Layout {
  readonly dataCentres: readonly string[];
  readonly entries: readonly EntrySpec[];
  readonly endpoints: readonly EndpointSpec[];
}

export const WORKLOADS: readonly Workload[] = [YUSHAN, IKENNA];
/** Loaded by every engine from the start. */
export const INITIAL_VERSIONS = ["small-1", "medium-1", "large-1"] as const;
/** Added by roll-outs; engines are then ordered to load them. */
export const ROLLOUT_VERSIONS = ["small-2", "medium-2", "large-2"] as const;
export const ALL_VERSIONS = [...INITIAL_VERSIONS, ...ROLLOUT_VERSIONS] as const;
/** Age of the engines' load reports. */
export const LOAD_REPORT_LAG_MS = 300;
export const HOST_LIST_LAG_MS = 500;

const ENGINE = {
  kind: "engine",
  versions: INITIAL_VERSIONS,
  slots: 8,
  slotsWhileCold: 2,
  options: {
    coldStartMs: 1_000,
    loadLagMs: LOAD_REPORT_LAG_MS,
    loadMs: 1_000,
    tokensPerSecond: 60,
  },
} as const;

const SERVICE = {
  kind: "service",
  services: listServices(WORKLOADS),
  slots: 8,
  slotsWhileCold: 2,
  options: { workMs: 40 },
} as const;

/** Two or three data centres with at least one engine each. */
export function createLayout(seed: number): Layout {
  const random = new Random(seed);
  const dataCentres = ["dc1", "dc2", "dc3"].slice(0, random.pickInteger(2, 3));
  const getDataCentre = (index: number) =>
    dataCentres[index % dataCentres.length] ?? "dc1";
  const createSpecs = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) => ({
      name: `${prefix}-${index + 1}`,
      dataCentre: getDataCentre(index),
    }));
  const entries = createSpecs("entry", random.pickInteger(2, 3));
  const engines = createSpecs("engine", random.pickInteger(4, 6));
  const services = createSpecs("service", random.pickInteger(2, 3));
  return {
    dataCentres,
    entries,
    endpoints: [
      ...engines.map((engine, index) => ({
        ...ENGINE,
        ...engine,
        // Some engines take an order with an old fencing number.
        options: { ...ENGINE.options, honoursFencing: index % 2 === 0 },
      })),
      ...services.map((service) => ({ ...SERVICE, ...service })),
    ],
  };
}
