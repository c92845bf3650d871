import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { ObjectStore, StoredObject } from "../adapters/index.js";
import { createTestState } from "../core/gate_fixtures_test.js";
import { EngineOrders, type LoadOrder } from "./endpoint_orders.js";

const LEASE_MS = 4_000;
const SIGNAL = new AbortController().signal;
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

function createRig(honoursFencing: boolean) {
  const clock = { nowMs: 0 };
  const sent: LoadOrder[] = [];
  const loaded: string[] = [];
  const endpoints = { ep1: { name: "ep1", versions: ["small-1", "small-2"] } };
  /** Where a test lets time pass, such as by a pause. */
  const hooks = { duringOrder: () => {}, onRead: (_key: string) => {} };
  const store = createMemoryStore((key) => hooks.onRead(key));
  const createOrders = (epoch: string) =>
    new EngineOrders({
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
      orderEngine: (order) => {
        sent.push(order);
        return ResultAsync.fromSafePromise(
          Promise.resolve().then(() => {
            hooks.duringOrder();
            loaded.push(order.version);
          }),
        );
      },
      listLoaded: () => loaded,
      log: SILENT_LOG,
      getNowMs: () => clock.nowMs,
      getRandom: () => 0,
      leaseMs: LEASE_MS,
    });
  return { clock, sent, loaded, hooks, createOrders };
}

describe("engine orders", { timeout: 20_000 }, () => {
  it("loads assigned versions, and nothing when all are loaded", async () => {
    const { sent, createOrders } = createRig(false);
    const orders = createOrders("a");
    assert.equal(await orders.load("small-1", SIGNAL), "loaded");
    assert.equal(await orders.load("small-2", SIGNAL), "loaded");
    assert.equal(orders.findMissing(), undefined);
    assert.equal(await orders.load("small-2", SIGNAL), "not-needed");
    assert.equal(sent.length, 2);
  });

  it("sends no order after its lease lapsed in a pause", async () => {
    const { clock, sent, createOrders } = createRig(false);
    const paused = createOrders("a");
    const other = createOrders("b");
    assert.equal(await paused.load("small-1", SIGNAL), "loaded");
    // The other must wait out the lease, as the engine ignores fencing.
    assert.equal(await other.load("small-2", SIGNAL), "no-lease");
    clock.nowMs += LEASE_MS - 1;
    assert.equal(await other.load("small-2", SIGNAL), "no-lease");
    clock.nowMs += 1;
    assert.equal(await other.load("small-2", SIGNAL), "loaded");
    assert.equal(await paused.load("small-2", SIGNAL), "no-lease");
    assert.equal(sent.length, 2);
  });

  it("sends no order when its lease lapses while it awaits a slot", async () => {
    const { clock, sent, hooks, createOrders } = createRig(true);
    hooks.onRead = (key) => {
      if (key.startsWith("leases/weights/")) clock.nowMs += LEASE_MS;
    };
    assert.equal(await createOrders("a").load("small-1", SIGNAL), "lost");
    assert.equal(sent.length, 0);
  });

  it("does not count an order during which its lease lapsed", async () => {
    const { clock, sent, hooks, createOrders } = createRig(false);
    hooks.duringOrder = () => {
      clock.nowMs += LEASE_MS;
    };
    const orders = createOrders("a");
    assert.equal(await orders.load("small-1", SIGNAL), "lost");
    hooks.duringOrder = () => {};
    assert.equal(await orders.load("small-2", SIGNAL), "loaded");
    assert.ok((sent[1]?.fence ?? 0) > (sent[0]?.fence ?? 0));
  });

  it("takes over at once, with a higher fence, if the engine checks it", async () => {
    const { sent, createOrders } = createRig(true);
    assert.equal(await createOrders("a").load("small-1", SIGNAL), "loaded");
    assert.equal(await createOrders("b").load("small-2", SIGNAL), "loaded");
    assert.deepEqual(
      sent.map(({ fence }) => fence),
      [1, 2],
    );
  });
});
