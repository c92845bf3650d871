/** The endpoints that an entry knows, indexed by what they serve. */

import type { EndpointStatus } from "../schema/index.js";

/** An endpoint as seen from this entry. */
export interface EndpointView {
  readonly name: string;
  status: EndpointStatus;
  /** Attempts that this entry has sent and that have not ended. */
  ownInFlight: number;
  /** Running mean of the requests that other entries have at the endpoint. */
  othersInFlight: number;
  /** No new work goes to the endpoint before this time. */
  avoidUntilMs: number;
  /** Measured time per unit of work, relative to other endpoints. */
  serviceTimeRatio: number;
  /** Number of measurements in `serviceTimeRatio`. */
  speedSamples: number;
  /** Running mean of the time from dispatch to the start of an attempt. */
  startDelayMs: number;
}

/** Endpoints of one data centre that serve one version or service. */
export interface EndpointGroup {
  readonly dataCentre: string;
  readonly endpoints: EndpointView[];
}

/** Key of a target: the model version or service that requests ask for. */
export function createTarget(kind: "model" | "service", name: string): string {
  return `${kind}/${name}`;
}

/** Targets that the endpoint serves. */
export function listTargets(status: EndpointStatus): string[] {
  return [
    ...status.versions.map((name) => createTarget("model", name)),
    ...status.services.map((name) => createTarget("service", name)),
  ];
}

/**
 * Weight of the newest status report in the running mean. A report lags, so
 * what it counts beyond the own attempts may include some that have ended
 * since; the mean evens that out.
 */
const REPORT_WEIGHT = 0.3;

/**
 * Requests at the endpoint: the exact number of this entry's own and the
 * estimated number of other entries'.
 */
export function estimateLoad(view: EndpointView): number {
  return view.ownInFlight + Math.max(0, Math.round(view.othersInFlight));
}

function addReport(view: EndpointView, status: EndpointStatus): void {
  view.status = status;
  const othersInFlight = status.inFlight + status.queued - view.ownInFlight;
  view.othersInFlight += REPORT_WEIGHT * (othersInFlight - view.othersInFlight);
}

export class EndpointIndex {
  readonly #views = new Map<string, EndpointView>();
  readonly #groups = new Map<string, EndpointGroup[]>();

  get size(): number {
    return this.#views.size;
  }

  find(name: string): EndpointView | undefined {
    return this.#views.get(name);
  }

  /** Groups by data centre, to be sampled: a large fleet is never scanned. */
  listGroups(target: string): readonly EndpointGroup[] {
    return this.#groups.get(target) ?? [];
  }

  update(status: EndpointStatus): EndpointView {
    const view = this.#views.get(status.endpoint);
    if (view === undefined) {
      const created: EndpointView = {
        name: status.endpoint,
        status,
        ownInFlight: 0,
        othersInFlight: status.inFlight + status.queued,
        avoidUntilMs: 0,
        serviceTimeRatio: 1,
        speedSamples: 0,
        startDelayMs: 0,
      };
      this.#views.set(status.endpoint, created);
      this.#addToGroups(created);
      return created;
    }
    const targetsBefore = listTargets(view.status).join();
    const isRegrouped =
      targetsBefore !== listTargets(status).join() ||
      view.status.dataCentre !== status.dataCentre;
    if (isRegrouped) this.#removeFromGroups(view);
    addReport(view, status);
    if (isRegrouped) this.#addToGroups(view);
    return view;
  }

  remove(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#removeFromGroups(view);
    this.#views.delete(name);
  }

  #addToGroups(view: EndpointView): void {
    for (const target of listTargets(view.status)) {
      const groups = this.#groups.get(target) ?? [];
      this.#groups.set(target, groups);
      const group = groups.find(
        (known) => known.dataCentre === view.status.dataCentre,
      );
      if (group !== undefined) group.endpoints.push(view);
      else {
        const { dataCentre } = view.status;
        groups.push({ dataCentre, endpoints: [view] });
      }
    }
  }

  #removeFromGroups(view: EndpointView): void {
    for (const target of listTargets(view.status)) {
      for (const group of this.#groups.get(target) ?? []) {
        const position = group.endpoints.indexOf(view);
        if (position >= 0) group.endpoints.splice(position, 1);
      }
    }
  }
}
