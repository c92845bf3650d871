import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { ObjectStore, StoredObject } from "../adapters/index.js";
import { createTestState } from "../core/gate_fixtures_test.js";
import { type LoadOrder, VersionLoader } from "./version_loader.js";

const LEASE_MS = 4_000;
const NEVER_ABORTED = new AbortController().signal;
const SILENT_LOG = { info() {}, warn() {}, error() {} };

function createMemoryStore(onRead: (key: string) => void): ObjectStore {
  const objects = new Map<string, StoredObject>();
  return {
    read: (key) => {
      onRead(key);
      return okAsync(objects.get(key));
    },
    write: ({ key, value, ifVersion }) => {
      if ((objects.get(key)?.version ?? 0) !== ifVersion) {
        return errAsync({ kind: "conflict", key });
      }
      const version = ifVersion + 1;
      objects.set(key, { key, version, value });
      return okAsync(version);
    },
    list: () => okAsync([]),
    watch: ({ key }) => okAsync(objects.get(key)),
  };
}

function createFixture(honoursFencing: boolean) {
  const clock = { nowMs: 0 };
  const sentOrders: LoadOrder[] = [];
  const loaded: string[] = [];
  const endpoints = { ep1: { name: "ep1", versions: ["small-1", "small-2"] } };
  /** Called at points where a test advances the clock, as a pause would. */
  const hooks = { onOrder: () => {}, onRead: (_key: string) => {} };
  const store = createMemoryStore((key) => hooks.onRead(key));
  const createLoader = (epoch: string) =>
    new VersionLoader({
      endpoint: "ep1",
      epoch,
      honoursFencing,
      store,
      config: {
        state: { ...createTestState(), endpoints },
        checkFreshness: () => undefined,
        fetchRevision: async () => {},
        addListener() {},
      },
      sendLoadOrder: (order) => {
        sentOrders.push(order);
        return ResultAsync.fromSafePromise(
          Promise.resolve().then(() => {
            hooks.onOrder();
            loaded.push(order.version);
          }),
        );
      },
      listLoadedVersions: () => loaded,
      log: SILENT_LOG,
      getNowMs: () => clock.nowMs,
      getRandom: () => 0,
      leaseMs: LEASE_MS,
    });
  return { clock, sentOrders, loaded, hooks, createLoader };
}

describe("version loader", { timeout: 20_000 }, () => {
  it("loads the assigned versions, and nothing once all are loaded", async () => {
    const { sentOrders, createLoader } = createFixture(false);
    const loader = createLoader("a");
    assert.equal(await loader.load("small-1", NEVER_ABORTED), "loaded");
    assert.equal(await loader.load("small-2", NEVER_ABORTED), "loaded");
    assert.equal(loader.findMissingVersion(), undefined);
    assert.equal(await loader.load("small-2", NEVER_ABORTED), "not-needed");
    assert.equal(sentOrders.length, 2);
  });

  it("sends no order after its lease expired during a pause", async () => {
    const { clock, sentOrders, createLoader } = createFixture(false);
    const pausedLoader = createLoader("a");
    const otherLoader = createLoader("b");
    assert.equal(await pausedLoader.load("small-1", NEVER_ABORTED), "loaded");
    // The engine ignores fencing, so the lease must expire first.
    assert.equal(await otherLoader.load("small-2", NEVER_ABORTED), "no-lease");
    clock.nowMs += LEASE_MS - 1;
    assert.equal(await otherLoader.load("small-2", NEVER_ABORTED), "no-lease");
    clock.nowMs += 1;
    assert.equal(await otherLoader.load("small-2", NEVER_ABORTED), "loaded");
    assert.equal(await pausedLoader.load("small-2", NEVER_ABORTED), "no-lease");
    assert.equal(sentOrders.length, 2);
  });

  it("sends no order if its lease expires while it acquires a slot", async () => {
    const { clock, sentOrders, hooks, createLoader } = createFixture(true);
    hooks.onRead = (key) => {
      if (key.startsWith("leases/weights/")) clock.nowMs += LEASE_MS;
    };
    assert.equal(
      await createLoader("a").load("small-1", NEVER_ABORTED),
      "lost",
    );
    assert.equal(sentOrders.length, 0);
  });

  it("reports an order as lost if its lease expired during the order", async () => {
    const { clock, sentOrders, hooks, createLoader } = createFixture(false);
    hooks.onOrder = () => {
      clock.nowMs += LEASE_MS;
    };
    const loader = createLoader("a");
    assert.equal(await loader.load("small-1", NEVER_ABORTED), "lost");
    hooks.onOrder = () => {};
    assert.equal(await loader.load("small-2", NEVER_ABORTED), "loaded");
    assert.ok((sentOrders[1]?.fence ?? 0) > (sentOrders[0]?.fence ?? 0));
  });

  it("takes over at once with a higher fencing number if the engine honours fencing", async () => {
    const { sentOrders, createLoader } = createFixture(true);
    assert.equal(
      await createLoader("a").load("small-1", NEVER_ABORTED),
      "loaded",
    );
    assert.equal(
      await createLoader("b").load("small-2", NEVER_ABORTED),
      "loaded",
    );
    assert.deepEqual(
      sentOrders.map(({ fence }) => fence),
      [1, 2],
    );
  });
});
