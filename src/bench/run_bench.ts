/** Runs a policy on seeded arrivals in virtual time. */

import {
  type Arrival,
  type Assumptions,
  computeCapacity,
  createArrivals,
} from "./assumptions.js";
import { type BaselineName, BaselinePolicy } from "./baseline_policy.js";
import { RouterPolicy } from "./router_policy.js";
import { Simulation } from "./simulation.js";

export interface BenchOptions {
  policy: BaselineName | "hornbeamrill";
  seed: number;
  /** Offered load as a share of the capacity; by default the file's. */
  load?: number;
}

export function runBench(assumptions: Assumptions, options: BenchOptions) {
  const { policy, seed } = options;
  const routingPolicy =
    policy === "hornbeamrill"
      ? new RouterPolicy(assumptions, seed)
      : new BaselinePolicy(policy);
  const load = options.load ?? assumptions.offeredLoadOfCapacity;
  const requestsPerSecond =
    (assumptions.requestsPerSecond ?? computeCapacity(assumptions)) * load;
  const simulation = new Simulation(assumptions, {
    seed,
    requestsPerSecond,
    policy: routingPolicy,
  });
  const arrivals = createArrivals(assumptions, { seed, requestsPerSecond });
  const scheduleNextArrival = () => {
    const next = arrivals.next();
    if (next.done === true) return;
    const arrival: Arrival = next.value;
    simulation.timeline.schedule(arrival.atMs, () => {
      simulation.acceptArrival(arrival);
      scheduleNextArrival();
    });
  };
  routingPolicy.start(simulation);
  scheduleNextArrival();
  simulation.timeline.run();
  return simulation.results.summarize({
    coldOverloads: simulation.endpoints.reduce(
      (sum, endpoint) => sum + endpoint.coldOverloads,
      0,
    ),
    requestsPerSecond,
    lost: simulation.openRequests.size,
  });
}
