/** The endpoints that an entry knows, indexed by what they serve. */

import type { EndpointStatus } from "../schema/index.js";

/** An endpoint as seen from this entry. */
export interface EndpointView {
  readonly name: string;
  status: EndpointStatus;
  /** Attempts that this entry has sent and that have not ended. */
  ownInFlight: number;
  /** `ownInFlight` when the last status arrived. */
  ownAtStatus: number;
  /** No new work goes to the endpoint before this time. */
  avoidUntilMs: number;
  /** Own running mean of attempt time over the status' mean; 1 is normal. */
  slowness: number;
}

/** Endpoints of one data centre that serve one version or service. */
export interface EndpointGroup {
  readonly dataCentre: string;
  readonly endpoints: EndpointView[];
}

export function createTarget(kind: "model" | "service", name: string): string {
  return `${kind}/${name}`;
}

function listTargets(status: EndpointStatus): string[] {
  return [
    ...status.versions.map((name) => createTarget("model", name)),
    ...status.services.map((name) => createTarget("service", name)),
  ];
}

/** Requests at the endpoint: the last report plus own changes since then. */
export function estimateLoad(view: EndpointView): number {
  const reported = view.status.inFlight + view.status.queued;
  return Math.max(
    view.ownInFlight,
    reported + view.ownInFlight - view.ownAtStatus,
  );
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

  /** Groups by data centre; choosing samples them and never scans all. */
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
        ownAtStatus: 0,
        avoidUntilMs: 0,
        slowness: 1,
      };
      this.#views.set(status.endpoint, created);
      this.#link(created);
      return created;
    }
    const before = listTargets(view.status).join();
    const moved =
      before !== listTargets(status).join() ||
      view.status.dataCentre !== status.dataCentre;
    if (moved) this.#unlink(view);
    view.status = status;
    view.ownAtStatus = view.ownInFlight;
    if (moved) this.#link(view);
    return view;
  }

  remove(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined) return;
    this.#unlink(view);
    this.#views.delete(name);
  }

  #link(view: EndpointView): void {
    for (const target of listTargets(view.status)) {
      const groups = this.#groups.get(target) ?? [];
      this.#groups.set(target, groups);
      const group = groups.find((g) => g.dataCentre === view.status.dataCentre);
      if (group !== undefined) group.endpoints.push(view);
      else {
        const { dataCentre } = view.status;
        groups.push({ dataCentre, endpoints: [view] });
      }
    }
  }

  #unlink(view: EndpointView): void {
    for (const target of listTargets(view.status)) {
      for (const group of this.#groups.get(target) ?? []) {
        const position = group.endpoints.indexOf(view);
        if (position >= 0) group.endpoints.splice(position, 1);
      }
    }
  }
}
