import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay, setImmediate } from "node:timers/promises";
import { createConfiguration, TestSystem } from "./entry_fixtures_test.js";
import {
  blockEventLoop,
  createRequestText,
  RawCaller,
} from "./raw_caller_fixtures_test.js";

const IDLE_TIMEOUT_MS = 500;
/** Node closes an idle connection this much later than it tells the caller. */
const IDLE_MARGIN_MS = 1_000;
const HEADER_TIMEOUT_MS = 500;
/** Longer than the interval at which overdue heads are looked for. */
const STALL_MS = 1_700;

// After a stall, timers run before the connections are read. A whole request
// may lie unread on a connection whose time seems to be up.
describe("an entry that was stalled", () => {
  let system: TestSystem;
  let caller: RawCaller | undefined;
  beforeEach(async () => {
    system = new TestSystem();
    await system.startStore();
    const configuration = createConfiguration();
    Object.assign(configuration.limits, {
      idle_timeout_ms: IDLE_TIMEOUT_MS,
      header_timeout_ms: HEADER_TIMEOUT_MS,
    });
    system.store.put("config", "main", configuration);
    await system.startReplica({ id: "i-1" });
    await system.startEntry();
    await system.waitFor(() => system.isReady);
  });
  afterEach(async () => {
    caller?.close();
    await system.close();
  });

  const connectAndCall = async () => {
    const newCaller = new RawCaller(system.callerPort);
    caller = newCaller;
    // The limits of the configuration hold from the first request on.
    for (const id of ["r0", "r1"]) {
      newCaller.write(createRequestText(id));
      await system.waitFor(() => newCaller.answers.at(-1)?.requestId === id);
    }
    return newCaller;
  };

  it("answers a request that came before the end of the idle time", async () => {
    const idleCaller = await connectAndCall();
    await delay(IDLE_TIMEOUT_MS);
    await setImmediate();
    idleCaller.write(createRequestText("r2", { path: "/once/a" }));
    blockEventLoop(IDLE_MARGIN_MS + 200);
    await system.waitFor(
      () => idleCaller.isClosed || idleCaller.answers.length === 3,
    );
    assert.equal(idleCaller.answers[2]?.status, 200);
  });

  it("answers a request whose head was complete in time", async () => {
    const slowCaller = await connectAndCall();
    const text = createRequestText("r2", { path: "/once/a" });
    slowCaller.write(text.slice(0, 30));
    await delay(100);
    await setImmediate();
    slowCaller.write(text.slice(30));
    blockEventLoop(STALL_MS);
    await system.waitFor(
      () => slowCaller.isClosed || slowCaller.answers.length === 3,
    );
    assert.equal(slowCaller.answers[2]?.status, 200);
  });

  it("closes a connection that is idle for longer", async () => {
    const idleCaller = await connectAndCall();
    await system.waitFor(() => idleCaller.isClosed);
    assert.equal(idleCaller.answers.length, 2);
  });
});
