import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { TestSystem } from "./entry_fixtures_test.js";

const ROLLOUT = { service: "svc", target: "v2", duration_s: 20 };
/** One in twenty goes to the new version at first. */
const CALLS_PER_ROUND = 20;
const MAX_ROUNDS = 60;

describe("a new version that rejects the requests of sound callers", () => {
  let system: TestSystem;
  afterEach(async () => await system.close());

  const getState = () => {
    const status = system.store.getStatus("rollouts", "svc");
    return (status as { state?: string } | null)?.state;
  };
  const findDecision = () =>
    system.logs.find(({ event }) => event === "rollout-decided");

  // Only errors of the endpoint counted against a version, so it was completed
  // and served alone from then on.
  for (const [name, path, failureStatus] of [
    ["404", "/safe/a", 404],
    ["302 for a request that may run once", "/once/a", 302],
    ["422 in place of a stream", "/stream/a", 422],
  ] as const) {
    it(`is rolled back (status ${name})`, async () => {
      system = new TestSystem();
      await system.start([{ id: "i-1" }, { id: "i-2" }]);
      const rejecting = { isFailing: true, failureStatus };
      await system.startReplica({ id: "i-3", ...rejecting }, { version: "v2" });
      system.store.put("rollouts", "svc", ROLLOUT);
      await system.waitFor(() =>
        system.logs.some(({ event }) => event === "rollout-ordered"),
      );
      for (let round = 0; round < MAX_ROUNDS; round++) {
        const isDecided = getState() === "rolled_back";
        if (isDecided) break;
        const calls = Array.from({ length: CALLS_PER_ROUND }, (_, index) =>
          system.call(path, { id: `r-${round}-${index}` }),
        );
        await Promise.all(calls);
      }
      await system.waitFor(() => getState() !== undefined);
      assert.equal(getState(), "rolled_back");
      // Logged once the store's answer to the write has come.
      await system.waitFor(() => findDecision() !== undefined);
      assert.match(String(findDecision()?.reason), /rejected the request/);
      const rejected = system.replicas.get("i-3")?.runs.length ?? 0;
      assert.ok(rejected < 50, `${rejected} answers of the bad version`);
    });
  }
});
