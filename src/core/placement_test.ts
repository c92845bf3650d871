import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointStatus } from "../schema/index.js";
import { EndpointIndex } from "./endpoint_index.js";
import { createEmptyState } from "./fleet_state.js";
import { Placement, type PlacementRequest } from "./placement.js";
import { SpeedEstimates } from "./speed_estimates.js";

const STATE = createEmptyState();
const REQUEST: PlacementRequest = {
  target: "model/m",
  units: 100,
  feasibleUnits: 70,
  remainingMs: 60_000,
  failedEndpoints: new Set(),
};

function createPlacement(
  names: readonly string[],
  dataCentres: readonly string[] = [],
) {
  const endpoints = new EndpointIndex();
  const speeds = new SpeedEstimates();
  let lastDraw = 0;
  const random = () => (lastDraw = (lastDraw + 0.37) % 1);
  const placement = new Placement({
    random,
    dataCentre: "dc1",
    endpoints,
    speeds,
  });
  const views = names.map((endpoint, i) =>
    endpoints.update(
      EndpointStatus.fromPartial({
        endpoint,
        dataCentre: dataCentres[i] ?? "dc1",
        versions: ["m"],
        limit: 4,
        slots: 4,
      }),
    ),
  );
  const observe = (position: number, ms: number) => {
    const view = views[position];
    if (view === undefined) return;
    for (let i = 0; i < 30; i++) {
      speeds.observe(view, "model/m", { units: 100, ms, load: 1 });
    }
  };
  const choose = (overrides: Partial<PlacementRequest> = {}) =>
    placement.choose(STATE, { ...REQUEST, ...overrides }, 0)?.name;
  return { placement, endpoints, views, observe, choose };
}

describe("endpoint choice", () => {
  // Guards against equal shares for endpoints of different speeds.
  it("prefers the endpoint with the least expected time", () => {
    const { observe, choose, views } = createPlacement(["slow", "fast"]);
    observe(0, 4_000);
    observe(1, 1_000);
    assert.equal(choose(), "fast");
    const [, fast] = views;
    if (fast !== undefined) fast.ownInFlight = 4;
    assert.equal(choose(), "slow");
  });

  // Guards against a slot used for an answer that will be too late.
  it("leaves out an endpoint that is too slow for the remaining time", () => {
    const { observe, choose } = createPlacement(["slow"]);
    observe(0, 20_000);
    assert.equal(choose({ remainingMs: 5_000 }), undefined);
    assert.equal(choose({ remainingMs: 30_000 }), "slow");
  });

  // Guards against a class that is never sent to any endpoint.
  it("tries an endpoint without measurements", () => {
    const { choose } = createPlacement(["new"]);
    assert.equal(choose({ units: 1, feasibleUnits: 1 }), "new");
  });

  // Guards against hot spots from requests that share a prompt prefix.
  it("follows a cached prefix only within a bounded bonus", () => {
    const { observe, choose, views } = createPlacement(["a", "b"]);
    observe(0, 1_000);
    observe(1, 1_000);
    const first = choose({ prefixHash: "p" });
    const view = views.find(({ name }) => name === first);
    assert.equal(choose({ prefixHash: "p" }), first);
    if (view !== undefined) view.serviceTimeRatio *= 2;
    assert.notEqual(choose({ prefixHash: "p" }), first);
  });

  // Guards against needless traffic between data centres.
  it("prefers the own data centre when expected times are equal", () => {
    const { choose, views } = createPlacement(["far", "near"], ["dc2", "dc1"]);
    assert.equal(choose(), "near");
    const [, near] = views;
    if (near !== undefined) near.ownInFlight = 3;
    assert.equal(choose(), "far");
  });

  // Guards against an endpoint that never gets work as it is later in a list.
  it("breaks ties by load, then by number of measurements", () => {
    const { observe, choose, views } = createPlacement(["a", "b"]);
    for (const view of views) view.status = { ...view.status, slots: 1_000 };
    const [first] = views;
    if (first !== undefined) first.ownInFlight = 1;
    assert.equal(choose(), "b");
    if (first !== undefined) first.ownInFlight = 0;
    observe(0, 1_000);
    assert.equal(choose(), "b");
  });

  // Guards against choices that slow down with the size of the fleet.
  it("compares few endpoints in a large fleet", () => {
    const names = Array.from({ length: 2_000 }, (_, i) => `e${i}`);
    const { placement, views } = createPlacement(names);
    let readCount = 0;
    for (const view of views) {
      const { status } = view;
      Object.defineProperty(view, "status", {
        get: () => {
          readCount++;
          return status;
        },
      });
    }
    assert.ok(placement.choose(STATE, REQUEST, 0));
    assert.ok(readCount < 200, `${readCount} reads`);
  });
});
