/** Filters endpoints by the versions on which a roll-out lets a request run. */

import type { EndpointState } from "../placing/index.js";
import { ROLLOUT_OUTCOME } from "../types.js";
import type { Rollouts } from "./rollouts.js";

export interface AllowedEndpointsOptions {
  readonly service: string;
  readonly rollouts: Rollouts;
  /** Hash of the request's session, or a random number in [0, 1). */
  readonly rolloutPosition: number;
  /** Version that the session last ran on, unless the session has ended. */
  readonly lastVersion?: string;
  /**
   * The target can't take the request now: its endpoints have all failed the
   * request or are closed. A session that has moved to the target stays there.
   */
  readonly isTargetUnavailable?: boolean;
  readonly nowMs: number;
}

/** Filters the endpoints by the versions that the request may run on. */
export function listAllowedEndpoints(
  states: readonly EndpointState[],
  options: AllowedEndpointsOptions,
): EndpointState[] {
  const {
    service,
    rollouts,
    rolloutPosition,
    lastVersion,
    isTargetUnavailable,
    nowMs,
  } = options;
  const order = rollouts.getOrder(service);
  if (order === undefined) return [...states];
  const isTarget = (state: EndpointState) =>
    state.record.version === order.target;
  const target = states.filter(isTarget);
  const versions = new Set(states.map((state) => state.record.version));
  const baselineVersions = rollouts.listBaselineVersions(service, versions);
  const baseline = states.filter((state) =>
    baselineVersions.has(state.record.version),
  );
  if (order.outcome === ROLLOUT_OUTCOME.rolledBack) return baseline;
  if (order.outcome === ROLLOUT_OUTCOME.completed) {
    return target.length > 0 ? target : baseline;
  }
  const share = rollouts.getShare(service, nowMs);
  if (share === 0) return baseline;
  if (target.length === 0) return baseline;
  const hasMoved = lastVersion === order.target;
  const staysOnBaseline =
    lastVersion !== undefined &&
    !hasMoved &&
    rollouts.isInFirstHalf(service, nowMs);
  const isInShare =
    !staysOnBaseline && rolloutPosition < share && isTargetUnavailable !== true;
  const usesTarget = hasMoved || isInShare;
  return usesTarget || baseline.length === 0 ? target : baseline;
}
