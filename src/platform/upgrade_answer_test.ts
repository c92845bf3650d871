import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { BuiltSystem } from "./built_entry_fixtures_test.js";

/** Several rounds of messages between entries, ms. */
const ROUNDS_MS = 1_200;

describe("an answer with status 101", () => {
  const SWITCH =
    "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n";
  let system: BuiltSystem;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
  });
  afterEach(async () => await system.close());

  // No event told the end of such a call, so it was open for good.
  it("of the store ends the call at once", async () => {
    let calls = 0;
    const storePort = await system.startRawServer((socket) => {
      calls++;
      socket.write(SWITCH);
    });
    const entry = await system.startEntry({ storePort });
    await delay(ROUNDS_MS);
    assert.equal(entry.exit, undefined);
    assert.match(system.readLog(), /event=store-lost .*101/);
    assert.ok(calls > 6, `${calls} calls`);
  });

  it("of another entry ends the call at once", async () => {
    let calls = 0;
    let closed = 0;
    const port = await system.startRawServer((socket) => {
      calls++;
      socket.once("close", () => closed++);
      socket.write(SWITCH);
    });
    const entry = await system.startEntry({ seeds: [`127.0.0.1:${port}`] });
    await delay(2 * ROUNDS_MS);
    assert.equal(entry.exit, undefined);
    assert.ok(calls > 2, `${calls} calls`);
    assert.ok(closed >= calls - 1, `${closed} of ${calls} closed`);
  });
});
