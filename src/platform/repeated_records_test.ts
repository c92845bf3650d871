import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { BuiltSystem } from "./built_entry_fixtures_test.js";

describe("an odd record that is written again and again", () => {
  // Each of a hundred entries would log each of its beats.
  it("is logged once in a while", async () => {
    const system = new BuiltSystem();
    await system.start();
    try {
      const entry = await system.startEntry();
      for (let i = 0; i < 5; i++) {
        system.store.put("servers", "odd", { service: 7, beat: i });
        system.store.put("rollouts", "odd", { target: 7, beat: i });
        await delay(700);
      }
      assert.equal(entry.exit, undefined);
      for (const event of ["endpoint-skipped", "rollout-skipped"]) {
        const lines = system.readLog().split(`event=${event} `).length - 1;
        assert.equal(lines, 1, event);
      }
    } finally {
      await system.close();
    }
  });
});
