import assert from "node:assert/strict";
import { readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BuiltEntryCommand,
  BuiltSystem,
  callEntry,
} from "./built_entry_fixtures_test.js";
import { EntryProcess } from "./entry_process_fixtures_test.js";

/** For how long the file is missing, ms. */
const FILE_LATE_MS = 600;
/** Above the time for which the entry tries again, ms. */
const GIVEN_UP_WITHIN_MS = 9_000;

describe("a start while the settings file is being written", () => {
  let system: BuiltSystem;
  let command: BuiltEntryCommand;
  let entry: EntryProcess;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
    command = await system.createCommand();
  });
  afterEach(async () => {
    await entry.kill();
    await system.close();
  });

  async function expectServes(): Promise<void> {
    const { callers } = command.ports;
    assert.ok(await entry.waitUntilReady(), entry.errorOutput + entry.output);
    assert.equal((await callEntry(callers, "/safe/a", "r-1")).status, 200);
  }

  // The platform may write the file as it starts the process.
  it("goes on once the settings file is there", async () => {
    const text = readFileSync(command.settingsFile);
    rmSync(command.settingsFile);
    entry = new EntryProcess(command);
    await delay(FILE_LATE_MS);
    writeFileSync(command.settingsFile, text);
    await expectServes();
  });

  it("goes on once the settings file is whole", async () => {
    const text = readFileSync(command.settingsFile);
    truncateSync(command.settingsFile, Math.floor(text.length / 2));
    entry = new EntryProcess(command);
    await delay(FILE_LATE_MS);
    writeFileSync(command.settingsFile, text);
    await expectServes();
  });

  for (const [name, text, message] of [
    ["is invalid", "node_name = ", /TomlError|Error/],
    ["lacks a key", 'node_name = "e"', /settings: ip is missing or invalid/],
  ] as const) {
    it(`ends with a message if the settings file ${name} for good`, async () => {
      writeFileSync(command.settingsFile, text);
      entry = new EntryProcess(command);
      const exit = await entry.waitForExit(GIVEN_UP_WITHIN_MS);
      assert.deepEqual(exit, { code: 2, signal: undefined });
      assert.match(entry.errorOutput, message);
    });
  }

  it("ends with exit 0 at a signal to stop", async () => {
    rmSync(command.settingsFile);
    entry = new EntryProcess(command);
    await delay(FILE_LATE_MS);
    entry.child.kill("SIGTERM");
    const exit = await entry.waitForExit(GIVEN_UP_WITHIN_MS);
    assert.deepEqual(exit, { code: 0, signal: undefined });
  });
});
