import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  createSuspendClock,
  FleetView,
  Freshness,
  Rollouts,
} from "../proxy/index.js";
import { type RunningServer, startServer } from "../standins/server.js";
import { delay } from "../testbed/delay.js";
import { createConfiguration } from "./entry_fixtures_test.js";
import { FleetSync } from "./fleet_sync.js";
import { createReplicaSpec } from "./standins/replica.js";
import { PlatformStoreStandin } from "./standins/store.js";
import { OBJECT_KIND, StoreClient } from "./store_client.js";
import { StoreEra } from "./store_era.js";

const LOG = { debug() {}, info() {}, warn() {}, error() {} };
const BOUNDS = { configMs: 2_000, drainMs: 2_000, evacuationMs: 5_000 };
const MAX_CONFIG_AGE_MS = 5_000;
/** Time until the entry has listed all kinds and watches them, ms. */
const SETTLE_MS = 1_500;
const CALM_MS = 8_000;
/** Calls of one entry in that time when nothing changes. */
const MAX_CALM_CALLS = 14;

describe("an entry whose connections to the store go silent", () => {
  let store: PlatformStoreStandin;
  let view: FleetView;
  let controller: AbortController;
  let server: RunningServer;
  /** Kinds of the calls that wait now. */
  let waiting: Set<{ readonly kind: string; isSilent: boolean }>;

  beforeEach(async () => {
    store = new PlatformStoreStandin();
    store.put("config", "main", createConfiguration(1));
    store.put("servers", "i-1", createReplicaSpec(1));
    waiting = new Set();
    controller = new AbortController();
    server = await startServer(async (call) => {
      const [, , kind = ""] = call.path;
      const open = { kind, isSilent: false };
      waiting.add(open);
      const reply = await store.handle(call);
      waiting.delete(open);
      return open.isSilent ? undefined : reply;
    }, 0);
    startSync();
    await delay(SETTLE_MS);
  });
  afterEach(async () => {
    controller.abort();
    await server.close();
  });

  function startSync(): void {
    const { signal } = controller;
    const clock = createSuspendClock();
    const freshness = new Freshness(clock, () => void sync.confirmNow());
    view = new FleetView(new Rollouts("e1", 0.15));
    const era = new StoreEra(() => void sync.startRestore());
    const sync = new FleetSync({
      era,
      getPeerConfigVersion: () => 0,
      store: new StoreClient({
        era,
        address: "127.0.0.1",
        port: server.port,
        onCall: () => {},
        signal,
      }),
      view,
      freshness,
      clock,
      now: () => performance.now(),
      random: Math.random,
      log: LOG,
      maxConfigAgeMs: MAX_CONFIG_AGE_MS,
      bounds: BOUNDS,
      selfName: "e1",
      listNeighbours: () => [],
      onNewsAnswer: () => {},
      onEndpointRemoved: () => {},
      signal,
    });
    void sync.run();
  }

  /**
   * Open connections that carry calls of these kinds go silent for good, just
   * after a call for the configuration was sent.
   */
  async function silence(kinds: readonly string[]): Promise<void> {
    const countCalls = () => store.callsByKind.get("config") ?? 0;
    const before = countCalls();
    await measure(() => countCalls() > before);
    for (const open of waiting)
      if (kinds.includes(open.kind)) open.isSilent = true;
  }

  async function measure(isDone: () => boolean): Promise<number> {
    const startedAtMs = performance.now();
    while (!isDone() && performance.now() - startedAtMs < 8_000)
      await delay(10);
    return performance.now() - startedAtMs;
  }

  const isEndpointGone = () => view.listUsableEndpoints("svc").length === 0;
  const allKinds = Object.values(OBJECT_KIND);

  // A watch was given up only after its wait, whatever the bound, so requests
  // were sent to an endpoint that had left, and were lost with its end.
  for (const [name, kinds] of [
    ["all connections", allKinds],
    ["the endpoints' connection", [OBJECT_KIND.endpoints]],
  ] as const) {
    it(`hears in time that an endpoint leaves where ${name} went silent`, async () => {
      await silence(kinds);
      store.put("servers", "i-1", createReplicaSpec(1, { state: "draining" }));
      const ms = await measure(isEndpointGone);
      assert.ok(ms < BOUNDS.drainMs + 200, `after ${Math.round(ms)} ms`);
    });
  }

  for (const [name, kinds] of [
    ["all connections", allKinds],
    ["the evacuations' connection", [OBJECT_KIND.evacuations]],
  ] as const) {
    it(`hears in time of an evacuation where ${name} went silent`, async () => {
      await silence(kinds);
      store.put("evacuations", "dc1", {});
      const ms = await measure(isEndpointGone);
      assert.ok(ms < BOUNDS.evacuationMs, `after ${Math.round(ms)} ms`);
    });
  }

  const listVersions = () =>
    view.listUsableEndpoints("svc").map(({ record }) => record.version);

  // Half of the requests went to a new version until its order was read, 8 s
  // later, however many of its answers were bad.
  it("uses no new version before its order where the orders' connection went silent", async () => {
    await silence([OBJECT_KIND.rollouts]);
    const order = { service: "svc", target: "v2", duration_s: 20 };
    store.put("rollouts", "svc", order);
    store.put("servers", "i-2", createReplicaSpec(2, { version: "v2" }));
    let isUsedTooEarly = false;
    const ms = await measure(() => {
      const isOrdered = view.rollouts.getOrder("svc") !== undefined;
      isUsedTooEarly ||= !isOrdered && listVersions().includes("v2");
      return isOrdered;
    });
    assert.equal(isUsedTooEarly, false);
    assert.ok(ms < 1_000, `ordered after ${Math.round(ms)} ms`);
  });

  it("soon uses a new version that no order names", async () => {
    await silence([OBJECT_KIND.rollouts]);
    const countCalls = () => store.callsByKind.get("rollouts") ?? 0;
    const before = countCalls();
    for (const id of ["i-2", "i-3"]) {
      const port = Number(id.slice(2));
      store.put("servers", id, createReplicaSpec(port, { version: "v2" }));
    }
    const ms = await measure(() => listVersions().length === 3);
    assert.ok(ms < 1_000, `used after ${Math.round(ms)} ms`);
    await delay(500);
    // The call at once, and the watch after it.
    assert.ok(countCalls() - before <= 2, `${countCalls() - before} calls`);
  });

  // Calls are priced, and most days are calm.
  it("makes few calls while nothing changes", async () => {
    const countCalls = () =>
      [...store.callsByKind.values()].reduce((sum, count) => sum + count, 0);
    const before = countCalls();
    await delay(CALM_MS);
    const calls = countCalls() - before;
    assert.ok(calls <= MAX_CALM_CALLS, `${calls} calls`);
  });

  // A change of another kind must not renew the endpoints' watch for ever.
  it("makes few calls after a change of another kind", async () => {
    const countCalls = () => store.callsByKind.get("servers") ?? 0;
    store.put("rollouts", "other", {});
    const before = countCalls();
    await delay(CALM_MS);
    const calls = countCalls() - before;
    assert.ok(calls <= 4, `${calls} calls`);
  });
});
