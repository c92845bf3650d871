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
import { FakeStore } from "./fake_config_store_test.js";
import { Fleet, PEER } from "./fake_fleet_test.js";
import { HEAD_KEY, type Head } from "./revision_store.js";
import { StoreWatch } from "./store_watch.js";

const { signal } = new AbortController();

function createTicket(number: number) {
  return { number, dataCentres: [{ name: "dc1", state: "out" }] };
}

describe("configuration spread over gRPC", { concurrency: true }, () => {
  const fleets: Fleet[] = [];
  after(() => {
    for (const fleet of fleets) fleet.stop();
  });

  async function startFleet(count: number): Promise<Fleet> {
    const fleet = new Fleet({ freshnessMs: 5_000 });
    fleets.push(fleet);
    await fleet.addEntries(count);
    await fleet.add("p1", "dc1", "endpoint");
    await fleet.start();
    return fleet;
  }

  it("brings a ticket to every process and tells who holds it", async () => {
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
    const late = await tickets.submit({ ...createTicket(1) }, signal);
    assert.equal(late._unsafeUnwrap().repeated, true);
  });

  it("refuses after the bound at a process that is cut off, and serves again once it is back", async () => {
    const fleet = await startFleet(4);
    for (const name of ["e3", "p1"]) fleet.storeFaults.set(name, "hang");
    fleet.groups.set("e3", 1).set("p1", 2);
    await sleep(5_050);
    assert.deepEqual(fleet.listRefusing(), ["e3", "p1"]);
    fleet.groups.clear();
    await fleet.waitUntil(() => fleet.listRefusing().length === 0, 4_000);
    // e3 has no store yet: the other watchers keep it confirmed.
    await fleet.expectService(3_000, ["e3"]);
  });

  it("serves on through a store outage and accepts no ticket in it", async () => {
    const fleet = await startFleet(5);
    for (const { name } of fleet.peers) fleet.storeFaults.set(name, "hang");
    await fleet.expectService(8_000, [...fleet.nodes.keys()]);
    const stop = AbortSignal.timeout(200);
    const { tickets } = fleet.get("e0");
    const answer = await tickets.submit(createTicket(1), stop);
    assert.equal(answer._unsafeUnwrapErr().kind, "store-unavailable");
    fleet.storeFaults.clear();
    await fleet.expectService(3_000, [...fleet.nodes.keys()]);
  });

  it("gives a minority that still reaches the store no accepted ticket while the others serve on", async () => {
    const fleet = await startFleet(5);
    const majority = ["e0", "e1", "e2"];
    for (const name of majority) fleet.storeFaults.set(name, "hang");
    for (const name of ["e3", "e4"]) fleet.groups.set(name, 1);
    assert.equal(chooseWatchers(fleet.peers).length, 5);
    const { tickets } = fleet.get("e3");
    await sleep(6_000);
    const answer = await tickets.submit(createTicket(1), signal);
    assert.equal(answer._unsafeUnwrap().kind, "spreading");
    const { holding } = answer._unsafeUnwrap();
    assert.deepEqual(holding.toSorted(), ["e3", "e4"]);
    await fleet.expectService(2_000, [...majority, "p1"]);
    assert.deepEqual(fleet.listBehind(1), [...majority, "p1"]);
    fleet.groups.clear();
    const repeat = await tickets.submit(createTicket(1), signal);
    assert.equal(repeat._unsafeUnwrap().kind, "accepted");
  });

  it("refuses at once after its clock shows that it was frozen", async () => {
    const fleet = await startFleet(2);
    fleet.clockLeapMs = 4_000;
    assert.equal(fleet.listRefusing().length, 3);
    await fleet.waitUntil(() => fleet.listRefusing().length === 0);
  });

  it("takes over no lower revision, since that would undo an accepted ticket", () => {
    const holder = new ConfigHolder(undefined);
    holder.adopt({ ...createEmptyState(), revision: 2 });
    assert.throws(() => holder.adopt({ ...createEmptyState(), revision: 1 }), {
      name: "InvariantError",
      property: "ticketReverted",
    });
  });

  it("ends a long poll at a new confirmation, so the waits of three hops don't add up to the bound", async () => {
    const holder = new ConfigHolder(undefined);
    let isEnded = false;
    void holder.waitForRenewal(signal).then(() => {
      isEnded = true;
    });
    holder.confirm({ sentAtMs: 1, ageMs: 0, revision: 0 });
    await sleep(0);
    assert.ok(isEnded);
  });

  it("counts a confirmation from the question, so an answer that waited in the socket is old", async () => {
    let nowMs = 1_000;
    const holder = new ConfigHolder(undefined);
    const exchange = new ConfigExchange({
      source: "p1/0",
      dataCentre: "dc1",
      holder,
      totals: new RatingTotals(),
      onEvidence: () => {},
      getNowMs: () => nowMs,
      ask: async () => {
        nowMs += 7_000;
        return ok(ConfirmStateReply.fromPartial({ confirmedAgeMs: 100 }));
      },
    });
    const peer = { ...PEER, name: "e0" };
    await exchange.ask(peer, { immediate: true, timeoutMs: 1, signal });
    assert.equal(holder.freshness.getAgeMs(nowMs), 7_100);

    const store = new FakeStore().connect(() => {
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

  it("does not serve on a head whose revision object it can't read", async () => {
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

  it("passes ratings on to each other entry once", async () => {
    const fleet = await startFleet(4);
    const increase = { requestClass: "chat", version: "v1", rejected: 0 };
    fleet.get("e0").sync.addRatings({ ...increase, accepted: 5 });
    await fleet.waitUntil(() => fleet.ratings.length >= 3, 30_000);
    await fleet.expectService(6_000, [...fleet.nodes.keys()]);
    const received = fleet.ratings.toSorted();
    assert.deepEqual(received, [
      ["e1", 5],
      ["e2", 5],
      ["e3", 5],
    ]);
  });
});
