/** Builds the fleet state and endpoint statuses that the router gets. */

import { createEmptyState } from "../core/index.js";
import type { EndpointStatus, FleetState } from "../schema/index.js";
import type { Assumptions } from "./assumptions.js";
import type { SimulatedEndpoint } from "./simulated_endpoint.js";

export function createFleetState(assumptions: Assumptions): FleetState {
  const state = createEmptyState();
  for (const [version, versionSpec] of Object.entries(assumptions.versions)) {
    const { costPerKiloToken } = versionSpec;
    const model = version.replace(/-\d+$/, "");
    state.versions[version] = {
      name: version,
      model,
      state: "active",
      costPerKiloToken,
    };
  }
  for (const [className, classSpec] of Object.entries(assumptions.classes)) {
    const { priority, deadlineMs, idempotent } = classSpec;
    if (classSpec.kind === "service") {
      state.services[className] = {
        name: className,
        priority,
        deadlineMs,
        idempotent,
      };
    } else {
      const qualityTarget = classSpec.qualityTarget ?? undefined;
      state.classes[className] = {
        name: className,
        priority,
        deadlineMs,
        qualityTarget,
      };
    }
  }
  const isModel = (name: string) => name in state.classes;
  for (let i = 1; i <= assumptions.accounts.count; i++) {
    const accountName = `account-${i}`;
    state.accounts[accountName] = {
      name: accountName,
      apiKeySha256: [],
      versions: Object.keys(assumptions.versions),
      services: Object.keys(state.services),
      classes: Object.keys(assumptions.classes).filter(isModel),
    };
  }
  return state;
}

export function createEndpointStatus(
  assumptions: Assumptions,
  endpoint: SimulatedEndpoint,
  nowMs: number,
): EndpointStatus {
  const { name, replicaSpec } = endpoint.options;
  const isModel = replicaSpec.versions.length > 0;
  return {
    endpoint: name,
    epoch: "1",
    dataCentre: replicaSpec.dataCentre,
    kind: isModel ? "model" : "service",
    versions: replicaSpec.versions,
    services: isModel ? [] : Object.keys(assumptions.serviceTimeMs),
    limit: endpoint.limit,
    inFlight: endpoint.running,
    queued: endpoint.queued,
    meanServiceMs: 0,
    revision: 1,
    leaving: false,
    cold: endpoint.isCold(nowMs),
    slots: replicaSpec.slots,
  };
}
