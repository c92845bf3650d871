import assert from "node:assert/strict";
import { connect } from "node:net";
import { describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { BuiltSystem, callEntry } from "./built_entry_fixtures_test.js";
import { EntryProcess } from "./entry_process_fixtures_test.js";

describe("an entry without descriptors left", () => {
  const MAX_DESCRIPTORS = 400;
  const CONNECTIONS = 700;

  // Connections that are held open must cost no more than the refusal of others.
  it("does not end and serves again once connections close", async () => {
    const system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
    const command = await system.createCommand();
    const entry = new EntryProcess(command, {
      maxDescriptors: MAX_DESCRIPTORS,
    });
    try {
      assert.ok(await entry.waitUntilReady());
      for (let round = 0; round < 2; round++) {
        const sockets = Array.from({ length: CONNECTIONS }, () =>
          connect(command.ports.callers, "127.0.0.1").on(
            "error",
            () => undefined,
          ),
        );
        await delay(800);
        assert.equal(entry.exit, undefined);
        for (const socket of sockets) socket.destroy();
        await delay(200);
        const { callers } = command.ports;
        const answer = await callEntry(callers, "/safe/a", `r-${round}`);
        assert.equal(answer.status, 200);
      }
    } finally {
      await entry.kill();
      await system.close();
    }
  });
});
