/** Endpoint choice: least expected time over a few sampled candidates. */

import type { FleetState } from "../schema/index.js";
import {
  type EndpointGroup,
  type EndpointIndex,
  type EndpointView,
  estimateLoad,
} from "./endpoint_index.js";
import { isDataCentreOut, isEndpointOut } from "./fleet_state.js";
import type { SpeedEstimates } from "./speeds.js";

export interface PlacementRequest {
  readonly target: string;
  /** Expected work, see `countUnits`. */
  readonly units: number;
  /** Work at which ending in time still counts as likely enough. */
  readonly leastUnits: number;
  readonly remainingMs: number;
  readonly tried: ReadonlySet<string>;
  readonly prefixHash?: string;
}

export interface PlacementOptions {
  random: () => number;
  dataCentre: string;
  endpoints: EndpointIndex;
  speeds: SpeedEstimates;
}

/** Up to this many endpoints are all compared; above it they are sampled. */
const MAX_COMPARED = 8;
const LOCAL_SAMPLES = 3;
const REMOTE_SAMPLES = 3;
/** Samples of the second look, when the first finds no free endpoint. */
const SECOND_LOOK_FACTOR = 3;
/** Largest share of the expected time that a cached prefix is worth. */
const AFFINITY_SHARE = 0.15;
const MAX_AFFINITY_MS = 500;
/**
 * Cost of another data centre. Without it, one is only avoided once its start
 * delay has been measured.
 */
const OTHER_DATA_CENTRE_MS = 2;
/**
 * Few measurements count as equal within this factor, as an endpoint without
 * any would get no work beside one that happens to have been a little faster.
 */
const UNSETTLED_FACTOR = 1.1;
const SETTLED_SAMPLES = 10;
const MAX_PREFIXES = 10_000;
const NONE_TRIED: ReadonlySet<string> = new Set();

