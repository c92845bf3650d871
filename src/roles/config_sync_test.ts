import assert from "node:assert/strict";
import { after, describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import { err } from "neverthrow";
import { chooseWatchers, createEmptyState, type Peer } from "../core/index.js";
import { ConfigSyncService } from "../schema/index.js";
import { createConfigSyncHandlers } from "./config_handlers.js";
import { ConfigHolder } from "./config_holder.js";
import { PeerClients } from "./config_peers.js";
import { ConfigSync } from "./config_sync.js";
import { FakeStore } from "./fake_config_store_test.js";
import { HEAD_KEY, type Head } from "./revision_store.js";
import { TicketService } from "./ticket_service.js";

const controller = new AbortController();
const { signal } = controller;
const servers: Server[] = [];

interface Node {
  readonly sync: ConfigSync;
  readonly tickets: TicketService;
}

/** Processes on 127.0.0.1; each pair and each way to the store can be cut. */
class Fleet {
  readonly store = new FakeStore();
  readonly peers: Peer[] = [];
  readonly nodes = new Map<string, Node>();
  /** Names of the processes that can't reach the store. */
  readonly storeCut = new Set<string>();
  /** Group of each process; only processes of one group reach each other. */
  readonly groups = new Map<string, number>();
  readonly ratings: [string, number][] = [];
  clockLeapMs = 0;

  async add(name: string, dataCentre: string, role: Peer["role"] = "entry") {
    const store = this.store.connect(() =>
      this.storeCut.has(name) ? "down" : "none",
    );
    const clients = new PeerClients();
    const sync = new ConfigSync({
      name,
      dataCentre,
      store: role === "entry" ? store : undefined,
      freshnessMs: 5_000,
      listPeers: () => this.peers,
      onEvidence: ({ accepted }) => this.ratings.push([name, accepted]),
      getNowMs: () => performance.now() + this.clockLeapMs,
      ask: async (peer, request, options) => {
        const isCut = () =>
          this.groups.get(peer.name) !== this.groups.get(name);
        const failure = { peer: peer.name, detail: "cut" };
        const kind = "peer-unreachable" as const;
        if (isCut()) return err({ kind, ...failure });
        const reply = await clients.ask(peer, request, options);
        return isCut() ? err({ kind, ...failure }) : reply;
      },
    });
    const server = new Server();
    server.addService(ConfigSyncService, createConfigSyncHandlers(sync));
    const controlPort = await bind(server);
    servers.push(server);
    this.peers.push({
      name,
      role,
      dataCentre,
      address: "127.0.0.1",
      controlPort,
      leaving: false,
    });
    this.nodes.set(name, { sync, tickets: new TicketService({ store, sync }) });
    signal.addEventListener("abort", () => clients.close());
  }

  async addEntries(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.add(`e${index}`, `dc${index % 2}`);
    }
  }

  async start(): Promise<void> {
    for (const { sync } of this.nodes.values()) void sync.start(signal);
    await this.waitUntil(() => this.listRefusing().length === 0);
  }

  get(name: string): Node {
    const node = this.nodes.get(name);
    assert.ok(node);
    return node;
  }

  listRefusing(): string[] {
    return [...this.nodes]
      .filter(([, { sync }]) => sync.checkFreshness() !== undefined)
      .map(([name]) => name);
  }

  listBehind(revision: number): string[] {
    return [...this.nodes]
      .filter(([, { sync }]) => sync.state.revision < revision)
      .map(([name]) => name);
  }

  async waitUntil(condition: () => boolean, timeoutMs = 6_000): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!condition()) {
      assert.ok(performance.now() < endMs, "the condition did not come true");
      await sleep(20);
    }
  }

  /** Checks for the time that nobody refuses new work. */
  async expectService(ms: number, names: readonly string[]): Promise<void> {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      const refusing = this.listRefusing().filter((n) => names.includes(n));
      assert.deepEqual(refusing, []);
      await sleep(50);
    }
  }
}

