import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { Exchange } from "../../schema/exchange/index.js";
import { startPeerServer } from "./peer_messages.js";
import { EXCHANGE_PATH, Peers } from "./peers.js";
import { Rollouts } from "./rollouts.js";
import { SessionVersions } from "./session_versions.js";

const LOG = { debug() {}, info() {}, warn() {}, error() {} };

interface Entry {
  readonly peers: Peers;
  readonly rollouts: Rollouts;
  readonly sessions: SessionVersions;
  readonly port: number;
  readonly controller: AbortController;
}

describe("entries that find each other", () => {
  const closers: (() => void)[] = [];
  afterEach(() => {
    for (const close of closers.splice(0)) close();
  });

  /** `onMessage` hears of each message that the entry gets. */
  async function startEntry(
    name: string,
    seedPorts: number[],
    dataCentre = "",
    onMessage: (data: Uint8Array) => void = () => {},
  ): Promise<Entry> {
    const controller = new AbortController();
    const rollouts = new Rollouts(name, 0.15);
    const sessions = new SessionVersions({ gapMs: 5_000, toldBelow: 1 });
    const address = "127.0.0.1";
    const self = { name, incarnation: "1", address, port: 0, dataCentre };
    const peers = new Peers({
      self,
      seeds: seedPorts.map((port) => ({ address, port })),
      rollouts,
      sessions,
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
    return { peers, rollouts, sessions, port, controller };
  }

  async function waitFor(isDone: () => boolean): Promise<void> {
    const untilMs = performance.now() + 8_000;
    while (!isDone()) {
      assert.ok(performance.now() < untilMs, "waited in vain");
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  // Bounds over all entries are divided by their number.
  it("count all entries from one seed, dead seeds besides", async () => {
    const first = await startEntry("a", [1]);
    const others = [];
    for (const name of ["b", "c", "d", "e", "f"]) {
      others.push(await startEntry(name, [1, first.port]));
    }
    const all = [first, ...others];
    assert.ok(first.peers.countEntries() >= 6, "too few are assumed at first");
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    await waitFor(() => all.every(({ peers }) => peers.countEntries() === 6));
    assert.deepEqual(
      all.map(({ peers }) => peers.getRank()),
      [0, 1, 2, 3, 4, 5],
    );
  });

  // Bytes between data centres are paid for; most news is near anyway.
  it("talk mostly to peers of their own data centre", async () => {
    const counts = { near: 0, far: 0 };
    const ports: number[] = [];
    const all: Entry[] = [];
    for (let index = 0; index < 8; index++) {
      const own = index % 2 === 0 ? "dc1" : "dc2";
      const entry = await startEntry(`e${index}`, ports, own, (data) => {
        const sender = Exchange.decode(data).sender?.dataCentre;
        counts[sender === own ? "near" : "far"]++;
      });
      all.push(entry);
      if (ports.length === 0) ports.push(entry.port);
    }
    await new Promise((resolve) => setTimeout(resolve, 2_600));
    await waitFor(() => all.every(({ peers }) => peers.countEntries() === 8));
    Object.assign(counts, { near: 0, far: 0 });
    await new Promise((resolve) => setTimeout(resolve, 2_500));
    assert.ok(counts.far > 0, "nothing passes between data centres");
    const share = counts.far / (counts.near + counts.far);
    assert.ok(share < 0.5, `share of far messages ${share}`);
    assert.ok(all.every(({ peers }) => peers.countEntries() === 8));
  });

  it("pass evidence and sessions on", async () => {
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
        endpoints: 1,
        isGood: false,
      });
    }
    first.sessions.record("svc", "s1", {
      version: "v2",
      atMs: performance.now(),
    });
    await waitFor(() => second.rollouts.decide(performance.now()).length === 1);
    assert.equal(second.sessions.get("svc", "s1", performance.now()), "v2");
  });

  // Each mention of it by a third entry would bring it back.
  it("forget an entry that leaves, until it starts again", async () => {
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

  it("skip a message that can't be read", async () => {
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
});
