/**
 * Baseline routing policies: each attempt goes to one version on one endpoint,
 * with at most one retry and no cascade from cheap to costly versions.
 */

import { type Arrival, listClassVersions } from "./assumptions.js";
import type { Job, SimulatedEndpoint } from "./simulated_endpoint.js";
import type { OpenRequest, RoutingPolicy, Simulation } from "./simulation.js";

export const BASELINE_NAMES = [
  "cheapest",
  "best",
  "random",
  "round-robin",
  "least-loaded",
] as const;

export type BaselineName = (typeof BASELINE_NAMES)[number];

/** An idempotent request is retried once; others get one attempt. */
const MAX_ATTEMPTS = 2;

export class BaselinePolicy implements RoutingPolicy {
  readonly usesGate = false;
  readonly #baseline: BaselineName;
  readonly #openAttempts = new Map<SimulatedEndpoint, number>();
  #simulation!: Simulation;
  /** Position of the round-robin policy, taken modulo the endpoints. */
  #nextTurn = 0;

  constructor(name: BaselineName) {
    this.#baseline = name;
  }

  start(simulation: Simulation): void {
    this.#simulation = simulation;
  }

  onStateChanged(): void {}
  onStarted(): void {}
  onRefused(): void {}
  onRated(): void {}

  submit(request: OpenRequest): void {
    const { id, atMs, classSpec } = request.arrival;
    this.#sendNextAttempt(request);
    this.#simulation.timeline.schedule(atMs + classSpec.deadlineMs, () => {
      if (
        !this.#simulation.openRequests.delete(id) ||
        request.endpoint === undefined
      )
        return;
      this.#addOpenAttempts(request.endpoint, -1);
      this.#simulation.cancel(request.endpoint, id, request.attempt);
    });
  }

  onEnded(request: OpenRequest, _: Job, outcome: "completed" | "failed"): void {
    if (request.endpoint === undefined) return;
    this.#addOpenAttempts(request.endpoint, -1);
    if (outcome === "completed") {
      this.#simulation.answer(request);
      return;
    }
    request.triedEndpoints.push(request.endpoint);
    request.endpoint = undefined;
    if (
      request.attempt >= MAX_ATTEMPTS ||
      !request.arrival.classSpec.idempotent
    ) {
      this.#simulation.openRequests.delete(request.arrival.id);
    } else this.#sendNextAttempt(request);
  }

  #sendNextAttempt(request: OpenRequest): void {
    const target = this.#chooseTarget(request.arrival, request.triedEndpoints);
    if (target?.endpoint === undefined) {
      this.#simulation.openRequests.delete(request.arrival.id);
      return;
    }
    request.attempt++;
    request.endpoint = target.endpoint;
    request.version = target.version;
    this.#addOpenAttempts(target.endpoint, 1);
    this.#simulation.send(request);
  }

  #addOpenAttempts(endpoint: SimulatedEndpoint, change: number): void {
    const openBefore = this.#openAttempts.get(endpoint) ?? 0;
    this.#openAttempts.set(endpoint, openBefore + change);
  }

  #pickLeastLoaded(
    endpoints: readonly SimulatedEndpoint[],
  ): SimulatedEndpoint | undefined {
    const getLoad = (endpoint: SimulatedEndpoint) =>
      (this.#openAttempts.get(endpoint) ?? 0) /
      endpoint.options.replicaSpec.slots;
    return endpoints.toSorted((a, b) => getLoad(a) - getLoad(b))[0];
  }

  #pickRandom<T>(list: readonly T[]): T | undefined {
    return list[Math.floor(this.#simulation.random() * list.length)];
  }

  #pickEndpoint(
    endpoints: readonly SimulatedEndpoint[],
  ): SimulatedEndpoint | undefined {
    if (this.#baseline === "random") return this.#pickRandom(endpoints);
    if (this.#baseline !== "round-robin")
      return this.#pickLeastLoaded(endpoints);
    return endpoints[this.#nextTurn++ % endpoints.length];
  }

  #chooseTarget(
    arrival: Arrival,
    triedEndpoints: readonly SimulatedEndpoint[],
  ) {
    const { endpoints, assumptions, rolloutShares, random } = this.#simulation;
    const availableEndpoints = endpoints.filter(
      (endpoint) =>
        !endpoint.isDataCentreOut && !triedEndpoints.includes(endpoint),
    );
    const listServing = (version: string) =>
      availableEndpoints.filter((endpoint) =>
        endpoint.options.replicaSpec.versions.includes(version),
      );
    if (arrival.classSpec.kind === "service") {
      const serviceEndpoints = availableEndpoints.filter(
        (endpoint) => endpoint.options.replicaSpec.versions.length < 1,
      );
      return { endpoint: this.#pickEndpoint(serviceEndpoints), version: "" };
    }
    const getCost = (version: string) =>
      assumptions.versions[version]?.costPerKiloToken ?? 0;
    const versions = listClassVersions(assumptions, arrival.className)
      .filter((version) => random() < (rolloutShares.get(version) ?? 1))
      .filter((version) => listServing(version).length > 0)
      .toSorted((a, b) => getCost(a) - getCost(b));
    // Sorted by cost; the costliest version stands for the best one.
    if (this.#baseline === "cheapest" || this.#baseline === "best") {
      const version = versions.at(this.#baseline === "best" ? -1 : 0) ?? "";
      return { endpoint: this.#pickLeastLoaded(listServing(version)), version };
    }
    const capableEndpoints = availableEndpoints.filter((endpoint) =>
      endpoint.options.replicaSpec.versions.some((version) =>
        versions.includes(version),
      ),
    );
    const endpoint = this.#pickEndpoint(capableEndpoints);
    const servedVersions = versions.filter((version) =>
      endpoint?.options.replicaSpec.versions.includes(version),
    );
    return { endpoint, version: this.#pickRandom(servedVersions) ?? "" };
  }
}
