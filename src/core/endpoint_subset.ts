/**
 * Choice of the endpoints whose status streams an entry opens: all of a small
 * fleet, and a few endpoints of every version of a large one, because 930
 * streams would take nine times the bytes that an entry may spend on control.
 */

import type { FleetState } from "../schema/index.js";
import { sortByRendezvous } from "./canonical.js";

/** Up to this many endpoints, an entry attaches to all of them. */
export const MAX_FULLY_ATTACHED_ENDPOINTS = 64;
/** Endpoints of each version, in the entry's data centre and in others. */
const LOCAL_ENDPOINTS_PER_VERSION = 3;
const REMOTE_ENDPOINTS_PER_VERSION = 2;
/** Endpoints without an assigned version, such as those of plain services. */
const LOCAL_UNASSIGNED_ENDPOINTS = 12;
const REMOTE_UNASSIGNED_ENDPOINTS = 8;

/**
 * Statuses that an entry's budget of control bytes allows, at about 150 bytes
 * each.
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

/** Period of each status stream with which all streams fit the byte budget. */
export function computeStatusPeriodMs(attachedEndpoints: number): number {
  const periodMs = (attachedEndpoints / STATUSES_PER_SECOND) * MS_PER_SECOND;
  return Math.max(MIN_STATUS_PERIOD_MS, Math.ceil(periodMs));
}

/** Groups by assigned version; "" for endpoints without one. */
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

/** The first `count` endpoints in the entry's rendezvous order. */
function takeRanked(
  endpoints: readonly SubsetEndpoint[],
  entry: string,
  count: number,
): string[] {
  const names = endpoints.map((endpoint) => endpoint.name);
  return sortByRendezvous(entry, names).slice(0, count);
}

/**
 * Names of the endpoints to attach to. A host that joins or leaves changes few
 * of them.
 */
export function chooseEndpointSubset(
  endpoints: readonly SubsetEndpoint[],
  options: SubsetOptions,
): Set<string> {
  if (endpoints.length <= MAX_FULLY_ATTACHED_ENDPOINTS) {
    return new Set(endpoints.map((endpoint) => endpoint.name));
  }
  const { entry, dataCentre, assignments } = options;
  const chosen = new Set<string>();
  for (const [version, group] of groupByVersion(endpoints, assignments)) {
    const local = group.filter((item) => item.dataCentre === dataCentre);
    const remote = group.filter((item) => item.dataCentre !== dataCentre);
    const isAssigned = version !== "";
    const localCount = isAssigned
      ? LOCAL_ENDPOINTS_PER_VERSION
      : LOCAL_UNASSIGNED_ENDPOINTS;
    const remoteCount = isAssigned
      ? REMOTE_ENDPOINTS_PER_VERSION
      : REMOTE_UNASSIGNED_ENDPOINTS;
    const locals = takeRanked(local, entry, localCount);
    // A version with few local endpoints gets more remote ones instead.
    const missingCount = localCount - locals.length;
    const remotes = takeRanked(remote, entry, remoteCount + missingCount);
    for (const name of [...locals, ...remotes]) chosen.add(name);
  }
  return chosen;
}