function bind(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync("127.0.0.1:0", credentials, (error, port) =>
      error === null ? resolve(port) : reject(error),
    );
  });
}

function createTicket(number: number) {
  return { number, dataCentres: [{ name: "dc1", state: "out" }] };
}

describe("configuration spread over gRPC", { concurrency: true }, () => {
  after(() => {
    controller.abort();
    for (const server of servers) server.forceShutdown();
  });

  it("brings a ticket to every process and tells who holds it", async () => {
    const fleet = new Fleet();
    await fleet.addEntries(8);
    await fleet.add("p1", "dc1", "endpoint");
    await fleet.start();
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
    const fleet = new Fleet();
    await fleet.addEntries(4);
    await fleet.add("p1", "dc1", "endpoint");
    await fleet.start();
    for (const name of ["e3", "p1"]) fleet.storeCut.add(name);
    fleet.groups.set("e3", 1).set("p1", 2);
    await sleep(5_050);
    assert.deepEqual(fleet.listRefusing(), ["e3", "p1"]);
    fleet.groups.clear();
    await fleet.waitUntil(() => fleet.listRefusing().length === 0, 4_000);
    // e3 has no store yet: the other watchers keep it confirmed.
    await fleet.expectService(3_000, ["e3"]);
  });

  it("serves on through a store outage and accepts no ticket in it", async () => {
    const fleet = new Fleet();
    await fleet.addEntries(5);
    await fleet.add("p1", "dc0", "endpoint");
    await fleet.start();
    for (const { name } of fleet.peers) fleet.storeCut.add(name);
    await fleet.expectService(8_000, [...fleet.nodes.keys()]);
    const stop = AbortSignal.timeout(200);
    const { tickets } = fleet.get("e0");
    const answer = await tickets.submit(createTicket(1), stop);
    assert.equal(answer._unsafeUnwrapErr().kind, "store-unavailable");
    fleet.storeCut.clear();
    await fleet.expectService(3_000, [...fleet.nodes.keys()]);
  });

  it("gives a minority that still reaches the store no accepted ticket while the others serve on", async () => {
    const fleet = new Fleet();
    await fleet.addEntries(5);
    await fleet.start();
    const majority = ["e0", "e1", "e2"];
    for (const name of majority) fleet.storeCut.add(name);
    for (const name of ["e3", "e4"]) fleet.groups.set(name, 1);
    assert.equal(chooseWatchers(fleet.peers).length, 5);
    const { tickets } = fleet.get("e3");
    await sleep(6_000);
    const answer = await tickets.submit(createTicket(1), signal);
    assert.equal(answer._unsafeUnwrap().kind, "spreading");
    const { holding } = answer._unsafeUnwrap();
    assert.deepEqual(holding.toSorted(), ["e3", "e4"]);
    await fleet.expectService(2_000, majority);
    assert.deepEqual(fleet.listBehind(1), majority);
    fleet.groups.clear();
    const repeat = await tickets.submit(createTicket(1), signal);
    assert.equal(repeat._unsafeUnwrap().kind, "accepted");
  });

  it("refuses at once after its clock shows that it was frozen", async () => {
    const fleet = new Fleet();
    await fleet.addEntries(2);
    await fleet.start();
    fleet.clockLeapMs = 4_000;
    assert.deepEqual(fleet.listRefusing(), ["e0", "e1"]);
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

  it("does not serve on a head whose revision object it can't read", async () => {
    const fleet = new Fleet();
    await fleet.addEntries(1);
    await fleet.start();
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
    const fleet = new Fleet();
    await fleet.addEntries(4);
    await fleet.start();
    const increase = { requestClass: "chat", version: "v1", rejected: 0 };
    fleet.get("e0").sync.addRatings({ ...increase, accepted: 5 });
    await fleet.waitUntil(() => fleet.ratings.length >= 3, 30_000);
    await sleep(1_000);
    const received = fleet.ratings.toSorted();
    assert.deepEqual(received, [
      ["e1", 5],
      ["e2", 5],
      ["e3", 5],
    ]);
  });
});
