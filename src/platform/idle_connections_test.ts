import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import { createRequestText, RawCaller } from "./raw_caller_fixtures_test.js";

const SHORT_MS = 500;
const LONG_MS = 3_000;

describe("an idle connection of a caller", () => {
  let system: TestSystem;
  let caller: RawCaller;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    caller.close();
    await system.close();
  });

  async function setIdleTime(ms: number, version: number): Promise<void> {
    const configuration = createConfiguration(version);
    configuration.limits.idle_timeout_ms = ms;
    system.store.put("config", "main", configuration);
    await system.waitFor(() =>
      system.logs.some(
        ({ event, version: inForce }) =>
          event === "configuration-in-force" && inForce === version,
      ),
    );
  }

  async function startIdle(): Promise<void> {
    await system.start([{ id: "i-1" }]);
    await setIdleTime(SHORT_MS, 2);
    caller = new RawCaller(system.callerPort);
    caller.write(createRequestText("first"));
    await system.waitFor(() => caller.answers.length === 1);
  }

  // It was closed at the idle time of an older configuration, and a request
  // that crossed the close got no answer.
  it("is kept for the idle time of the newest configuration", async () => {
    await startIdle();
    await setIdleTime(LONG_MS, 3);
    await delay(0.8 * LONG_MS);
    assert.equal(caller.isClosed, false);
    caller.write(createRequestText("second"));
    await system.waitFor(() => caller.answers.length === 2 || caller.isClosed);
    assert.deepEqual(
      caller.answers.map(({ status }) => status),
      [200, 200],
    );
    await delay(0.5 * LONG_MS);
    assert.equal(caller.isClosed, false, "the time begins anew");
    await system.waitFor(() => caller.isClosed);
  });

  it("is closed at that time", async () => {
    await startIdle();
    const startedAtMs = performance.now();
    await setIdleTime(LONG_MS, 3);
    await system.waitFor(() => caller.isClosed);
    const ms = performance.now() - startedAtMs;
    assert.ok(ms > LONG_MS - 100 && ms < LONG_MS + 1_600, `${ms} ms`);
  });
});
