import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import {
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";
import type { StoreCopy } from "./standins/store.js";

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
    await restore(copy, () =>
      system.store.put("config", "main", createWithRoute(3, "added")),
    );
    await waitForVersion(3, entries);
    for (const [entry] of entries.entries()) {
      const answer = await system.call("/added/a", { id: `a${entry}`, entry });
      assert.equal(answer.status, 200);
    }
  });

  /** Restores the copy after an outage in which entries lose their watches. */
  async function restore(
    copy: StoreCopy,
    writeAgain: () => void = () => {},
  ): Promise<void> {
    system.store.faults = { outage: "reset" };
    await delay(OUTAGE_MS);
    system.store.restore(copy);
    writeAgain();
    system.store.faults = {};
  }

  it("has a change in force after two restores close together", async () => {
    await system.start([{ id: "i-1" }], {}, 3);
    const entries = ["entry-1", "entry-2", "entry-3"];
    await delay(1_000);
    const copy = system.store.takeCopy();
    system.store.put("config", "main", createConfiguration(2));
    await waitForVersion(2, entries);
    await restore(copy, () =>
      system.store.put("config", "main", createWithRoute(3, "added")),
    );
    await waitForVersion(3, entries);
    await restore(copy);
    await delay(200);
    system.store.put("config", "main", createWithRoute(4, "other"));
    await waitForVersion(4, entries);
  });

  it("does not take back a configuration that is in force", async () => {
    await system.start([{ id: "i-1" }], {}, 2);
    const copy = system.store.takeCopy();
    system.store.put("config", "main", createWithRoute(2, "added"));
    await waitForVersion(2, ["entry-1", "entry-2"]);
    await restore(copy);
    for (let i = 0; i < 20; i++) {
      for (const entry of [0, 1]) {
        const id = `a${i}-${entry}`;
        const answer = await system.call("/added/a", { id, entry });
        assert.equal(answer.status, 200, id);
      }
      await delay(100);
    }
  });

  // It knows only the copy, which lacks a route that others have in force.
  it("makes a new entry deny nothing that others have in force", async () => {
    await system.start([{ id: "i-1" }], {}, 2);
    const copy = system.store.takeCopy();
    system.store.put("config", "main", createWithRoute(2, "added"));
    await waitForVersion(2, ["entry-1", "entry-2"]);
    await restore(copy);
    await system.startEntry();
    const statuses: number[] = [];
    for (let i = 0; i < 15; i++) {
      await delay(100);
      const id = `n${i}`;
      const answer = await system.call("/added/a", { id, entry: 2 });
      if (i > 3) statuses.push(answer.status);
    }
    assert.ok(!statuses.includes(404), `${statuses}`);
    system.store.put("config", "main", createWithRoute(2, "added"));
    await waitForVersion(2, ["entry-3"]);
  });

  it("keeps endpoints that it lacks until they have registered again", async () => {
    await system.start([], {}, 2);
    const copy = system.store.takeCopy();
    await system.startReplica({ id: "i-1" });
    await waitForEvents("endpoint-added", 2);
    await restore(copy);
    for (let i = 0; i < 12; i++) {
      const answer = await system.call("/safe/a", {
        id: `k${i}`,
        entry: i % 2,
      });
      assert.equal(answer.status, 200);
      await delay(100);
    }
    const port = system.replicaPorts.get("i-1") ?? 0;
    system.store.put("servers", "i-1", createReplicaSpec(port));
    await delay(2_000);
    for (const entry of [0, 1]) {
      const answer = await system.call("/safe/a", { id: `l${entry}`, entry });
      assert.equal(answer.status, 200);
    }
  });

  // They go on serving for a while, which ends without a word.
  it("revives no endpoint that had left or was leaving", async () => {
    await system.start([{ id: "i-1" }, { id: "i-2" }, { id: "i-3" }], {}, 2);
    await waitForEvents("endpoint-added", 6);
    const copy = system.store.takeCopy();
    const port = system.replicaPorts.get("i-1") ?? 0;
    const leaving = createReplicaSpec(port, { state: "draining" });
    system.store.put("servers", "i-1", leaving);
    system.store.delete("servers", "i-2");
    await waitForEvents("endpoint-removed", 2);
    await waitForEvents("endpoint-leaving", 2);
    await restore(copy);
    for (let i = 0; i < 30; i++) {
      await system.call("/safe/a", { id: `v${i}`, entry: i % 2 });
      await delay(100);
    }
    const runs = (id: string) => system.replicas.get(id)?.runs.length;
    assert.deepEqual([runs("i-1"), runs("i-2"), runs("i-3")], [0, 0, 30]);
  });

  it("does not end an evacuation that it lacks", async () => {
    await system.start([{ id: "i-1" }], {}, 1);
    await system.startReplica({ id: "i-2" }, { zone: "dc2" });
    await waitForEvents("endpoint-added", 2);
    const copy = system.store.takeCopy();
    system.store.put("evacuations", "dc2", {});
    await waitForEvents("evacuation-started", 1);
    await restore(copy);
    await delay(500);
    system.store.put("evacuations", "dc2", {});
    for (let i = 0; i < 25; i++) {
      await system.call("/safe/a", { id: `e${i}` });
      await delay(100);
    }
    assert.equal(system.replicas.get("i-2")?.runs.length, 0);
    assert.equal(countEvents("evacuation-ended"), 0);
  });

  it("gets the outcome of a roll-out again that it has lost", async () => {
    await system.start([{ id: "i-1" }], {}, 2);
    await system.startReplica({ id: "i-2" }, { version: "v2" });
    await waitForEvents("endpoint-added", 4);
    const order = { service: "svc", target: "v2", duration_s: 60 };
    system.store.put("rollouts", "svc", order);
    await waitForEvents("rollout-ordered", 2);
    const copy = system.store.takeCopy();
    const completed = { state: "completed", target: "v2" };
    system.store.putStatus("rollouts", "svc", completed);
    await waitForEvents("rollout-ordered", 4);
    await restore(copy);
    await system.waitFor(
      () =>
        JSON.stringify(system.store.getStatus("rollouts", "svc")) ===
        JSON.stringify(completed),
    );
    for (let i = 0; i < 10; i++) await system.call("/safe/a", { id: `o${i}` });
    assert.equal(system.replicas.get("i-1")?.runs.length, 0);
  });

  it("gets held prompt parts again that it has lost", async () => {
    await system.start([], {}, 1);
    for (let i = 0; i < 4; i++) {
      const crashesOn = new Set(["bad0"]);
      await system.startCrashingReplica({ id: `i-${i}`, crashesOn }, 60_000);
    }
    await waitForEvents("endpoint-added", 4);
    const copy = system.store.takeCopy();
    for (let i = 0; i < 4; i++) {
      const headers = { "prefix-hash": `bad0:9,own-${i}:9` };
      await system
        .call("/stream/a", { id: `h${i}`, headers })
        .catch(() => undefined);
      await delay(300);
    }
    const hasHold = () => system.store.listNames("prompt-holds").length === 1;
    await system.waitFor(hasHold);
    await restore(copy);
    await system.waitFor(hasHold);
  });

  function countEvents(event: string): number {
    return system.logs.filter((log) => log.event === event).length;
  }

  async function waitForEvents(event: string, count: number): Promise<void> {
    await system.waitFor(() => countEvents(event) >= count);
  }
});
