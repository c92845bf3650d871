/**
 * The endpoints to which one entry keeps status streams. A small fleet is
 * attached whole; in a large one each entry takes a few endpoints of every
 * version, because 930 streams would take nine times the bytes that an entry
 * may spend on control.
 */

import type { FleetState } from "../schema/index.js";
import { sortByRendezvous } from "./canonical.js";

/** Up to this many endpoints an entry attaches to all of them. */
export const MAX_ATTACHED_WHOLE = 64;
const LOCAL_PER_VERSION = 3;
const REMOTE_PER_VERSION = 2;
/** Endpoints without an assignment, such as plain services. */
const LOCAL_UNASSIGNED = 12;
const REMOTE_UNASSIGNED = 8;

/**
 * An entry's share of its control bytes for statuses: ten a second of about
 * 150 bytes each.
 */
const STATUSES_PER_SECOND = 10;
const MIN_STATUS_PERIOD_MS = 1_000;
const MS_PER_SECOND = 1_000;

export interface SubsetEndpoint {
  readonly name: string;
  readonly dataCentre: string;
}

export interface SubsetOptions {
  readonly entry: string;
  readonly dataCentre: string;
  /** Versions that operators assign to endpoints. */
  readonly assignments: FleetState["endpoints"];
}

/** Period of each status stream, so that all together stay in the budget. */
export function computeStatusPeriodMs(attached: number): number {
  const periodMs = (attached / STATUSES_PER_SECOND) * MS_PER_SECOND;
  return Math.max(MIN_STATUS_PERIOD_MS, Math.ceil(periodMs));
}

function groupByVersion(
  endpoints: readonly SubsetEndpoint[],
  assignments: FleetState["endpoints"],
): Map<string, SubsetEndpoint[]> {
  const groups = new Map<string, SubsetEndpoint[]>();
  for (const endpoint of endpoints) {
    const versions = assignments[endpoint.name]?.versions ?? [];
    for (const version of versions.length > 0 ? versions : [""]) {
      const group = groups.get(version) ?? [];
      group.push(endpoint);
      groups.set(version, group);
    }
  }
  return groups;
}

function takeRanked(
  endpoints: readonly SubsetEndpoint[],
  entry: string,
  count: number,
): string[] {
  const names = endpoints.map((endpoint) => endpoint.name);
  return sortByRendezvous(entry, names).slice(0, count);
}

/** Names of the endpoints to attach to; stable while hosts come and go. */
export function chooseSubset(
  endpoints: readonly SubsetEndpoint[],
  options: SubsetOptions,
): Set<string> {
  if (endpoints.length <= MAX_ATTACHED_WHOLE) {
    return new Set(endpoints.map((endpoint) => endpoint.name));
  }
  const { entry, dataCentre, assignments } = options;
  const chosen = new Set<string>();
  for (const [version, group] of groupByVersion(endpoints, assignments)) {
    const local = group.filter((item) => item.dataCentre === dataCentre);
    const remote = group.filter((item) => item.dataCentre !== dataCentre);
    const isAssigned = version !== "";
    const localCount = isAssigned ? LOCAL_PER_VERSION : LOCAL_UNASSIGNED;
    const remoteCount = isAssigned ? REMOTE_PER_VERSION : REMOTE_UNASSIGNED;
    const locals = takeRanked(local, entry, localCount);
    // A version with few local endpoints gets more remote ones instead.
    const missing = localCount - locals.length;
    const remotes = takeRanked(remote, entry, remoteCount + missing);
    for (const name of [...locals, ...remotes]) chosen.add(name);
  }
  return chosen;
}
