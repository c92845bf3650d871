import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointRecord } from "../types.js";
import { EndpointTable } from "./endpoint_table.js";
import { FleetView } from "./fleet_view.js";
import { Rollouts } from "./rollouts.js";

function createRecord(
  id: string,
  fields: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id,
    service: "svc",
    address: "10.0.0.1",
    port: 80,
    dataCentre: "dc1",
    version: "v1",
    slots: 8,
    isLeaving: false,
    coldLeftMs: 0,
    startedAtMs: 1,
    ...fields,
  };
}

const listIds = (table: EndpointTable) =>
  table.list("svc").map(({ record }) => record.id);

describe("endpoint table", () => {
  it("gives no endpoint that leaves or is gone", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.put(createRecord("b"), 0);
    table.put(createRecord("a", { isLeaving: true }), 1);
    table.remove("b", 1);
    assert.deepEqual(listIds(table), []);
  });

  // Records lapse while the store is away though their endpoints serve on.
  it("keeps lapsed records until a grace after the store's return ends", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.put(createRecord("b"), 0);
    table.startGrace(10_000);
    table.replaceAll([], 10_100);
    assert.deepEqual(listIds(table), ["a", "b"]);
    table.put(createRecord("b"), 11_000);
    assert.deepEqual(table.expire(11_900), []);
    table.expire(12_000);
    assert.deepEqual(listIds(table), ["b"]);
  });

  // The word of the old life would keep the new one out for ever.
  it("keeps the wishes of a life whose record vanished, not of the next", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.get("a")?.wishes.setLeaving();
    table.remove("a", 10);
    table.put(createRecord("a"), 20);
    assert.deepEqual(listIds(table), []);
    table.remove("a", 30);
    table.put(createRecord("a", { startedAtMs: 2 }), 40);
    assert.deepEqual(listIds(table), ["a"]);
  });

  it("gives no grace to an endpoint that had said it leaves", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { isLeaving: true }), 0);
    table.startGrace(10_000);
    table.replaceAll([], 10_100);
    assert.equal(table.size, 0);
  });

  // A second life under the same id knows nothing and is slow at first.
  it("starts anew with a second life of the same id", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    const first = table.get("a");
    if (first) first.slowness = 5;
    table.put(createRecord("a", { startedAtMs: 2, coldLeftMs: 3_000 }), 1_000);
    const second = table.get("a");
    assert.equal(second?.slowness, 1);
    assert.equal(second?.isCold(3_999), true);
    assert.equal(second?.isCold(4_001), false);
  });

  it("holds work back from a cold endpoint to what it bears", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { coldLeftMs: 3_000 }), 0);
    const state = table.get("a");
    let sent = 0;
    for (let nowMs = 1; nowMs <= 1_000; nowMs++) {
      if (!state?.hasColdCredit(4, nowMs)) continue;
      state.spendColdCredit(4, nowMs);
      sent++;
    }
    assert.ok(sent >= 4 && sent <= 5, `${sent}`);
  });
});

describe("fleet view", () => {
  it("takes endpoints of an evacuated data centre as cold afterwards", () => {
    const view = new FleetView(new Rollouts("self", 0.15));
    view.setConfiguration({
      version: 1,
      routes: [],
      services: [
        {
          name: "svc",
          maxConnections: 10,
          coldMs: 3_000,
          coldPerSecond: 16,
          models: [],
        },
      ],
      accounts: [],
      limits: { maxBodyBytes: 1, idleTimeoutMs: 1, headerTimeoutMs: 1 },
    });
    view.endpoints.put(createRecord("a"), 0);
    view.startEvacuation("dc1");
    assert.equal(view.listOpen("svc").length, 0);
    view.endEvacuation("dc1", 10_000);
    const [state] = view.listOpen("svc");
    assert.equal(state?.isCold(12_999), true);
  });
});
