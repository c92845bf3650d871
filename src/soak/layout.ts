/** The fleet of one seed: its size, places and back ends. */

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
export const FIRST_VERSIONS = ["small-1", "medium-1", "large-1"] as const;
/** Come by roll-outs, each of which needs load orders. */
export const ROLLOUT_VERSIONS = ["small-2", "medium-2", "large-2"] as const;
/** Age of the engines' load reports. */
export const LOAD_LAG_MS = 300;
export const HOST_LIST_LAG_MS = 500;

const ENGINE = {
  kind: "engine",
  versions: FIRST_VERSIONS,
  slots: 8,
  slotsWhileCold: 2,
  options: {
    coldStartMs: 1_000,
    loadLagMs: LOAD_LAG_MS,
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

/** Two or three data centres with an engine or more each. */
export function createLayout(seed: number): Layout {
  const random = new Random(seed);
  const dataCentres = ["dc1", "dc2", "dc3"].slice(0, random.pickInteger(2, 3));
  const getPlace = (index: number) =>
    dataCentres[index % dataCentres.length] ?? "dc1";
  const createNames = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) => ({
      name: `${prefix}-${index + 1}`,
      dataCentre: getPlace(index),
    }));
  const entries = createNames("entry", random.pickInteger(2, 3));
  const engines = createNames("engine", random.pickInteger(4, 6));
  const services = createNames("service", random.pickInteger(2, 3));
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
