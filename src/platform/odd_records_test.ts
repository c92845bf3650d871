import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { TestSystem } from "./entry_fixtures_test.js";

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
});
