import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  type BuiltEntryCommand,
  BuiltSystem,
  callEntry,
} from "./built_entry_fixtures_test.js";
import {
  EntryProcess,
  type EntryProcessOptions,
} from "./entry_process_fixtures_test.js";

/** The fixture's grace period and time for the end of the process, ms. */
const STOPPED_WITHIN_MS = 5_000;
const CALLS_AT_ONCE = 25;
const DEADLINE_MS = 4_000;

describe("an entry whose log has no reader", () => {
  let system: BuiltSystem;
  let command: BuiltEntryCommand;
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

  async function start(options: EntryProcessOptions = {}): Promise<void> {
    command = await system.createCommand();
    entry = new EntryProcess(command, options);
    assert.ok(await entry.waitUntilReady());
  }

  /** Each request is a line of the log. */
  async function expectServes(count: number): Promise<void> {
    const { callers } = command.ports;
    for (let i = 0; i < count; i += CALLS_AT_ONCE) {
      const calls = Array.from({ length: CALLS_AT_ONCE }, (_, index) =>
        callEntry(callers, "/safe/a", `r-${i + index}`, DEADLINE_MS),
      );
      for (const { id, status } of await Promise.all(calls)) {
        assert.equal(status, 200, `${id}: ${JSON.stringify(entry.exit)}`);
      }
    }
  }

  // Each further line was an error event that nobody handled, and exit 1.
  it("serves on when the reader goes away", async () => {
    await start();
    entry.child.stdout?.destroy();
    entry.child.stderr?.destroy();
    await expectServes(50);
    entry.child.kill("SIGTERM");
    const exit = await entry.waitForExit(STOPPED_WITHIN_MS);
    assert.deepEqual(exit, { code: 0, signal: undefined });
  });

  // A write to the full pipe held up the stop until the process was killed.
  it("stops within its grace period when the reader has stopped reading", async () => {
    await start({ isOutputUnread: true });
    // Their lines are more than the pipe and what the process has in work hold.
    await expectServes(1_500);
    entry.child.kill("SIGTERM");
    const exit = await entry.waitForExit(STOPPED_WITHIN_MS);
    assert.deepEqual(exit, { code: 0, signal: undefined });
  });

  it("gets its last lines to a reader that is there", async () => {
    await start();
    await expectServes(200);
    entry.child.kill("SIGTERM");
    await entry.waitForExit(STOPPED_WITHIN_MS);
    assert.match(entry.output, /event=stopped[^\n]*\n$/);
  });
});
