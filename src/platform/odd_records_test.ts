import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  TestSystem,
} from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

/** `JSON.parse` accepts this nesting, `JSON.stringify` fails from some 4,000. */
const DEEP_LEVELS = 100_000;
const DEEP_TEXT = "[".repeat(DEEP_LEVELS) + "]".repeat(DEEP_LEVELS);

describe("odd records of other writers", () => {
  let system: TestSystem;
  afterEach(async () => await system.close());

  const listEntries = (event: string, endpoint: string) =>
    system.logs
      .filter((log) => log.event === event && log.endpoint === endpoint)
      .map((log) => log.entry);

  /** Resolves once each of two entries uses a further endpoint. */
  async function expectFollowsChanges(id: string): Promise<void> {
    await system.startReplica({ id });
    await system.waitFor(() => listEntries("endpoint-added", id).length === 2);
    for (const entry of [0, 1]) {
      const answer = await system.call("/safe/a", { id: `r-${entry}`, entry });
      assert.equal(answer.status, 200);
    }
  }

  async function startTwoEntries(): Promise<void> {
    system = new TestSystem();
    await system.start([{ id: "i-1" }], {}, 2);
    await system.waitFor(() =>
      system.logs.some(
        ({ event, source }) => event === "view-source" && source === "entry-1",
      ),
    );
  }

  // The entry that reads the store for others serializes the changes for them,
  // which failed at a nested record and ended the process.
  for (const [kind, event] of Object.entries({
    servers: "endpoint-skipped",
    rollouts: "rollout-skipped",
    evacuations: "evacuation-started",
  })) {
    it(`a deeply nested one among the ${kind} doesn't end the reader`, async () => {
      await startTwoEntries();
      system.store.putRaw(kind, "odd", DEEP_TEXT);
      await system.waitFor(
        () => system.logs.filter((log) => log.event === event).length === 2,
      );
      await expectFollowsChanges("i-2");
    });
  }

  // Each message between entries reports the holds, and a number that doesn't
  // fit in its field ended the process, again after each start.
  for (const [name, odd] of Object.entries({
    "without a time": { held_at_ms: undefined },
    "of long ago": { held_at_ms: 1 },
    "with a time in the far future": { held_at_ms: 1e300 },
    "with a fraction of a crash": { crashes: 1.5 },
    "with a negative count": { crashes: -1 },
    "with too many crashes": { crashes: 1e12 },
    "with too many failed trials": { failed_trials: 1e12 },
  })) {
    it(`a prompt hold ${name} doesn't end the entries`, async () => {
      system = new TestSystem();
      const held = { crashes: 3, failed_trials: 0, held_at_ms: Date.now() };
      await system.startStore();
      const spec = { parts: ["odd"], ...held, ...odd };
      system.store.put("prompt-holds", "odd", spec);
      const sound = { parts: ["sound"], ...held };
      system.store.put("prompt-holds", "sound", sound);
      system.store.put("config", "main", createConfiguration());
      await system.startReplica({ id: "i-1" });
      for (const _ of [0, 1]) await system.startEntry();
      await system.waitFor(() => system.isReady);
      await system.waitFor(
        () =>
          system.logs.filter(({ event }) => event === "peer-found").length > 1,
      );
      await expectFollowsChanges("i-2");
      const headers = { "prefix-hash": "sound:9,own:9" };
      const answer = await system.call("/safe/a", { id: "s", headers });
      assert.match(answer.body, /^prompt-held/);
    });
  }

  // The id is a header of each attempt, and a request with one that no header
  // can have throws: callers lost their connections without an answer.
  for (const [name, id] of Object.entries({
    "line breaks": "i-9\r\nTenant: other",
    "letters beyond Latin-1": "i-\u65e5",
    "a control character": "i-9\u0000",
    "half a surrogate pair": "i-\ud800",
    "a great length": "i".repeat(100_000),
  })) {
    it(`an endpoint whose id has ${name} gets no requests`, async () => {
      system = new TestSystem();
      await system.start([{ id: "i-1" }]);
      const port = system.replicaPorts.get("i-1") ?? 0;
      system.store.put("servers", id, createReplicaSpec(port));
      await system.startReplica({ id: "i-2" });
      await system.waitFor(
        () => listEntries("endpoint-added", "i-2").length === 1,
      );
      for (let i = 0; i < 10; i++) {
        const answer = await system.call("/safe/a", { id: `r-${i}` });
        assert.equal(answer.status, 200);
        assert.equal(system.listRuns(`r-${i}`).length, 1);
      }
      const skipped = system.logs.filter(
        ({ event }) =>
          event === "endpoint-skipped" || event === "object-skipped",
      );
      assert.equal(skipped.length, 1);
      assert.ok(JSON.stringify(skipped).length < 500);
    });
  }

  it("an account whose name no header can have gets an answer", async () => {
    system = new TestSystem();
    await system.start([{ id: "i-1" }, { id: "i-2" }]);
    const tenants = [
      { name: "\u65e5", api_keys: ["odd-key"] },
      { name: "farm", api_keys: [API_KEY] },
    ];
    system.store.put("config", "main", { ...createConfiguration(2), tenants });
    await system.waitFor(() =>
      system.logs.some(
        ({ event, version }) =>
          event === "configuration-in-force" && version === 2,
      ),
    );
    const odd = await system.call("/safe/a", { id: "o", key: "odd-key" });
    assert.equal(odd.status, 503);
    assert.equal((await system.call("/safe/a", { id: "r" })).status, 200);
    assert.ok(
      system.logs.some(
        ({ event, result }) =>
          event === "attempt-ended" && result === "withheld",
      ),
    );
  });

  // The next page is asked for by the last name: one that no path can have
  // threw and ended the process, again after each start.
  for (const [kind, name] of [
    ["servers", "i-1\ud800"],
    ["evacuations", "dc9\udfff"],
  ] as const) {
    it(`an ill-formed name at the end of a page of ${kind} doesn't end the list`, async () => {
      system = new TestSystem();
      system.store.objectsPerPage = 2;
      await system.startStore();
      system.store.put("config", "main", createConfiguration());
      for (const other of ["dc8", "dcx"]) {
        if (kind === "evacuations") system.store.put(kind, other, {});
      }
      for (const id of ["i-0", "i-1", "i-2", "i-3"]) {
        if (kind !== "servers" || id !== "i-1")
          await system.startReplica({ id });
      }
      system.store.put(kind, name, createReplicaSpec(9));
      await system.startEntry();
      await system.waitFor(() => system.isReady);
      await system.waitFor(
        () => listEntries("endpoint-added", "i-3").length === 1,
      );
      assert.equal((await system.call("/safe/a")).status, 200);
    });
  }
});