export class Placement {
  readonly #options: PlacementOptions;
  /** Endpoint that last served a prefix, oldest first. */
  readonly #prefixes = new Map<string, string>();

  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /** The endpoint with the least expected time, or none with a free slot. */
  choose(
    state: FleetState,
    request: PlacementRequest,
    nowMs: number,
  ): EndpointView | undefined {
    const groups = this.#options.endpoints
      .listGroups(request.target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    for (const factor of [1, SECOND_LOOK_FACTOR]) {
      const best = this.#compare(
        this.#sample(groups, factor).filter(
          (view) =>
            isPermitted(state, view, request) &&
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

  /** Least time of the work on any sampled endpoint, free or not. */
  estimateLeastMs(state: FleetState, request: PlacementRequest): number {
    const { endpoints, speeds } = this.#options;
    const groups = endpoints
      .listGroups(request.target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    let leastMs = Number.POSITIVE_INFINITY;
    for (const view of this.#sample(groups, 1)) {
      if (!isPermitted(state, view, request)) continue;
      const ms = speeds.expectMs(view, request.target, request.leastUnits);
      leastMs = Math.min(leastMs, ms);
    }
    return leastMs;
  }

  /**
   * Time per unit of work on the fastest sampled endpoint with a free slot, or
   * on the fastest at all when none is free.
   */
  estimatePace(state: FleetState, target: string): number {
    const { endpoints, speeds } = this.#options;
    const groups = endpoints
      .listGroups(target)
      .filter((group) => !isDataCentreOut(state, group.dataCentre));
    const request = { target, tried: NONE_TRIED };
    let freeMs = Number.POSITIVE_INFINITY;
    let leastMs = Number.POSITIVE_INFINITY;
    for (const view of this.#sample(groups, 1)) {
      if (!isPermitted(state, view, request)) continue;
      const ms = speeds.expectMs(view, target, 1);
      leastMs = Math.min(leastMs, ms);
      if (estimateLoad(view) >= view.status.limit) continue;
      freeMs = Math.min(freeMs, ms);
    }
    return freeMs < Number.POSITIVE_INFINITY ? freeMs : leastMs;
  }

  #compare(
    views: readonly EndpointView[],
    request: PlacementRequest,
  ): EndpointView | undefined {
    const { speeds } = this.#options;
    const preferred = this.#prefixes.get(request.prefixHash ?? "");
    const times = new Map<EndpointView, number>();
    let best: EndpointView | undefined;
    let bestMs = Number.POSITIVE_INFINITY;
    for (const view of views) {
      const workMs = speeds.expectMs(view, request.target, request.units);
      // A slot that ends after the deadline is better left to other work.
      const leastMs = (workMs * request.leastUnits) / request.units;
      if (leastMs > request.remainingMs) continue;
      const bonusMs =
        view.name === preferred
          ? Math.min(MAX_AFFINITY_MS, workMs * AFFINITY_SHARE)
          : 0;
      const farMs = this.#isLocal(view) ? 0 : OTHER_DATA_CENTRE_MS;
      const totalMs = workMs + view.startDelayMs + farMs - bonusMs;
      times.set(view, totalMs);
      if (totalMs >= bestMs) continue;
      best = view;
      bestMs = totalMs;
    }
    if (best === undefined || best.name === preferred) return best;
    const nearest = this.#isLocal(best);
    for (const [view, totalMs] of times) {
      const isSettled = view.speedSamples >= SETTLED_SAMPLES;
      const factor = isSettled ? 1 : UNSETTLED_FACTOR;
      if (totalMs > bestMs * factor) continue;
      if (this.#isLocal(view) !== nearest) continue;
      if (isLessUsed(view, best)) best = view;
    }
    return best;
  }

  #isLocal(view: EndpointView): boolean {
    return view.status.dataCentre === this.#options.dataCentre;
  }

  #sample(groups: readonly EndpointGroup[], factor: number): EndpointView[] {
    const total = groups.reduce((sum, g) => sum + g.endpoints.length, 0);
    if (total <= MAX_COMPARED) return groups.flatMap((g) => g.endpoints);
    const { dataCentre } = this.#options;
    const local = groups.find((group) => group.dataCentre === dataCentre);
    const remote = groups.filter((group) => group !== local);
    return [
      ...this.#pick(local === undefined ? [] : [local], LOCAL_SAMPLES * factor),
      ...this.#pick(remote, REMOTE_SAMPLES * factor),
    ];
  }

  /** Draws with replacement, uniform over the endpoints of the groups. */
  #pick(groups: readonly EndpointGroup[], count: number): EndpointView[] {
    const total = groups.reduce((sum, g) => sum + g.endpoints.length, 0);
    const picked: EndpointView[] = [];
    for (let i = 0; i < Math.min(count, total); i++) {
      let position = Math.floor(this.#options.random() * total);
      for (const { endpoints } of groups) {
        const view = endpoints[position];
        if (view !== undefined) {
          picked.push(view);
          break;
        }
        position -= endpoints.length;
      }
    }
    return picked;
  }

  #rememberPrefix(prefixHash: string | undefined, endpoint: string): void {
    if (prefixHash === undefined) return;
    this.#prefixes.delete(prefixHash);
    this.#prefixes.set(prefixHash, endpoint);
    if (this.#prefixes.size <= MAX_PREFIXES) return;
    const oldest = this.#prefixes.keys().next().value;
    if (oldest !== undefined) this.#prefixes.delete(oldest);
  }
}

/** Among equals the one with less measured work comes first. */
function isLessUsed(view: EndpointView, other: EndpointView): boolean {
  const use = estimateLoad(view) / Math.max(1, view.status.limit);
  const otherUse = estimateLoad(other) / Math.max(1, other.status.limit);
  if (use !== otherUse) return use < otherUse;
  return view.speedSamples < other.speedSamples;
}

function isPermitted(
  state: FleetState,
  view: EndpointView,
  request: { tried: ReadonlySet<string> },
): boolean {
  return (
    !view.status.leaving &&
    !request.tried.has(view.name) &&
    !isEndpointOut(state, view.name)
  );
}
