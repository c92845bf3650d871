import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FleetState } from "../schema/index.js";
import {
  chooseEndpointSubset,
  computeStatusPeriodMs,
} from "./endpoint_subset.js";

const DATA_CENTRES = 6;
const VERSIONS = 39;

function createFleet(count: number) {
  const endpoints = Array.from({ length: count }, (_, index) => ({
    name: `endpoint-${index}`,
    dataCentre: `dc${index % DATA_CENTRES}`,
  }));
  const assignments: FleetState["endpoints"] = Object.fromEntries(
    endpoints.map(({ name }, index) => [
      name,
      { name, versions: [`version-${index % VERSIONS}`] },
    ]),
  );
  return { endpoints, assignments };
}

describe("endpoint subset of an entry", () => {
  it("holds every endpoint of a small fleet, so that all get work", () => {
    const { endpoints, assignments } = createFleet(21);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    assert.equal(chooseEndpointSubset(endpoints, options).size, 21);
  });

  it("holds several endpoints of every version and stays bounded", () => {
    const { endpoints, assignments } = createFleet(930);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    const chosen = chooseEndpointSubset(endpoints, options);
    assert.ok(chosen.size <= VERSIONS * 5);
    const counts = new Map<string, number>();
    for (const name of chosen) {
      const version = assignments[name]?.versions[0] ?? "";
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    assert.equal(counts.size, VERSIONS);
    assert.ok(Math.min(...counts.values()) >= 5);
  });

  it("leaves no endpoint out with 380 entries and 930 endpoints", () => {
    const { endpoints, assignments } = createFleet(930);
    const attachedEndpoints = new Set<string>();
    for (let entry = 0; entry < 380; entry++) {
      const dataCentre = `dc${entry % DATA_CENTRES}`;
      const options = { entry: `e${entry}`, dataCentre, assignments };
      for (const name of chooseEndpointSubset(endpoints, options))
        attachedEndpoints.add(name);
    }
    assert.equal(attachedEndpoints.size, 930);
  });

  it("opens few new streams when one endpoint leaves", () => {
    const { endpoints, assignments } = createFleet(930);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    const before = chooseEndpointSubset(endpoints, options);
    const [removed] = before;
    const remaining = endpoints.filter((endpoint) => endpoint.name !== removed);
    const after = chooseEndpointSubset(remaining, options);
    const added = [...after].filter((name) => !before.has(name));
    assert.ok(added.length <= 2, `${added.length} streams were added`);
  });

  it("limits the statuses of all streams to ten a second", () => {
    for (const attachedEndpoints of [1, 12, 64, 195, 930]) {
      const perSecond =
        attachedEndpoints / (computeStatusPeriodMs(attachedEndpoints) / 1_000);
      assert.ok(perSecond <= 10);
    }
  });
});
