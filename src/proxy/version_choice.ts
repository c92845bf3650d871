/** Which versions of a service one request may run on. */

import { sortByRendezvous } from "../core/canonical.js";
import type { EndpointState } from "./endpoint_state.js";
import type { Rollouts } from "./rollouts.js";
import { ROLLOUT_OUTCOME } from "./types.js";

export interface VersionOptions {
  readonly service: string;
  readonly rollouts: Rollouts;
  /** Place of the request's session, or a random one without a session. */
  readonly place: number;
  /** Version that the session last ran on, a short time ago. */
  readonly lastVersion?: string;
  /** Endpoints that this request was sent to before. */
  readonly tried: ReadonlySet<string>;
  readonly nowMs: number;
}

/** Leaves the endpoints of the version that the request runs on. */
export function listAllowedVersions(
  states: readonly EndpointState[],
  options: VersionOptions,
): EndpointState[] {
  const { service, rollouts, place, lastVersion, tried, nowMs } = options;
  const order = rollouts.getOrder(service);
  if (order === undefined) return [...states];
  const isTarget = (state: EndpointState) =>
    state.record.version === order.target;
  const target = states.filter(isTarget);
  const others = states.filter((state) => !isTarget(state));
  if (order.outcome === ROLLOUT_OUTCOME.rolledBack) return others;
  if (order.outcome === ROLLOUT_OUTCOME.completed) {
    return target.length > 0 ? target : others;
  }
  const share = rollouts.getShare(service, nowMs);
  if (share === 0) return others;
  if (target.length === 0) return others;
  const isMoved = lastVersion === order.target;
  const stays =
    lastVersion !== undefined &&
    !isMoved &&
    rollouts.isFirstHalf(service, nowMs);
  const usesTarget = isMoved || (!stays && place < share);
  if (!usesTarget && others.length > 0) return others;
  const elapsedMs = rollouts.getElapsedMs(service, nowMs);
  return listLoaded(target, { share, elapsedMs, tried });
}

/** Time after which other endpoints of the new version take their turn, ms. */
const TURN_MS = 2_500;

/**
 * A few endpoints of the new version take all of its share, so that each bears
 * the load of a finished rollout: some versions fail under load only.
 */
function listLoaded(
  target: readonly EndpointState[],
  options: { share: number; elapsedMs: number; tried: ReadonlySet<string> },
): EndpointState[] {
  const { share, elapsedMs, tried } = options;
  const count = Math.ceil(share * target.length);
  const ids = target.map((state) => state.record.id);
  const turn = String(Math.floor(elapsedMs / TURN_MS));
  const few = new Set(sortByRendezvous(turn, ids).slice(0, count));
  const open = target.filter(
    ({ record }) => few.has(record.id) && !tried.has(record.id),
  );
  return open.length > 0 ? open : [...target];
}
