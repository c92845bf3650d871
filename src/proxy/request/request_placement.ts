/** Chooses the endpoint of a request among those of its allowed versions. */

import {
  type EndpointLimits,
  type FleetView,
  hashSession,
  listAllowedEndpoints,
  type SessionVersions,
} from "../fleet/index.js";
import {
  type ChoiceOptions,
  chooseBySharedLoad,
  chooseEndpoint,
  computeLimitShare,
  type EndpointChoice,
  type EndpointState,
  findLeastHeadLatency,
  type GetSharedLoad,
  listCandidates,
  type PreferredEndpoints,
  type PromptWork,
  type SharedHeadLatency,
} from "../placing/index.js";
import type { RequestFacts, Route, Service } from "../types.js";

/** Time ratio of a prompt token where the models have no prices. */
const DEFAULT_TOKEN_TIME_RATIO = 1;
/**
 * Part of an equal share of a cold endpoint's rate that an entry uses before it
 * has found the others: after a loss of power there may be many more of them
 * than it assumes.
 */
const UNDISCOVERED_SHARE = 0.25;
/** Below 1, as prices of models rise a little faster than their run times. */
const PRICE_EXPONENT = 0.85;

export interface PlacementOptions {
  readonly preferredEndpoints: PreferredEndpoints;
  readonly view: FleetView;
  readonly limits: EndpointLimits;
  readonly sessions: SessionVersions;
  readonly random: () => number;
  /** Load of the other entries. */
  readonly getSharedLoad: GetSharedLoad;
  /** Name of this entry. */
  readonly selfName: string;
  /** Names of the entries that share a rate; undefined until they are found. */
  readonly listSharers: () => readonly string[] | undefined;
  /** Number of entries that share the endpoints. */
  readonly countEntries: () => number;
}

export interface PlacedRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: Service;
}

/** What admission decides by, where the load is shared. */
export interface StartEstimate {
  /** The endpoint that the request gets if it is sent now. */
  readonly choice?: EndpointChoice;
  /** The least expected time to the answer's head over all endpoints. */
  readonly least?: SharedHeadLatency;
  /** Time until a closed endpoint opens, if there is one, ms. */
  readonly opensInMs?: number;
}

export class RequestPlacement {
  readonly #options: PlacementOptions;
  readonly #request: PlacedRequest;
  /** From 0 to 1; a roll-out's share is compared with it to pick a version. */
  readonly #rolloutPosition: number;

  constructor(options: PlacementOptions, request: PlacedRequest) {
    this.#options = options;
    this.#request = request;
    const { session } = request.facts;
    this.#rolloutPosition =
      session === undefined
        ? options.random()
        : hashSession(request.service.name, session);
  }

