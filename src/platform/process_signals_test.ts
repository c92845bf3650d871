import assert from "node:assert/strict";
import { existsSync, writeFileSync } from "node:fs";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { BuiltSystem, SOUND_DEADLINE_MS } from "./built_entry_fixtures_test.js";
import { EntryProcess, occupyPort } from "./entry_process_fixtures_test.js";

/** The entry's first lines have run by then, and the rest is still loading, ms. */
const FIRST_LINES_MS = 15;
const CHECK_INTERVAL_MS = 2;
/** The fixture's grace period and time for the end of the process, ms. */
const STOPPED_WITHIN_MS = 4_500;

describe("a signal while the program is loading", () => {
  let system: BuiltSystem;
  let entry: EntryProcess;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
  });
  afterEach(async () => {
    await entry.kill();
    await system.close();
  });

  /** Resolves soon after the first line of the program has run. */
  async function startLoading(): Promise<void> {
    const command = await system.createCommand();
    const marker = `${command.settingsFile}.loading`;
    // Runs before the entry's own file, in the same turn of the event loop.
    const preload = `${command.settingsFile}.cjs`;
    writeFileSync(
      preload,
      `require("node:fs").writeFileSync(${JSON.stringify(marker)}, "");`,
    );
    const nodeFlags = [...command.nodeFlags, "--require", preload];
    entry = new EntryProcess({ ...command, nodeFlags });
    while (!existsSync(marker)) await delay(CHECK_INTERVAL_MS);
    await delay(FIRST_LINES_MS);
  }

  // Whoever reloads all processes of a host may come upon one that starts.
  it("does not end it if it asks for a reload", async () => {
    await startLoading();
    assert.doesNotMatch(entry.output, /event=started/);
    entry.child.kill("SIGHUP");
    assert.ok(await entry.waitUntilReady(), JSON.stringify(entry.exit));
    assert.match(entry.output, /event=reloaded/);
  });

  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    it(`ends it as planned if it is ${signal}`, async () => {
      await startLoading();
      assert.doesNotMatch(entry.output, /event=started/);
      entry.child.kill(signal);
      const exit = await entry.waitForExit(STOPPED_WITHIN_MS);
      assert.deepEqual(exit, { code: 0, signal: undefined });
      assert.match(entry.output, /event=stopped/);
    });
  }

  // The process of a host that is taken away must not outlive its grace period.
  it("is not lost while a port is still taken", async () => {
    const command = await system.createCommand();
    const server = await occupyPort(command.ports.control);
    entry = new EntryProcess(command);
    await delay(SOUND_DEADLINE_MS);
    entry.child.kill("SIGTERM");
    const exit = await entry.waitForExit(STOPPED_WITHIN_MS);
    server.close();
    assert.deepEqual(exit, { code: 0, signal: undefined });
  });
});
