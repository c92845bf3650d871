import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpObjectStore } from "../adapters/index.js";
import { openLink } from "./link.js";
import {
  createLocalTarget,
  expectFailure,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startTestStandin,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./testing.js";

async function startLinkedStore(t: TestContext) {
  const { target } = await startTestStandin(t, "object-store");
  const controller = new AbortController();
  const link = await openLink({
    targetPort: target.port,
    signal: controller.signal,
  });
  t.after(() => link.close());
  const connectStore = (timeoutMs: number) =>
    createHttpObjectStore({ ...createLocalTarget(link.port), timeoutMs });
  const direct = createHttpObjectStore(target);
  return { link, direct, connectStore, controller };
}

describe("link", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("tells callers that the target has not accepted", async (t) => {
    const { link, connectStore } = await startLinkedStore(t);
    const store = connectStore(TEST_TIMEOUT_MS);
    await store.write({ key: "a", value: 1, ifVersion: 0 }, NEVER_ABORTED);
    assert.deepEqual([...link.unacceptedPorts], []);
    const closed = createServer().listen(0, "127.0.0.1");
    await once(closed, "listening");
    const address = closed.address();
    const targetPort = typeof address === "object" ? (address?.port ?? 0) : 0;
    closed.close();
    const { signal } = new AbortController();
    const broken = await openLink({ targetPort, signal });
    t.after(() => broken.close());
    const caller = connect({ port: broken.port, host: "127.0.0.1" });
    caller.on("error", () => undefined);
    await once(caller, "connect");
    const { localPort } = caller;
    await new Promise((resolve) => caller.once("close", resolve));
    assert.deepEqual([...broken.unacceptedPorts], [localPort]);
  });

  it("holds bytes during a cut and delivers them when it is healed", async (t) => {
    const { link, connectStore, direct } = await startLinkedStore(t);
    const store = connectStore(TEST_TIMEOUT_MS);
    await store.write({ key: "a", value: 1, ifVersion: 0 }, NEVER_ABORTED);
    link.cut({ mode: "hold" });
    const held = store.write(
      { key: "a", value: 2, ifVersion: 1 },
      NEVER_ABORTED,
    );
    await sleep(100);
    assert.equal((await expectOk(direct.read("a", NEVER_ABORTED)))?.version, 1);
    link.heal();
    assert.equal(await expectOk(held), 2);
  });

  it("holds only replies, so that a write takes effect without an answer", async (t) => {
    const { link, connectStore, direct } = await startLinkedStore(t);
    const store = connectStore(400);
    link.cut({ mode: "hold", direction: "replies" });
    const lost = await store.write(
      { key: "a", value: 1, ifVersion: 0 },
      NEVER_ABORTED,
    );
    await expectFailure(lost, "outcome-unknown");
    assert.equal((await expectOk(direct.read("a", NEVER_ABORTED)))?.version, 1);
  });

  it("resets connections and refuses new ones until it is healed", async (t) => {
    const { link, connectStore } = await startLinkedStore(t);
    const store = connectStore(TEST_TIMEOUT_MS);
    const watch = store.watch(
      { key: "a", version: 0, waitMs: 4_000 },
      NEVER_ABORTED,
    );
    await sleep(50);
    link.cut({ mode: "reset" });
    await expectFailure(watch, "unavailable");
    assert.ok((await store.read("a", NEVER_ABORTED)).isErr());
    link.heal();
    assert.ok((await store.read("a", NEVER_ABORTED)).isOk());
  });

  it("delays a large value in both directions and keeps its order", async (t) => {
    const { link, connectStore } = await startLinkedStore(t);
    const store = connectStore(TEST_TIMEOUT_MS);
    const value = Array.from({ length: 100_000 }, (_, index) => index);
    link.delay(100);
    const startedMs = performance.now();
    await store.write({ key: "a", value, ifVersion: 0 }, NEVER_ABORTED);
    const tookMs = performance.now() - startedMs;
    assert.ok(tookMs >= 200, `Write took ${tookMs} ms`);
    assert.deepEqual(
      (await expectOk(store.read("a", NEVER_ABORTED)))?.value,
      value,
    );
  });

  it("closes when its signal aborts", async (t) => {
    const { link, connectStore, controller } = await startLinkedStore(t);
    const store = connectStore(TEST_TIMEOUT_MS);
    assert.ok((await store.read("a", NEVER_ABORTED)).isOk());
    controller.abort();
    await expectFailure(store.read("a", NEVER_ABORTED), "unavailable");
    // A connection that was closing would keep the process from ending.
    await waitUntil(async () => link.openConnections === 0);
  });
});
