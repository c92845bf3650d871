import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import {
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";

/** Time in which a change of the configuration must be in force, ms. */
const CONFIG_DEADLINE_MS = 2_000;
const OUTAGE_MS = 300;

describe("a store that comes back from a copy", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  /** A configuration that has one more route than the first one. */
  function createWithRoute(version: number, prefix: string) {
    const configuration = createConfiguration(version);
    const [route] = configuration.routes;
    const added = { ...route, name: prefix, prefix: `/${prefix}/`, host: HOST };
    return { ...configuration, routes: [...configuration.routes, added] };
  }

  function getVersion(entry: string): unknown {
    return system.logs.findLast(
      (log) => log.event === "configuration-in-force" && log.entry === entry,
    )?.version;
  }

  async function waitForVersion(version: number, entries: readonly string[]) {
    await system.waitFor(
      () => entries.every((entry) => getVersion(entry) === version),
      CONFIG_DEADLINE_MS,
    );
  }

  // Its revision is that of other contents then, and no watch gets 410.
  it("has a change in force that gets a revision of before", async () => {
    await system.start([{ id: "i-1" }], {}, 3);
    const entries = ["entry-1", "entry-2", "entry-3"];
    await delay(1_000);
    const copy = system.store.takeCopy();
    system.store.put("config", "main", createConfiguration(2));
    await waitForVersion(2, entries);
    system.store.faults = { outage: "reset" };
    await delay(OUTAGE_MS);
    system.store.restore(copy);
    system.store.put("config", "main", createWithRoute(3, "added"));
    system.store.faults = {};
    await waitForVersion(3, entries);
    for (const [entry] of entries.entries()) {
      const answer = await system.call("/added/a", { id: `a${entry}`, entry });
      assert.equal(answer.status, 200);
    }
  });
});
