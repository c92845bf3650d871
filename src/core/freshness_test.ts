import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  chooseWatchers,
  Freshness,
  isOutageConfirmed,
  MIN_STALL_MS,
  NEVER_MS,
  type Peer,
  type WatcherAnswer,
} from "./freshness.js";

function createEntries(dataCentre: string, count: number): Peer[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `${dataCentre}-${index}`,
    role: "entry",
    dataCentre,
    address: "127.0.0.1",
    controlPort: 1,
    leaving: false,
  }));
}

function createAnswer(name: string, revision: number): WatcherAnswer {
  return { name, revision, storeAgeMs: 5_000, watcher: true };
}

describe("watcher choice", () => {
  it("chooses three per data centre and keeps the others when one leaves, so a replacement does not shift the majority", () => {
    const peers = [...createEntries("dc1", 8), ...createEntries("dc2", 2)];
    const before = chooseWatchers(peers).map((peer) => peer.name);
    assert.equal(before.length, 5);
    const leavingName = before[0];
    const after = chooseWatchers(
      peers.map((peer) => ({ ...peer, leaving: peer.name === leavingName })),
    ).map((peer) => peer.name);
    assert.equal(before.filter((name) => after.includes(name)).length, 4);
  });
});

describe("evidence of a store outage", () => {
  it("is never confirmed once more than half of the watchers hold a higher revision, whichever of them answer", () => {
    const property = fc.property(
      fc.integer({ min: 1, max: 19 }),
      fc.infiniteStream(fc.boolean()),
      fc.infiniteStream(fc.boolean()),
      (count, holds, answering) => {
        const names = Array.from({ length: count }, (_, i) => `w${i}`);
        const holders = new Set(names.filter(() => holds.next().value));
        const self = createAnswer("w0", 4);
        if (holders.has("w0") || holders.size * 2 <= count) return;
        const answers = names
          .slice(1)
          .filter(() => answering.next().value)
          .map((name) => createAnswer(name, holders.has(name) ? 5 : 4));
        const evidence = { self, contactAgeMs: 5_000, answers };
        assert.equal(
          isOutageConfirmed({ ...evidence, quorums: [names] }),
          false,
        );
      },
    );
    fc.assert(property, { numRuns: 2_000 });
  });

  const names = ["w0", "w1", "w2", "w3", "w4"];
  const self = createAnswer("w0", 4);
  const agreeing = [createAnswer("w1", 4), createAnswer("w2", 3)];
  const evidence = { self, contactAgeMs: 5_000, quorums: [names] };

  it("needs more than half of the watchers, so two halves of a split fleet never both serve", () => {
    assert.ok(isOutageConfirmed({ ...evidence, answers: agreeing }));
    const quorums = [[...names, "w5"]];
    assert.equal(
      isOutageConfirmed({ ...evidence, answers: agreeing, quorums }),
      false,
    );
  });

  it("ignores a watcher that has reached the store since then, or never since its start", () => {
    for (const storeAgeMs of [0, NEVER_MS]) {
      const answers = [
        agreeing[0] as WatcherAnswer,
        { ...createAnswer("w2", 4), storeAgeMs },
      ];
      assert.equal(isOutageConfirmed({ ...evidence, answers }), false);
    }
  });

  it("needs a majority of the earlier watchers too, so a host list that lost half of them is not enough", () => {
    const quorums = [["w0", "w5", "w6", "w7", "w8"], ["w0"]];
    assert.equal(
      isOutageConfirmed({ ...evidence, answers: [], quorums }),
      false,
    );
  });
});

describe("freshness", () => {
  function createFresh(): Freshness {
    const freshness = new Freshness(8_000);
    freshness.recordTick(0);
    freshness.recordHeld(4);
    return freshness;
  }

  /** Records ticks as a running event loop would. */
  function runUntil(freshness: Freshness, fromMs: number, toMs: number): void {
    for (let ms = fromMs; ms <= toMs; ms += 250) freshness.recordTick(ms);
  }

  it("refuses once the confirmation is too old, counted from when the question was sent", () => {
    const freshness = createFresh();
    assert.equal(freshness.check(0)?.code, "isolated");
    freshness.confirm({ sentAtMs: 100, ageMs: 50, revision: 4 });
    runUntil(freshness, 0, 8_000);
    assert.equal(freshness.check(8_050), undefined);
    assert.equal(freshness.check(8_051)?.code, "isolated");
  });

  it("does not trust a confirmation from before a stall", () => {
    const freshness = createFresh();
    freshness.confirm({ sentAtMs: 100, ageMs: 0, revision: 4 });
    assert.equal(freshness.check(100 + MIN_STALL_MS)?.code, "isolated");
    assert.ok(freshness.recordTick(100 + MIN_STALL_MS));
    // An answer that waited in the socket while the process was stopped.
    freshness.confirm({ sentAtMs: 200, ageMs: 0, revision: 4 });
    assert.equal(freshness.check(100 + MIN_STALL_MS)?.code, "isolated");
    freshness.confirm({ sentAtMs: 100 + MIN_STALL_MS, ageMs: 0, revision: 4 });
    assert.equal(freshness.check(100 + MIN_STALL_MS), undefined);
  });

  it("is not confirmed while the store's head names a revision that is not held", () => {
    const freshness = createFresh();
    freshness.confirm({ sentAtMs: 10, ageMs: 0, revision: 4 });
    freshness.recordHead(5);
    freshness.confirm({ sentAtMs: 20, ageMs: 0, revision: 4 });
    assert.equal(freshness.check(20)?.code, "isolated");
    assert.equal(freshness.getAgeMs(20), NEVER_MS);
    freshness.recordHeld(5);
    assert.equal(freshness.check(20), undefined);
  });
});
