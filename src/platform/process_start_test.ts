import assert from "node:assert/strict";
import type { Server } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BuiltEntryCommand,
  BuiltSystem,
  callEntry,
} from "./built_entry_fixtures_test.js";
import { EntryProcess, occupyPort } from "./entry_process_fixtures_test.js";

/** For how long a port is taken, ms. */
const PORT_TAKEN_MS = 1_200;
/** Above the time for which the entry tries again, ms. */
const GIVEN_UP_WITHIN_MS = 9_000;

describe("a start while a port is taken", () => {
  let system: BuiltSystem;
  let command: BuiltEntryCommand;
  let entry: EntryProcess;
  let server: Server | undefined;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
    command = await system.createCommand();
  });
  afterEach(async () => {
    server?.close();
    await entry.kill();
    await system.close();
  });

  async function expectServes(): Promise<void> {
    const { callers } = command.ports;
    assert.ok(await entry.waitUntilReady(), entry.errorOutput + entry.output);
    assert.equal((await callEntry(callers, "/safe/a", "r-1")).status, 200);
  }

  // The process before it may not have ended yet.
  for (const name of ["callers", "readiness", "control", "metrics"] as const) {
    it(`goes on once the port for ${name} is free`, async () => {
      server = await occupyPort(command.ports[name]);
      entry = new EntryProcess(command);
      await delay(PORT_TAKEN_MS);
      assert.equal(entry.exit, undefined, entry.output);
      server.close();
      await expectServes();
      assert.match(entry.output, /event=port-taken/);
    });
  }

  it("ends with a message if a port stays taken", async () => {
    server = await occupyPort(command.ports.control);
    entry = new EntryProcess(command);
    const exit = await entry.waitForExit(GIVEN_UP_WITHIN_MS);
    assert.deepEqual(exit, { code: 1, signal: undefined });
    assert.match(entry.output, /event=failed .*EADDRINUSE/);
  });
});
