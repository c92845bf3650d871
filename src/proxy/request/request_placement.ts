/** Where one request may run: its version's endpoints, and the best of them. */

import {
  type FleetView,
  hashSession,
  listAllowedVersions,
  type SessionVersions,
} from "../fleet/index.js";
import {
  type Choice,
  type ChoiceOptions,
  chooseEndpoint,
  type EndpointState,
  type Lanes,
  type PromptHomes,
  type Work,
} from "../placing/index.js";
import type { RequestFacts, Route, Service } from "../types.js";

/** Weight of a prompt token where the models have no prices. */
const PLAIN_WEIGHT = 1;
/** Prices of larger models rise a little faster than the time they take. */
const PRICE_EXPONENT = 0.85;

export interface PlacementOptions {
  readonly homes: PromptHomes;
  readonly lanes: Lanes;
  readonly view: FleetView;
  readonly sessions: SessionVersions;
  readonly random: () => number;
  /** Entries that share the endpoints. */
  readonly countEntries: () => number;
}

export interface PlacedRequest {
  readonly facts: RequestFacts;
  readonly route: Route;
  readonly service: Service;
}

export class RequestPlacement {
  readonly #options: PlacementOptions;
  readonly #request: PlacedRequest;
  /** Place of the request's session among all, for rollouts. */
  readonly #place: number;

  constructor(options: PlacementOptions, request: PlacedRequest) {
    this.#options = options;
    this.#request = request;
    const { session } = request.facts;
    this.#place =
      session === undefined
        ? options.random()
        : hashSession(request.service.name, session);
  }

  /** Undefined when no endpoint may get the request now. */
  choose(
    model: string,
    tried: ReadonlySet<string>,
    nowMs: number,
  ): Choice | undefined {
    const chooseAmong = (states: readonly EndpointState[]) => {
      const options = this.#createOptions(states, model, nowMs);
      return chooseEndpoint(states, { ...options, tried });
    };
    return (
      chooseAmong(this.#listStates(nowMs)) ??
      chooseAmong(this.#listStates(nowMs, true))
    );
  }

  /** Expected time to the head of an answer of the model, ms. */
  estimateStartMs(model: string, nowMs: number): number {
    const choice = this.choose(model, new Set(), nowMs);
    return choice?.startMs ?? Number.POSITIVE_INFINITY;
  }

  /** Time until the first of the endpoints that asked for a pause, ms. */
  findReopeningMs(nowMs: number): number | undefined {
    const closed = this.#listStates(nowMs).filter((state) =>
      state.isClosed(nowMs),
    );
    if (closed.length === 0) return undefined;
    return Math.min(...closed.map((state) => state.closedUntilMs)) - nowMs;
  }

  /** Requests a second that a cold endpoint bears from this entry. */
  get coldPerSecond(): number {
    const { countEntries } = this.#options;
    return this.#request.service.coldPerSecond / countEntries();
  }

  createWork(model: string): Work {
    const { facts, service } = this.#request;
    return {
      model,
      parts: facts.parts,
      promptTokens: facts.promptTokens,
      weight: computeWeight(service, model),
    };
  }

  /** Endpoints of the version that the request may run on. */
  #listStates(nowMs: number, isTargetOut = false): EndpointState[] {
    const { service, facts } = this.#request;
    const { view, sessions } = this.#options;
    const { session } = facts;
    return listAllowedVersions(view.listOpen(service.name), {
      service: service.name,
      rollouts: view.rollouts,
      place: this.#place,
      lastVersion:
        session === undefined
          ? undefined
          : sessions.get(service.name, session, nowMs),
      isTargetOut,
      nowMs,
    });
  }

  #createOptions(
    states: readonly EndpointState[],
    model: string,
    nowMs: number,
  ): Omit<ChoiceOptions, "tried"> {
    const { route, facts } = this.#request;
    const { homes, lanes, random, countEntries } = this.#options;
    const shared = route.sharesPrompts ? facts.parts.at(-2) : undefined;
    const work = this.createWork(model);
    const ids = states.map((state) => state.record.id);
    const size = work.promptTokens * work.weight;
    const lane =
      size > 0
        ? lanes.choose(this.#request.service.name, size, ids)
        : undefined;
    const near = lane === undefined ? ids : ids.filter((id) => lane.has(id));
    return {
      work,
      nowMs,
      random,
      homes: shared ? homes.list(`${model} ${shared.id}`, near) : [],
      lane,
      entries: countEntries(),
      coldPerSecond: this.coldPerSecond,
    };
  }
}

/** Time of a prompt token at a model against the cheapest one. */
export function computeWeight(service: Service, model: string): number {
  const price = service.models.find((item) => item.name === model);
  const least = Math.min(...service.models.map((item) => item.cost));
  if (price === undefined || !(least > 0)) return PLAIN_WEIGHT;
  return (price.cost / least) ** PRICE_EXPONENT;
}
