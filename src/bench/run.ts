/** One run: seeded arrivals against a policy, in virtual time. */

import { BaselineDriver, type BaselineName } from "./baselines.js";
import { RouterDriver } from "./router_driver.js";
import {
  type Arrival,
  type Assumptions,
  computeCapacity,
  createArrivals,
} from "./workload.js";
import { World } from "./world.js";

export interface RunOptions {
  policy: BaselineName | "hornbeamrill";
  seed: number;
  /** Offered load as a share of the capacity; the file's when absent. */
  load?: number;
}

export function runBench(assumptions: Assumptions, options: RunOptions) {
  const { policy, seed } = options;
  const driver =
    policy === "hornbeamrill"
      ? new RouterDriver(assumptions, seed)
      : new BaselineDriver(policy);
  const load = options.load ?? assumptions.offeredLoadOfCapacity;
  const requestsPerSecond =
    (assumptions.requestsPerSecond ?? computeCapacity(assumptions)) * load;
  const world = new World(assumptions, { seed, requestsPerSecond, driver });
  const arrivals = createArrivals(assumptions, { seed, requestsPerSecond });
  const acceptNext = () => {
    const next = arrivals.next();
    if (next.done === true) return;
    const arrival: Arrival = next.value;
    world.timeline.schedule(arrival.atMs, () => {
      world.accept(arrival);
      acceptNext();
    });
  };
  driver.start(world);
  acceptNext();
  world.timeline.run();
  return world.results.summarize({
    coldOverloads: world.engines.reduce((sum, e) => sum + e.overloads, 0),
    requestsPerSecond,
    lost: world.open.size,
  });
}
