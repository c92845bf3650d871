import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createEndpointRecord } from "../endpoint_record_fixtures_test.js";
import type { EndpointRecord } from "../types.js";
import { EndpointTable } from "./endpoint_table.js";
import { FleetView } from "./fleet_view.js";
import { Rollouts } from "./rollouts.js";

const createRecord = (id: string, fields: Partial<EndpointRecord> = {}) =>
  createEndpointRecord(id, { startedAtMs: 1, ...fields });

const listIds = (table: EndpointTable) =>
  table.listNotLeaving("svc").map(({ record }) => record.id);

describe("endpoint table", () => {
  it("lists no endpoint that is leaving or removed", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.put(createRecord("b"), 0);
    table.put(createRecord("a", { isLeaving: true }), 1);
    table.remove("b", 1);
    assert.deepEqual(listIds(table), []);
  });

  // Records expire in a store outage while their endpoints still serve.
  it("keeps removed records until the grace after a store outage ends", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.put(createRecord("b"), 0);
    table.startLapseGrace(10_000);
    table.replaceAll([], 10_100);
    assert.deepEqual(listIds(table), ["a", "b"]);
    table.put(createRecord("b"), 11_000);
    assert.deepEqual(table.applyDue(11_900), []);
    table.applyDue(12_000);
    assert.deepEqual(listIds(table), ["b"]);
  });

  // If the leaving state outlived a restart, the new process would get no
  // requests at all.
  it("restores the leaving state, but not after a restart", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    table.get("a")?.availability.setLeaving();
    table.remove("a", 10);
    table.put(createRecord("a"), 20);
    assert.deepEqual(listIds(table), []);
    table.remove("a", 30);
    table.put(createRecord("a", { startedAtMs: 2 }), 40);
    assert.deepEqual(listIds(table), ["a"]);
  });

  it("removes a leaving endpoint without grace", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { isLeaving: true }), 0);
    table.startLapseGrace(10_000);
    table.replaceAll([], 10_100);
    assert.equal(table.size, 0);
  });

  // After a restart under the same id the process is cold.
  it("starts with new state after a restart under the same id", () => {
    const table = new EndpointTable();
    table.put(createRecord("a"), 0);
    const before = table.get("a");
    if (before) before.serviceTimeRatio = 5;
    table.put(createRecord("a", { startedAtMs: 2, coldLeftMs: 3_000 }), 1_000);
    const after = table.get("a");
    assert.equal(after?.serviceTimeRatio, 1);
    assert.equal(after?.isCold(3_999), true);
    assert.equal(after?.isCold(4_001), false);
  });

  // A write without an answer may take effect seconds later. Requests went to
  // an endpoint that had already said that it leaves, and ended with it.
  it("stays leaving when an older record is written late", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { sequence: 5 }), 0);
    table.put(createRecord("a", { sequence: 7, isLeaving: true }), 1_000);
    const changes = table.put(createRecord("a", { sequence: 6 }), 2_000);
    assert.deepEqual(
      changes.map(({ event }) => event),
      ["endpoint-record-outdated"],
    );
    assert.deepEqual(listIds(table), []);
    table.put(createRecord("a", { sequence: 4, port: 81 }), 3_000);
    assert.deepEqual(listIds(table), []);
  });

  // The endpoint's last record is only in the event of its removal.
  it("stays removed when an older record is written late", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { sequence: 1 }), 0);
    table.remove("a", 1_000, createRecord("a", { sequence: 9 }));
    table.put(createRecord("a", { sequence: 8 }), 2_000);
    assert.deepEqual(listIds(table), []);
    table.put(createRecord("a", { sequence: 10 }), 3_000);
    assert.deepEqual(listIds(table), ["a"]);
  });

  // The record of the earlier start says nothing of the cold time.
  it("stays cold when a record from before a restart is written late", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { sequence: 90 }), 0);
    const restarted = { startedAtMs: 2, sequence: 1, coldLeftMs: 3_000 };
    table.put(createRecord("a", restarted), 1_000);
    table.put(createRecord("a", { sequence: 89 }), 2_000);
    assert.equal(table.get("a")?.isCold(3_900), true);
    assert.equal(table.get("a")?.record.startedAtMs, 2);
  });

  it("takes a lower count for a restart where no start time tells", () => {
    const table = new EndpointTable();
    const unknownStart = { startedAtMs: undefined };
    table.put(createRecord("a", { ...unknownStart, sequence: 90 }), 0);
    const restarted = { ...unknownStart, sequence: 1, coldLeftMs: 3_000 };
    table.put(createRecord("a", restarted), 1_000);
    assert.equal(table.get("a")?.isCold(2_000), true);
    const leaving = { ...unknownStart, sequence: 3, isLeaving: true };
    table.put(createRecord("a", leaving), 5_000);
    table.put(createRecord("a", { ...unknownStart, sequence: 2 }), 5_500);
    assert.deepEqual(listIds(table), []);
  });

  // A host's clock may be set back between two starts of an endpoint.
  it("uses an older record that stays the stored one", () => {
    const table = new EndpointTable();
    table.put(createRecord("a", { startedAtMs: 9, isLeaving: true }), 0);
    table.put(createRecord("a", { startedAtMs: 3 }), 1_000);
    assert.deepEqual(table.applyDue(10_900), []);
    assert.deepEqual(listIds(table), []);
    table.applyDue(11_000);
    assert.deepEqual(listIds(table), ["a"]);
  });

  it("drops an older record that is replaced or removed again", () => {
    const table = new EndpointTable();
    for (const id of ["a", "b"]) {
      table.put(createRecord(id, { sequence: 7, isLeaving: true }), 0);
      table.put(createRecord(id, { sequence: 6 }), 1_000);
    }
    table.put(createRecord("a", { sequence: 8, isLeaving: true }), 2_000);
    table.remove("b", 2_000);
    assert.deepEqual(table.applyDue(60_000), []);
    assert.deepEqual(listIds(table), []);
  });

  it("limits the request rate of a cold endpoint", () => {
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
  it("treats endpoints as cold after an evacuation", () => {
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
          isLoadShared: false,
          models: [],
        },
      ],
      accounts: [],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1,
        idleTimeoutMs: 1,
        headerTimeoutMs: 1,
      },
    });
    view.endpoints.put(createRecord("a"), 0);
    view.startEvacuation("dc1");
    assert.equal(view.listUsableEndpoints("svc").length, 0);
    view.endEvacuation("dc1", 10_000);
    const [state] = view.listUsableEndpoints("svc");
    assert.equal(state?.isCold(12_999), true);
  });
});
