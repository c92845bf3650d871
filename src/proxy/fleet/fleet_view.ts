/** What one entry believes of the fleet: the state that decisions read. */

import type { EndpointState } from "../placing/index.js";
import type { Configuration } from "../types.js";
import { Catalog } from "./catalog.js";
import { EndpointTable } from "./endpoint_table.js";
import type { Rollouts } from "./rollouts.js";

/** Weight of the newest time in the mean. */
const SMOOTHING = 0.1;

/** Running means of the times to the heads of answers. */
export class RecentStarts {
  readonly #means = new Map<string, number>();

  record(service: string, model: string, ms: number): void {
    const key = `${service} ${model}`;
    const mean = this.#means.get(key) ?? ms;
    this.#means.set(key, mean + SMOOTHING * (ms - mean));
  }

  /** 0 before the first answer. */
  getMs(service: string, model: string): number {
    return this.#means.get(`${service} ${model}`) ?? 0;
  }
}

export class FleetView {
  readonly endpoints = new EndpointTable();
  readonly rollouts: Rollouts;
  /** Usual time to an answer's head by service and model. */
  readonly starts = new RecentStarts();
  readonly #evacuated = new Set<string>();
  #catalog: Catalog | undefined;

  constructor(rollouts: Rollouts) {
    this.rollouts = rollouts;
  }

  get catalog(): Catalog | undefined {
    return this.#catalog;
  }

  /** False for a version that is not newer than the one in force. */
  setConfiguration(configuration: Configuration): boolean {
    const held = this.#catalog?.configuration.version ?? -1;
    if (configuration.version <= held) return false;
    this.#catalog = new Catalog(configuration);
    return true;
  }

  get evacuated(): ReadonlySet<string> {
    return this.#evacuated;
  }

  startEvacuation(dataCentre: string): void {
    this.#evacuated.add(dataCentre);
  }

  /** The endpoints of the data centre may have become cold meanwhile. */
  endEvacuation(dataCentre: string, nowMs: number): void {
    if (!this.#evacuated.delete(dataCentre)) return;
    for (const state of this.endpoints.listDataCentre(dataCentre)) {
      const service = this.#catalog?.findService(state.record.service);
      state.setColdUntil(nowMs + (service?.coldMs ?? 0));
    }
  }

  /** Endpoints of a service that operators and endpoints leave open. */
  listOpen(service: string): EndpointState[] {
    return this.endpoints
      .list(service)
      .filter(({ record }) => !this.#evacuated.has(record.dataCentre));
  }

  /** False once operators or the endpoint want nothing more sent to it. */
  isOpen(state: EndpointState, nowMs: number): boolean {
    const { record } = state;
    return (
      this.endpoints.get(record.id) === state &&
      !state.isLeaving &&
      !state.isClosed(nowMs) &&
      !this.#evacuated.has(record.dataCentre)
    );
  }
}
