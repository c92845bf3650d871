import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { TestSystem } from "./entry_fixtures_test.js";

describe("an odd request of a caller", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  // The time limit of an attempt grows with the prompt, and Node's timers
  // fire at once from 2^31 ms on.
  it("of countless tokens is not taken from its endpoint at once", async () => {
    await system.start([
      { id: "i-1", delayMs: 100 },
      { id: "i-2", delayMs: 100 },
    ]);
    const answer = await system.call("/safe/a", {
      headers: { "token-counts": "999999999999999,1" },
    });
    assert.equal(answer.status, 200);
    assert.equal(system.listRuns("r1").length, 1);
  });
});
