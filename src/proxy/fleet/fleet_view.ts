/** What one entry knows of the fleet; requests are routed by it. */

import type { EndpointState } from "../placing/index.js";
import type { Configuration } from "../types.js";
import { Catalog } from "./catalog.js";
import { EndpointTable } from "./endpoint_table.js";
import type { Rollouts } from "./rollouts.js";
import { UnconfirmedVersions } from "./unconfirmed_versions.js";

/** Weight of the newest latency in the running means. */
const NEWEST_LATENCY_WEIGHT = 0.1;

/** Running means of the time until the head of an answer arrives. */
export class MeanHeadLatencies {
  readonly #meansMs = new Map<string, number>();

  record(service: string, model: string, headLatencyMs: number): void {
    const key = `${service} ${model}`;
    const meanMs = this.#meansMs.get(key) ?? headLatencyMs;
    this.#meansMs.set(
      key,
      meanMs + NEWEST_LATENCY_WEIGHT * (headLatencyMs - meanMs),
    );
  }

  /** 0 before the first answer. */
  getMs(service: string, model: string): number {
    return this.#meansMs.get(`${service} ${model}`) ?? 0;
  }
}

export class FleetView {
  readonly endpoints = new EndpointTable();
  readonly rollouts: Rollouts;
  readonly unconfirmedVersions = new UnconfirmedVersions();
  /** Mean time until the head of an answer, by service and model. */
  readonly meanHeadLatencies = new MeanHeadLatencies();
  readonly #evacuatedDataCentres = new Set<string>();
  #catalog: Catalog | undefined;

  constructor(rollouts: Rollouts) {
    this.rollouts = rollouts;
  }

  get catalog(): Catalog | undefined {
    return this.#catalog;
  }

  /** Returns false unless the version is newer than the one in force. */
  setConfiguration(configuration: Configuration): boolean {
    const currentVersion = this.#catalog?.configuration.version ?? -1;
    if (configuration.version <= currentVersion) return false;
    this.#catalog = new Catalog(configuration);
    return true;
  }

  get evacuatedDataCentres(): ReadonlySet<string> {
    return this.#evacuatedDataCentres;
  }

  startEvacuation(dataCentre: string): void {
    this.#evacuatedDataCentres.add(dataCentre);
  }

  /** Treats the endpoints of the data centre as cold, as they may be by now. */
  endEvacuation(dataCentre: string, nowMs: number): void {
    if (!this.#evacuatedDataCentres.delete(dataCentre)) return;
    for (const state of this.endpoints.listInDataCentre(dataCentre)) {
      const service = this.#catalog?.findService(state.record.service);
      state.setColdUntil(nowMs + (service?.coldMs ?? 0));
    }
  }

  /**
   * Endpoints of a service, but none that leaves or is being evacuated, nor one
   * whose version may be the target of an unknown order while there are others.
   */
  listUsableEndpoints(service: string): EndpointState[] {
    const usable = this.endpoints
      .listNotLeaving(service)
      .filter(
        ({ record }) => !this.#evacuatedDataCentres.has(record.dataCentre),
      );
    if (this.unconfirmedVersions.isEmpty) return usable;
    const target = this.rollouts.getOrder(service)?.target;
    const confirmed = usable.filter(
      ({ record }) =>
        record.version === target || !this.unconfirmedVersions.has(record),
    );
    return confirmed.length > 0 ? confirmed : usable;
  }

  /** Endpoints whose load entries tell each other. */
  listSharedLoadEndpoints(): EndpointState[] {
    const services = this.#catalog?.configuration.services ?? [];
    return services
      .filter((service) => service.isLoadShared)
      .flatMap((service) => this.endpoints.listNotLeaving(service.name));
  }

  /** False once nothing more may be sent to the endpoint. */
  maySendTo(state: EndpointState, nowMs: number): boolean {
    const { record } = state;
    return (
      this.endpoints.get(record.id) === state &&
      !state.isLeaving &&
      !state.isClosed(nowMs) &&
      !this.#evacuatedDataCentres.has(record.dataCentre)
    );
  }
}
