import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FleetState } from "../schema/index.js";
import { createEmptyState } from "./fleet_state.js";
import { Router } from "./router.js";

const COSTS = { small: 0.1, medium: 0.4, large: 1 };

function createRouter(overrides: Partial<FleetState> = {}) {
  const router = new Router({ random: () => 0.5, dataCentre: "dc1" });
  const versions: FleetState["versions"] = {};
  for (const [name, costPerKiloToken] of Object.entries(COSTS)) {
    versions[name] = { name, model: "m", state: "active", costPerKiloToken };
  }
  const state = { ...createEmptyState(), versions, ...overrides };
  router.handle({ type: "state", state }, 0);
  const rate = (version: string, accepted: number, rejected: number) =>
    router.handle(
      { type: "rated", requestClass: "chat", version, accepted, rejected },
      0,
    );
  const list = (qualityTarget = 0.9, candidates = Object.keys(COSTS)) =>
    router.listSessionCandidates({
      requestClass: "chat",
      qualityTarget,
      candidates,
    });
  return { rate, list };
}

describe("versions for new sessions", () => {
  // Guards against sessions that pay for more quality than the target.
  it("lists the cheapest version whose lower bound meets the target", () => {
    const { rate, list } = createRouter();
    rate("small", 800, 200);
    rate("medium", 970, 30);
    assert.deepEqual(list(), ["medium"]);
    assert.deepEqual(list(0.75), ["small"]);
  });

  // Guards against sessions on a version that a few ratings make look good.
  it("lists the most expensive version if none surely meets the target", () => {
    const { rate, list } = createRouter();
    rate("small", 3, 0);
    assert.deepEqual(list(), ["large"]);
  });

  // Guards against sessions bound to a version that is still in roll-out.
  it("leaves out versions that are held or in roll-out", () => {
    const { rate, list } = createRouter({
      rollouts: { small: { version: "small", share: 0.5 } },
      holds: { medium: { version: "medium", reason: "", revision: 1 } },
    });
    for (const version of Object.keys(COSTS)) rate(version, 990, 10);
    assert.deepEqual(list(), ["large"]);
    assert.deepEqual(list(0.9, ["small", "medium"]), ["small"]);
    assert.deepEqual(list(0.9, ["medium"]), ["medium"]);
    assert.deepEqual(list(0.9, []), []);
  });
});
