import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { FleetState } from "../schema/index.js";
import { chooseSubset, computeStatusPeriodMs } from "./subset.js";

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

describe("the subset of endpoints of an entry", () => {
  it("takes a small fleet whole, so no endpoint is left without work", () => {
    const { endpoints, assignments } = createFleet(21);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    assert.equal(chooseSubset(endpoints, options).size, 21);
  });

  it("has several endpoints of every version in a bounded subset", () => {
    const { endpoints, assignments } = createFleet(930);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    const chosen = chooseSubset(endpoints, options);
    assert.ok(chosen.size <= VERSIONS * 5);
    const counts = new Map<string, number>();
    for (const name of chosen) {
      const version = assignments[name]?.versions[0] ?? "";
      counts.set(version, (counts.get(version) ?? 0) + 1);
    }
    assert.equal(counts.size, VERSIONS);
    assert.ok(Math.min(...counts.values()) >= 5);
  });

  it("leaves no endpoint without an entry at the target size", () => {
    const { endpoints, assignments } = createFleet(930);
    const attached = new Set<string>();
    for (let entry = 0; entry < 380; entry++) {
      const dataCentre = `dc${entry % DATA_CENTRES}`;
      const options = { entry: `e${entry}`, dataCentre, assignments };
      for (const name of chooseSubset(endpoints, options)) attached.add(name);
    }
    assert.equal(attached.size, 930);
  });

  it("moves only a few streams when one endpoint leaves", () => {
    const { endpoints, assignments } = createFleet(930);
    const options = { entry: "e1", dataCentre: "dc0", assignments };
    const before = chooseSubset(endpoints, options);
    const [gone] = before;
    const rest = endpoints.filter((endpoint) => endpoint.name !== gone);
    const after = chooseSubset(rest, options);
    const added = [...after].filter((name) => !before.has(name));
    assert.ok(added.length <= 2, `${added.length} streams were added`);
  });

  it("keeps the statuses of all streams within ten a second", () => {
    for (const attached of [1, 12, 64, 195, 930]) {
      const perSecond = attached / (computeStatusPeriodMs(attached) / 1_000);
      assert.ok(perSecond <= 10);
    }
  });
});
