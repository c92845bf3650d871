/** Which versions of a service one request may run on. */

import type { EndpointState } from "../placing/index.js";
import { ROLLOUT_OUTCOME } from "../types.js";
import type { Rollouts } from "./rollouts.js";

export interface VersionOptions {
  readonly service: string;
  readonly rollouts: Rollouts;
  /** Place of the request's session, or a random one without a session. */
  readonly place: number;
  /** Version that the session last ran on, a short time ago. */
  readonly lastVersion?: string;
  /**
   * The new version can't take the request now: all its endpoints failed it or
   * are closed. A session that has moved to the version stays there.
   */
  readonly isTargetOut?: boolean;
  readonly nowMs: number;
}

/** Leaves the endpoints of the version that the request runs on. */
export function listAllowedVersions(
  states: readonly EndpointState[],
  options: VersionOptions,
): EndpointState[] {
  const { service, rollouts, place, lastVersion, isTargetOut, nowMs } = options;
  const order = rollouts.getOrder(service);
  if (order === undefined) return [...states];
  const isTarget = (state: EndpointState) =>
    state.record.version === order.target;
  const target = states.filter(isTarget);
  const versions = new Set(states.map((state) => state.record.version));
  const held = rollouts.listHeld(service, versions);
  const others = states.filter((state) => held.has(state.record.version));
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
  const isDrawn = !stays && place < share && isTargetOut !== true;
  const usesTarget = isMoved || isDrawn;
  return usesTarget || others.length === 0 ? target : others;
}
