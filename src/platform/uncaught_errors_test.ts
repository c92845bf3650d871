import assert from "node:assert/strict";
import { writeFileSync } from "node:fs";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BuiltEntryCommand,
  BuiltSystem,
  callEntry,
} from "./built_entry_fixtures_test.js";
import { EntryProcess } from "./entry_process_fixtures_test.js";

/** Runs before the entry's own file: each signal is an error without a handler. */
const PRELOAD = `
let isRejection = false;
process.on("SIGUSR2", () => {
  isRejection = !isRejection;
  if (isRejection) void Promise.reject(new Error("rejected by the test"));
  else throw new Error("thrown by the test");
});
`;
const SIGNAL_INTERVAL_MS = 50;
/** The fixture's grace period and time for the end of the process, ms. */
const STOPPED_WITHIN_MS = 5_000;

describe("an error that no part of the entry handles", () => {
  let system: BuiltSystem;
  let command: BuiltEntryCommand;
  let entry: EntryProcess;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
    command = await system.createCommand();
    const preload = `${command.settingsFile}.cjs`;
    writeFileSync(preload, PRELOAD);
    const nodeFlags = [...command.nodeFlags, "--require", preload];
    entry = new EntryProcess({ ...command, nodeFlags });
    assert.ok(await entry.waitUntilReady());
  });
  afterEach(async () => {
    await entry.kill();
    await system.close();
  });

  async function causeErrors(count: number): Promise<void> {
    for (let i = 0; i < count; i++) {
      entry.child.kill("SIGUSR2");
      await delay(SIGNAL_INTERVAL_MS);
    }
  }

  // The requests of all other connections would end with the process.
  it("is logged, and the others are served", async () => {
    await causeErrors(2);
    const { callers } = command.ports;
    assert.equal((await callEntry(callers, "/safe/a", "r-1")).status, 200);
    for (const what of ["rejected", "thrown"]) {
      const line = new RegExp(`event=error-uncaught .*${what} by the test`);
      assert.match(entry.output, line);
    }
  });

  // A process with a broken part must make way for a new one.
  it("ends the process as planned if it comes again and again", async () => {
    await causeErrors(6);
    const { callers } = command.ports;
    assert.equal((await callEntry(callers, "/safe/a", "r-1")).status, 200);
    const exit = await entry.waitForExit(STOPPED_WITHIN_MS);
    assert.deepEqual(exit, { code: 1, signal: undefined });
    assert.match(entry.output, /event=stop-requested .*errors/);
    assert.match(entry.output, /event=stopped/);
  });
});
