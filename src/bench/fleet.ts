/** The fleet state and endpoint statuses that the router sees. */

import { createEmptyState } from "../core/index.js";
import type { EndpointStatus, FleetState } from "../schema/index.js";
import type { Engine } from "./engine.js";
import type { Assumptions } from "./workload.js";

export function createFleetState(a: Assumptions): FleetState {
  const state = createEmptyState();
  for (const [name, spec] of Object.entries(a.versions)) {
    const { costPerKiloToken } = spec;
    const model = name.replace(/-\d+$/, "");
    state.versions[name] = { name, model, state: "active", costPerKiloToken };
  }
  for (const [name, spec] of Object.entries(a.classes)) {
    const { priority, deadlineMs, idempotent } = spec;
    if (spec.kind === "service") {
      state.services[name] = { name, priority, deadlineMs, idempotent };
    } else {
      const qualityTarget = spec.qualityTarget ?? undefined;
      state.classes[name] = { name, priority, deadlineMs, qualityTarget };
    }
  }
  const isModel = (name: string) => name in state.classes;
  for (let i = 1; i <= a.accounts.count; i++) {
    const name = `account-${i}`;
    state.accounts[name] = {
      name,
      apiKeySha256: [],
      versions: Object.keys(a.versions),
      services: Object.keys(state.services),
      classes: Object.keys(a.classes).filter(isModel),
    };
  }
  return state;
}

export function createStatus(
  a: Assumptions,
  engine: Engine,
  nowMs: number,
): EndpointStatus {
  const { name, spec } = engine.options;
  const isModel = spec.versions.length > 0;
  return {
    endpoint: name,
    epoch: "1",
    dataCentre: spec.dataCentre,
    kind: isModel ? "model" : "service",
    versions: spec.versions,
    services: isModel ? [] : Object.keys(a.serviceTimeMs),
    limit: engine.limit,
    inFlight: engine.running,
    queued: engine.queued,
    meanServiceMs: 0,
    revision: 1,
    leaving: false,
    cold: engine.isCold(nowMs),
    slots: spec.slots,
  };
}
