import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";

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
});
