import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { Exchange } from "../../schema/exchange/index.js";
import { startPeerServer } from "./peer_messages.js";
import { EXCHANGE_PATH, Peers } from "./peers.js";
import { ANSWER_VERDICT } from "./rollout_evidence.js";
import { Rollouts } from "./rollouts.js";
import { SessionVersions } from "./session_versions.js";

const LOG = { debug() {}, info() {}, warn() {}, error() {} };

interface Entry {
  readonly peers: Peers;
  readonly rollouts: Rollouts;
  readonly sessions: SessionVersions;
  readonly port: number;
  readonly abortController: AbortController;
}

const NO_SHARED_LOADS = {
  createMessage: () => ({ loads: [], dataCentreLoads: [] }),
  merge: () => {},
  remove: () => {},
};

const NO_HOLDS = {
  listCrashReports: () => [],
  listHoldReports: () => [],
  mergeCrashes: () => {},
  mergeHolds: () => {},
};

describe("exchange between entries", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** `onMessage` is called with each message that the entry receives. */
  async function startEntry(
    name: string,
    seedPorts: number[],
    dataCentre = "",
    onMessage: (data: Uint8Array) => void = () => {},
  ): Promise<Entry> {
    const controller = new AbortController();
    const rollouts = new Rollouts(name, 0.15);
    const sessions = new SessionVersions({ maxGapMs: 5_000, reportBelow: 1 });
    const address = "127.0.0.1";
    const self = { name, incarnation: "1", address, port: 0, dataCentre };
    const peers = new Peers({
      self,
      seeds: seedPorts.map((port) => ({ address, port })),
      rollouts,
      sessions,
      sharedLoads: NO_SHARED_LOADS,
      limits: { listReports: () => [], merge: () => {} },
      promptHolds: NO_HOLDS,
      getConfigVersion: () => 0,
      now: () => performance.now(),
      random: Math.random,
      log: LOG,
      signal: controller.signal,
    });
    const server = await startPeerServer(
      new Map([
        [
          EXCHANGE_PATH,
          (data: Uint8Array) => {
            onMessage(data);
            return peers.answer(data);
          },
        ],
      ]),
      { address, port: 0 },
    );
    const { port } = server.address() as AddressInfo;
    self.port = port;
    void peers.run();
    closers.push(() => {
      controller.abort();
      server.close();
      server.closeAllConnections();
    });
    return { peers, rollouts, sessions, port, abortController: controller };
  }

  async function waitFor(isMet: () => boolean): Promise<void> {
    const untilMs = performance.now() + 8_000;
    while (!isMet()) {
      assert.ok(performance.now() < untilMs, "condition not met within 8 s");
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  // Each entry divides the limits of the whole fleet by the number of entries.
  it("finds all entries from one seed while another is down", async () => {
    const first = await startEntry("a", [1]);
    const others = [];
    for (const name of ["b", "c", "d", "e", "f"]) {
      others.push(await startEntry(name, [1, first.port]));
    }
    const all = [first, ...others];
    assert.ok(
      first.peers.countEntries() >= 6,
      "too few entries are assumed during discovery",
    );
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    await waitFor(() => all.every(({ peers }) => peers.countEntries() === 6));
    assert.deepEqual(
      all.map(({ peers }) => peers.getRankByName()),
      [0, 1, 2, 3, 4, 5],
    );
  });

  // Traffic between data centres costs money, and most evidence that an entry
  // needs comes from its own data centre.
  it("goes mostly to peers of the own data centre", async () => {
    const counts = { local: 0, remote: 0 };
    const seedPorts: number[] = [];
    const all: Entry[] = [];
    for (let index = 0; index < 8; index++) {
      const dataCentre = index % 2 === 0 ? "dc1" : "dc2";
      const entry = await startEntry(
        `e${index}`,
        seedPorts,
        dataCentre,
        (data) => {
          const sender = Exchange.decode(data).sender?.dataCentre;
          counts[sender === dataCentre ? "local" : "remote"]++;
        },
      );
      all.push(entry);
      if (seedPorts.length === 0) seedPorts.push(entry.port);
    }
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    await waitFor(() => all.every(({ peers }) => peers.countEntries() === 8));
    Object.assign(counts, { local: 0, remote: 0 });
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    assert.ok(counts.remote > 0, "no message between data centres");
    const share = counts.remote / (counts.local + counts.remote);
    assert.ok(share < 0.5, `share of remote messages ${share}`);
    assert.ok(all.every(({ peers }) => peers.countEntries() === 8));
  });

  it("passes on roll-out evidence and session versions", async () => {
    const first = await startEntry("a", []);
    const second = await startEntry("b", [first.port]);
    const order = { service: "svc", target: "v2", durationMs: 20_000 };
    for (const { rollouts } of [first, second]) {
      rollouts.put({ ...order, createdRevision: 1, revision: 1 }, 0);
    }
    for (let i = 0; i < 8; i++) {
      first.rollouts.record({
        service: "svc",
        version: "v2",
        route: "r",
        endpoint: "e",
        endpointCount: 1,
        verdict: ANSWER_VERDICT.failed,
      });
    }
    first.sessions.record("svc", "s1", {
      version: "v2",
      atMs: performance.now(),
    });
    await waitFor(() => second.rollouts.decide(performance.now()).length === 1);
    assert.equal(second.sessions.get("svc", "s1", performance.now()), "v2");
  });

  // Other entries still list the departed entry for a while; that must not add
  // it again.
  it("forgets an entry that leaves, until it starts again", async () => {
    const first = await startEntry("a", []);
    const second = await startEntry("b", [first.port]);
    const third = await startEntry("c", [first.port]);
    const all = [first, second, third];
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    await waitFor(() => all.every(({ peers }) => peers.countEntries() === 3));
    third.peers.leave();
    await waitFor(() => first.peers.countEntries() === 2);
    for (let i = 0; i < 50; i++) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      assert.equal(first.peers.countEntries(), 2);
    }
  });

  it("skips a malformed message", async () => {
    const { port, peers } = await startEntry("a", []);
    for (const body of ["", "no message", "\xff\xff\xff\xff\xff"]) {
      const answer = await fetch(`http://127.0.0.1:${port}/exchange`, {
        method: "POST",
        body,
      });
      assert.equal(answer.status, 200);
      await answer.arrayBuffer();
    }
    assert.ok(peers.countEntries() >= 1);
  });

  // Counted too few, entries that start together would each send it all.
  it("shares no rate until the others are found", async () => {
    const first = await startEntry("e0", []);
    const second = await startEntry("e1", [first.port]);
    assert.equal(first.peers.listSharers(), undefined);
    await waitFor(() => second.peers.listSharers() !== undefined);
    await waitFor(() => first.peers.listSharers()?.length === 2);
    assert.deepEqual(second.peers.listSharers()?.sort(), ["e0", "e1"]);
  });

  it("gives its part of a rate to the others when it leaves", async () => {
    const first = await startEntry("e0", []);
    const second = await startEntry("e1", [first.port]);
    await waitFor(() => first.peers.listSharers()?.length === 2);
    await waitFor(() => second.peers.listSharers()?.length === 2);
    first.peers.leave();
    assert.equal(first.peers.listSharers(), undefined);
    await waitFor(() => second.peers.listSharers()?.length === 1);
  });

  // The others go on sending; each half would send the whole rate.
  it("counts the others in a rate however long it is cut off", () => {
    let nowMs = 0;
    const self = { address: "127.0.0.1", port: 1, dataCentre: "dc1" };
    const peers = new Peers({
      self: { ...self, name: "e0", incarnation: "1" },
      seeds: [],
      rollouts: new Rollouts("e0", 0.15),
      sessions: new SessionVersions({ maxGapMs: 5_000, reportBelow: 1 }),
      sharedLoads: NO_SHARED_LOADS,
      limits: { listReports: () => [], merge: () => {} },
      promptHolds: NO_HOLDS,
      getConfigVersion: () => 0,
      now: () => nowMs,
      random: Math.random,
      log: LOG,
      signal: new AbortController().signal,
    });
    const sender = { ...self, name: "e1", incarnation: "1", ageMs: 0 };
    peers.answer(Exchange.encode(Exchange.fromPartial({ sender })).finish());
    for (nowMs of [3_000, 20_000, 31_000, 600_000]) {
      assert.deepEqual(peers.listSharers(), ["e0", "e1"], `${nowMs} ms`);
    }
    const other = { ...sender, name: "e2" };
    peers.answer(
      Exchange.encode(Exchange.fromPartial({ sender: other })).finish(),
    );
    assert.deepEqual(peers.listSharers(), ["e0", "e2"]);
  });

  // The others would take an entry that goes on serving for one that has ended.
  it("goes on with the next round after one that fails", async () => {
    const controller = new AbortController();
    let rounds = 0;
    const self = { address: "127.0.0.1", port: 1, dataCentre: "dc1" };
    const peers = new Peers({
      self: { ...self, name: "e0", incarnation: "1" },
      seeds: [{ address: "127.0.0.1", port: 2 }],
      rollouts: new Rollouts("e0", 0.15),
      sessions: new SessionVersions({ maxGapMs: 5_000, reportBelow: 1 }),
      sharedLoads: NO_SHARED_LOADS,
      limits: {
        listReports: () => {
          rounds++;
          if (rounds === 1) throw new Error("odd");
          controller.abort();
          return [];
        },
        merge: () => {},
      },
      promptHolds: NO_HOLDS,
      getConfigVersion: () => 0,
      now: () => performance.now(),
      random: Math.random,
      log: LOG,
      signal: controller.signal,
    });
    await peers.run();
    assert.equal(rounds, 2);
  });

  it("answers the next message after one whose handler fails", async () => {
    let calls = 0;
    const server = await startPeerServer(
      new Map([
        [
          EXCHANGE_PATH,
          () => {
            calls++;
            if (calls === 1) throw new Error("odd");
            return Buffer.from("answer");
          },
        ],
      ]),
      { address: "127.0.0.1", port: 0 },
    );
    closers.push(() => server.close());
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}${EXCHANGE_PATH}`;
    const headers = { connection: "close" };
    await assert.rejects(fetch(url, { method: "POST", headers }));
    const answer = await fetch(url, { method: "POST", headers });
    assert.equal(await answer.text(), "answer");
  });
});
