/** Endpoint choice: the least expected time among a few sampled endpoints. */

import type { FleetState } from "../schema/index.js";
import {
  type EndpointGroup,
  type EndpointIndex,
  type EndpointView,
  estimateLoad,
} from "./endpoint_index.js";
import { isDataCentreOut, isEndpointOut } from "./fleet_state.js";
import type { SpeedEstimates } from "./speed_estimates.js";

export interface PlacementRequest {
  /** Key from `createTarget`. */
  readonly target: string;
  /** Expected work, see `countUnits`. */
  readonly units: number;
  /** Work that must fit into the remaining time on the endpoint. */
  readonly feasibleUnits: number;
  readonly remainingMs: number;
  readonly failedEndpoints: ReadonlySet<string>;
  readonly prefixHash?: string;
}

export interface PlacementOptions {
  random: () => number;
  dataCentre: string;
  endpoints: EndpointIndex;
  speeds: SpeedEstimates;
}

/** Up to this many endpoints, all are compared; more are sampled. */
const MAX_COMPARED_ENDPOINTS = 8;
/** Endpoints sampled in the entry's data centre and in all others. */
const LOCAL_SAMPLES = 3;
const REMOTE_SAMPLES = 3;
/** Factor on the samples of a second try, when the first finds no endpoint. */
const SECOND_SAMPLE_FACTOR = 3;
/**
 * Bounds of the bonus for an endpoint that may have cached the prompt prefix:
 * as a share of the expected time and in ms.
 */
const MAX_PREFIX_BONUS_SHARE = 0.15;
const MAX_PREFIX_BONUS_MS = 500;
/**
 * Time added for an endpoint in another data centre. Without it, such endpoints
 * are only avoided once their start delay has been measured.
 */
const REMOTE_PENALTY_MS = 2;
/**
 * An endpoint with few measurements counts as equal to the best one within this
 * factor of its time. Otherwise an endpoint without measurements would get no
 * work beside one that has been a little faster by chance.
 */
const FEW_SAMPLES_FACTOR = 1.1;
const MIN_SETTLED_SAMPLES = 10;
const MAX_REMEMBERED_PREFIXES = 10_000;
const NO_ENDPOINTS: ReadonlySet<string> = new Set();

