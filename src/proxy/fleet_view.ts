/** What one entry believes of the fleet: the state that decisions read. */

import { Catalog } from "./catalog.js";
import type { EndpointState } from "./endpoint_state.js";
import { EndpointTable } from "./endpoint_table.js";
import { Rollouts } from "./rollouts.js";
import type { Configuration } from "./types.js";

export class FleetView {
  readonly endpoints = new EndpointTable();
  readonly rollouts: Rollouts;
  readonly #evacuated = new Set<string>();
  #catalog: Catalog | undefined;

  /** `origin` names one start of this entry. */
  constructor(origin: string) {
    this.rollouts = new Rollouts(origin);
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
}
