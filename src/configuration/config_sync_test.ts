import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { ok } from "neverthrow";
import {
  chooseWatchers,
  createEmptyState,
  RatingTotals,
} from "../core/index.js";
import { ConfirmStateReply } from "../schema/index.js";
import { ConfigExchange } from "./config_exchange.js";
import { ConfigHolder } from "./config_holder.js";
import { FakeFleet, PEER } from "./fake_fleet_test.js";
import { HEAD_KEY, type Head } from "./revision_store.js";
import { SharedFakeStore } from "./shared_fake_store_test.js";
import { StoreWatch } from "./store_watch.js";

const { signal } = new AbortController();

function createTicket(number: number) {
  return { number, dataCentres: [{ name: "dc1", state: "out" }] };
}

describe("configuration spread over gRPC", { concurrency: true }, () => {
  const fleets: FakeFleet[] = [];
  after(() => {
    for (const fleet of fleets) fleet.stop();
  });

  async function startFleet(count: number): Promise<FakeFleet> {
    const fleet = new FakeFleet({ freshnessMs: 5_000 });
    fleets.push(fleet);
    await fleet.addEntries(count);
    await fleet.add("p1", "dc1", "endpoint");
    await fleet.start();
    return fleet;
  }

  it("delivers a ticket to every process and reports its status", async () => {
    const fleet = await startFleet(8);
    const { tickets } = fleet.get("e7");
    const answer = await tickets.submit(createTicket(1), signal);
    assert.equal(answer._unsafeUnwrap().kind, "accepted");
    await fleet.waitUntil(() => fleet.listBehind(1).length === 0, 1_000);
    await fleet.waitUntil(() =>
      fleet
        .get("e0")
        .sync.listRevisions()
        .some((p) => p.revision === 1),
    );
    const status = await tickets.getStatus(1, signal);
    assert.equal(status.kind, "accepted");
    assert.equal((await tickets.getStatus(9, signal)).kind, "unknown");
    await tickets.submit({ ...createTicket(2) }, signal);
    assert.equal((await tickets.getStatus(1, signal)).kind, "superseded");
    const resent = await tickets.submit({ ...createTicket(1) }, signal);
    assert.equal(resent._unsafeUnwrap().repeated, true);
  });

  it("refuses work at an isolated process after the freshness bound, and serves again once it is reconnected", async () => {
    const fleet = await startFleet(4);
    for (const name of ["e3", "p1"]) fleet.storeFaults.set(name, "hang");
    fleet.networkGroups.set("e3", 1).set("p1", 2);
    await sleep(5_050);
    assert.deepEqual(fleet.listRefusing(), ["e3", "p1"]);
    fleet.networkGroups.clear();
    await fleet.waitUntil(() => fleet.listRefusing().length === 0, 4_000);
    // e3 still can't reach the store; the other watchers confirm its state.
    await fleet.expectNoRefusals(3_000, ["e3"]);
  });

  it("keeps serving during a store outage but accepts no ticket", async () => {
    const fleet = await startFleet(5);
    for (const { name } of fleet.peers) fleet.storeFaults.set(name, "hang");
    await fleet.expectNoRefusals(8_000, [...fleet.processes.keys()]);
    const stop = AbortSignal.timeout(200);
    const { tickets } = fleet.get("e0");
    const answer = await tickets.submit(createTicket(1), stop);
    assert.equal(answer._unsafeUnwrapErr().kind, "store-unavailable");
    fleet.storeFaults.clear();
    await fleet.expectNoRefusals(3_000, [...fleet.processes.keys()]);
  });

  it("accepts no ticket when only a minority reaches the store, and the majority keeps serving", async () => {
    const fleet = await startFleet(5);
    const majority = ["e0", "e1", "e2"];
    for (const name of majority) fleet.storeFaults.set(name, "hang");
    for (const name of ["e3", "e4"]) fleet.networkGroups.set(name, 1);
    assert.equal(chooseWatchers(fleet.peers).length, 5);
    const { tickets } = fleet.get("e3");
    await sleep(6_000);
    const answer = await tickets.submit(createTicket(1), signal);
    assert.equal(answer._unsafeUnwrap().kind, "spreading");
    const { holding } = answer._unsafeUnwrap();
    assert.deepEqual(holding.toSorted(), ["e3", "e4"]);
    await fleet.expectNoRefusals(2_000, [...majority, "p1"]);
    assert.deepEqual(fleet.listBehind(1), [...majority, "p1"]);
    fleet.networkGroups.clear();
    const resent = await tickets.submit(createTicket(1), signal);
    assert.equal(resent._unsafeUnwrap().kind, "accepted");
  });

  it("refuses work at once when a clock jump shows that the process was frozen", async () => {
    const fleet = await startFleet(2);
    fleet.clockOffsetMs = 4_000;
    assert.equal(fleet.listRefusing().length, 3);
    await fleet.waitUntil(() => fleet.listRefusing().length === 0);
  });

  it("adopts no lower revision, since that would undo an accepted ticket", () => {
    const holder = new ConfigHolder(undefined);
    holder.adopt({ ...createEmptyState(), revision: 2 });
    assert.throws(() => holder.adopt({ ...createEmptyState(), revision: 1 }), {
      name: "InvariantError",
      property: "ticketReverted",
    });
  });

  it("ends a long poll on a new confirmation, so that the waits of three hops don't add up to the freshness bound", async () => {
    const holder = new ConfigHolder(undefined);
    let isEnded = false;
    void holder.waitForUpdate(signal).then(() => {
      isEnded = true;
    });
    holder.confirm({ sentAtMs: 1, ageMs: 0, revision: 0 });
    await sleep(0);
    assert.ok(isEnded);
  });

  it("measures the age of a confirmation from the request, so that time in a socket buffer counts", async () => {
    let nowMs = 1_000;
    const holder = new ConfigHolder(undefined);
    const exchange = new ConfigExchange({
      source: "p1/0",
      dataCentre: "dc1",
      holder,
      ratingTotals: new RatingTotals(),
      onRatingIncrease: () => {},
      getNowMs: () => nowMs,
      ask: async () => {
        nowMs += 7_000;
        return ok(ConfirmStateReply.fromPartial({ confirmedAgeMs: 100 }));
      },
    });
    const peer = { ...PEER, name: "e0" };
    await exchange.ask(peer, { isImmediate: true, timeoutMs: 1, signal });
    assert.equal(holder.freshness.getAgeMs(nowMs), 7_100);

    const store = new SharedFakeStore().connect(() => {
      nowMs += 2_000;
      return "none";
    });
    const watch = new StoreWatch({
      store,
      holder,
      getNowMs: () => nowMs,
      waitMs: 1,
    });
    await watch.read(signal);
    assert.equal(holder.freshness.getAgeMs(nowMs), 2_000);
  });

  it("refuses work when the head names a revision object that can't be read", async () => {
    const fleet = await startFleet(1);
    const { sync, tickets } = fleet.get("e0");
    const head: Head = { revision: 1, key: "config/revisions/1-x", sha: "x" };
    const request = { key: HEAD_KEY, value: head, ifVersion: 0 };
    await fleet.store.connect().write(request, signal);
    await fleet.waitUntil(() => sync.checkFreshness() !== undefined);
    assert.equal(sync.state.revision, 0);
    const stop = AbortSignal.timeout(100);
    assert.ok((await tickets.submit(createTicket(1), stop)).isErr());
  });

  it("reports ratings to each other entry once", async () => {
    const fleet = await startFleet(4);
    const increase = { requestClass: "chat", version: "v1", rejected: 0 };
    fleet.get("e0").sync.addRatings({ ...increase, accepted: 5 });
    await fleet.waitUntil(() => fleet.receivedRatings.length >= 3, 30_000);
    await fleet.expectNoRefusals(6_000, [...fleet.processes.keys()]);
    const received = fleet.receivedRatings.toSorted();
    assert.deepEqual(received, [
      ["e1", 5],
      ["e2", 5],
      ["e3", 5],
    ]);
  });
});