export class Placement {
  readonly #options: PlacementOptions;
  /** Endpoint last chosen for each prompt prefix, least recently used first. */
  readonly #endpointsByPrefix = new Map<string, string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /**
   * The endpoint with the least expected time; undefined when no sampled one
   * has a free slot and can end in time.
   */
  choose(
    state: FleetState,
    request: PlacementRequest,
    nowMs: number,
  ): EndpointView | undefined {
    const groups = this.#options.endpoints
      .listGroups(request.target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    for (const factor of [1, SECOND_SAMPLE_FACTOR]) {
      const best = this.#findFastest(
        this.#sample(groups, factor).filter(
          (view) =>
            isEligible(state, view, request) &&
            view.avoidUntilMs <= nowMs &&
            estimateLoad(view) < view.status.limit,
        ),
        request,
      );
      if (best !== undefined) {
        this.#rememberPrefix(request.prefixHash, best.name);
        return best;
      }
    }
    return undefined;
  }

  /** Least expected time of the feasible work on any sampled endpoint. */
  estimateFastestMs(state: FleetState, request: PlacementRequest): number {
    const { endpoints, speeds } = this.#options;
    const groups = endpoints
      .listGroups(request.target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    let fastestMs = Number.POSITIVE_INFINITY;
    for (const view of this.#sample(groups, 1)) {
      if (!isEligible(state, view, request)) continue;
      const ms = speeds.estimateMs(view, request.target, request.feasibleUnits);
      fastestMs = Math.min(fastestMs, ms);
    }
    return fastestMs;
  }

  /**
   * Time per unit of work on the fastest sampled endpoint with a free slot, or
   * on the fastest of all when none has one.
   */
  estimateUnitMs(state: FleetState, target: string): number {
    const { endpoints, speeds } = this.#options;
    const groups = endpoints
      .listGroups(target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    const request = { target, failedEndpoints: NO_ENDPOINTS };
    let fastestFreeMs = Number.POSITIVE_INFINITY;
    let fastestMs = Number.POSITIVE_INFINITY;
    for (const view of this.#sample(groups, 1)) {
      if (!isEligible(state, view, request)) continue;
      const ms = speeds.estimateMs(view, target, 1);
      fastestMs = Math.min(fastestMs, ms);
      if (estimateLoad(view) >= view.status.limit) continue;
      fastestFreeMs = Math.min(fastestFreeMs, ms);
    }
    return fastestFreeMs < Number.POSITIVE_INFINITY ? fastestFreeMs : fastestMs;
  }

  #findFastest(
    views: readonly EndpointView[],
    request: PlacementRequest,
  ): EndpointView | undefined {
    const { speeds } = this.#options;
    const prefixEndpoint = this.#endpointsByPrefix.get(
      request.prefixHash ?? "",
    );
    const totalMsByEndpoint = new Map<EndpointView, number>();
    let best: EndpointView | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const view of views) {
      const workMs = speeds.estimateMs(view, request.target, request.units);
      // An attempt that can't end in time would waste the slot.
      const feasibleMs = (workMs * request.feasibleUnits) / request.units;
      if (feasibleMs > request.remainingMs) continue;
      const bonusMs =
        view.name === prefixEndpoint
          ? Math.min(MAX_PREFIX_BONUS_MS, workMs * MAX_PREFIX_BONUS_SHARE)
          : 0;
      const penaltyMs = this.#isLocal(view) ? 0 : REMOTE_PENALTY_MS;
      const totalMs = workMs + view.startDelayMs + penaltyMs - bonusMs;
      totalMsByEndpoint.set(view, totalMs);
      if (totalMs >= bestMs) continue;
      best = view;
      bestMs = totalMs;
    }
    if (best === undefined || best.name === prefixEndpoint) return best;
    const isBestLocal = this.#isLocal(best);
    for (const [view, totalMs] of totalMsByEndpoint) {
      const isSettled = view.speedSamples >= MIN_SETTLED_SAMPLES;
      const factor = isSettled ? 1 : FEW_SAMPLES_FACTOR;
      if (totalMs > bestMs * factor) continue;
      if (this.#isLocal(view) !== isBestLocal) continue;
      if (isLessLoaded(view, best)) best = view;
    }
    return best;
  }

  #isLocal(view: EndpointView): boolean {
    return view.status.dataCentre === this.#options.dataCentre;
  }

  #sample(groups: readonly EndpointGroup[], factor: number): EndpointView[] {
    const total = groups.reduce((sum, g) => sum + g.endpoints.length, 0);
    if (total <= MAX_COMPARED_ENDPOINTS)
      return groups.flatMap((g) => g.endpoints);
    const { dataCentre } = this.#options;
    const local = groups.find((group) => group.dataCentre === dataCentre);
    const remote = groups.filter((group) => group !== local);
    return [
      ...this.#draw(local === undefined ? [] : [local], LOCAL_SAMPLES * factor),
      ...this.#draw(remote, REMOTE_SAMPLES * factor),
    ];
  }

  /** Draws with replacement, uniformly over the endpoints of the groups. */
  #draw(groups: readonly EndpointGroup[], count: number): EndpointView[] {
    const total = groups.reduce((sum, g) => sum + g.endpoints.length, 0);
    const drawn: EndpointView[] = [];
    for (let i = 0; i < Math.min(count, total); i++) {
      let position = Math.floor(this.#options.random() * total);
      for (const { endpoints } of groups) {
        const view = endpoints[position];
        if (view !== undefined) {
          drawn.push(view);
          break;
        }
        position -= endpoints.length;
      }
    }
    return drawn;
  }

  #rememberPrefix(prefixHash: string | undefined, endpoint: string): void {
    if (prefixHash === undefined) return;
    this.#endpointsByPrefix.delete(prefixHash);
    this.#endpointsByPrefix.set(prefixHash, endpoint);
    if (this.#endpointsByPrefix.size <= MAX_REMEMBERED_PREFIXES) return;
    const oldest = this.#endpointsByPrefix.keys().next().value;
    if (oldest !== undefined) this.#endpointsByPrefix.delete(oldest);
  }
}

/** Order of equally fast endpoints: by load, then by number of measurements. */
function isLessLoaded(view: EndpointView, other: EndpointView): boolean {
  const loadShare = estimateLoad(view) / Math.max(1, view.status.limit);
  const otherLoadShare = estimateLoad(other) / Math.max(1, other.status.limit);
  if (loadShare !== otherLoadShare) return loadShare < otherLoadShare;
  return view.speedSamples < other.speedSamples;
}

function isEligible(
  state: FleetState,
  view: EndpointView,
  request: { failedEndpoints: ReadonlySet<string> },
): boolean {
  return (
    !view.status.leaving &&
    !request.failedEndpoints.has(view.name) &&
    !isEndpointOut(state, view.name)
  );
}