  /**
   * Chooses an endpoint. If none of a roll-out's new version can take the
   * request now, sessions that have not moved to it get another version.
   * Undefined when no endpoint can take the request.
   */
  choose(
    model: string,
    triedEndpointIds: ReadonlySet<string>,
    nowMs: number,
  ): EndpointChoice | undefined {
    const { getSharedLoad } = this.#options;
    const chooseAmong = (states: readonly EndpointState[]) => {
      const options = {
        ...this.#createChoiceOptions(states, model, nowMs),
        triedIds: triedEndpointIds,
      };
      if (!this.#request.service.isLoadShared) {
        return chooseEndpoint(states, options);
      }
      const candidates = listCandidates(states, options);
      return chooseBySharedLoad(candidates, options, getSharedLoad);
    };
    return (
      chooseAmong(this.#listStates(nowMs)) ??
      chooseAmong(this.#listStates(nowMs, true))
    );
  }

  /** Expected time until the head of the model's answer, ms. */
  estimateHeadLatencyMs(model: string, nowMs: number): number {
    const choice = this.choose(model, new Set(), nowMs);
    return choice?.expectedMs ?? Number.POSITIVE_INFINITY;
  }

  estimateStart(model: string, nowMs: number): StartEstimate {
    const triedIds = new Set<string>();
    const choice = this.choose(model, triedIds, nowMs);
    const states = this.#listStates(nowMs);
    if (choice === undefined) {
      const closed = states.filter((state) => state.isClosed(nowMs));
      const delaysMs = closed.map(
        ({ availability }) => availability.closedUntilMs - nowMs,
      );
      if (delaysMs.length === 0) return {};
      return { opensInMs: Math.min(...delaysMs) };
    }
    const { getSharedLoad } = this.#options;
    const options = {
      ...this.#createChoiceOptions(states, model, nowMs),
      triedIds,
    };
    const candidates = listCandidates(states, options);
    const least = findLeastHeadLatency(candidates, options, getSharedLoad);
    return { choice, least };
  }

  /**
   * Delay after which a refused caller may find an endpoint that is closed or
   * limited now, ms; undefined where others are open, only with much load.
   */
  assignReturnDelay(nowMs: number): number | undefined {
    const { limits } = this.#options;
    const states = this.#listStates(nowMs);
    const closed = states.filter((state) => state.isClosed(nowMs));
    const limited = states.filter(
      (state) => !state.isClosed(nowMs) && !limits.hasToken(state),
    );
    const closedMs = closed.map(
      ({ availability }) => availability.closedUntilMs - nowMs,
    );
    const isAnyOpen = closed.length + limited.length < states.length;
    const limitedMs = isAnyOpen
      ? []
      : limited.map((state) => limits.assignReturnDelay(state));
    const delaysMs = [...closedMs, ...limitedMs];
    return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
  }

  /** Requests a second that this entry may send to a cold endpoint. */
  getColdPerSecond(endpointId: string): number {
    const { selfName, listSharers, countEntries } = this.#options;
    const { coldPerSecond } = this.#request.service;
    const entryNames = listSharers();
    if (entryNames === undefined) {
      return (UNDISCOVERED_SHARE * coldPerSecond) / countEntries();
    }
    const share = {
      endpointId,
      perSecond: coldPerSecond,
      selfName,
      entryNames,
    };
    return coldPerSecond > 0 ? computeLimitShare(share).perSecond : 0;
  }

  createPromptWork(model: string): PromptWork {
    const { facts, service } = this.#request;
    return {
      model,
      parts: facts.parts,
      promptTokens: facts.promptTokens,
      tokenTimeRatio: computeTokenTimeRatio(service, model),
    };
  }

  /** Usable endpoints of the versions that the request may run on. */
  #listStates(nowMs: number, isTargetUnavailable = false): EndpointState[] {
    const { service, facts } = this.#request;
    const { view, sessions } = this.#options;
    const { session } = facts;
    return listAllowedEndpoints(view.listUsableEndpoints(service.name), {
      service: service.name,
      rollouts: view.rollouts,
      rolloutPosition: this.#rolloutPosition,
      lastVersion:
        session === undefined
          ? undefined
          : sessions.get(service.name, session, nowMs),
      isTargetUnavailable,
      nowMs,
    });
  }

  #createChoiceOptions(
    states: readonly EndpointState[],
    model: string,
    nowMs: number,
  ): Omit<ChoiceOptions, "triedIds"> {
    const { route, facts } = this.#request;
    const { preferredEndpoints, limits, random, countEntries } = this.#options;
    const sharedPart = route.sharesPrompts ? facts.parts.at(-2) : undefined;
    return {
      work: this.createPromptWork(model),
      nowMs,
      random,
      preferredIds: sharedPart
        ? preferredEndpoints.list(
            `${model} ${sharedPart.id}`,
            states.map((state) => state.record.id),
          )
        : [],
      entryCount: countEntries(),
      getColdPerSecond: (endpointId) => this.getColdPerSecond(endpointId),
      limits,
    };
  }
}

/** Time to read a prompt token, relative to the cheapest model. */
export function computeTokenTimeRatio(service: Service, model: string): number {
  const price = service.models.find((item) => item.name === model);
  const lowestCost = Math.min(...service.models.map((item) => item.cost));
  if (price === undefined || !(lowestCost > 0)) return DEFAULT_TOKEN_TIME_RATIO;
  return (price.cost / lowestCost) ** PRICE_EXPONENT;
}
