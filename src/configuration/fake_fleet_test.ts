/** Processes of a fleet on 127.0.0.1, for tests. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import { err } from "neverthrow";
import type { Peer } from "../core/index.js";
import { ConfigSyncService } from "../schema/index.js";
import { createConfigSyncHandlers } from "./config_handlers.js";
import { PeerClients } from "./config_peers.js";
import { ConfigSync } from "./config_sync.js";
import { FakeStore, type Fault } from "./fake_config_store_test.js";
import { TicketService } from "./ticket_service.js";

export const PEER: Peer = {
  name: "",
  role: "entry",
  dataCentre: "dc1",
  address: "127.0.0.1",
  controlPort: 1,
  leaving: false,
};

interface Node {
  readonly sync: ConfigSync;
  readonly tickets: TicketService;
  readonly controller: AbortController;
  readonly server: Server;
}

/** Processes on 127.0.0.1; each pair and each way to the store can be cut. */
export class Fleet {
  readonly store = new FakeStore();
  readonly peers: Peer[] = [];
  readonly nodes = new Map<string, Node>();
  /** Processes whose store calls fail. */
  readonly storeFaults = new Map<string, Fault>();
  /** Group of each process; only processes of one group reach each other. */
  readonly groups = new Map<string, number>();
  readonly ratings: [string, number][] = [];
  readonly #times: { freshnessMs: number; waitMs?: number };
  clockLeapMs = 0;

  constructor(times: { freshnessMs: number; waitMs?: number }) {
    this.#times = times;
  }

  async add(name: string, dataCentre: string, role: Peer["role"] = "entry") {
    const store = this.store.connect(
      () => this.storeFaults.get(name) ?? "none",
    );
    const clients = new PeerClients();
    const sync = new ConfigSync({
      name,
      dataCentre,
      store: role === "entry" ? store : undefined,
      ...this.#times,
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
    const controller = new AbortController();
    controller.signal.addEventListener("abort", () => clients.close());
    const tickets = new TicketService({ store, sync });
    this.peers.push({ ...PEER, name, role, dataCentre, controlPort });
    this.nodes.set(name, { sync, tickets, controller, server });
  }

  /** Ends a process and starts it anew: it keeps its name and nothing else. */
  async restart(name: string): Promise<void> {
    const index = this.peers.findIndex((peer) => peer.name === name);
    const [peer] = this.peers.splice(index, 1);
    assert.ok(peer);
    stopNode(this.get(name));
    await this.add(name, peer.dataCentre, peer.role);
    const { sync, controller } = this.get(name);
    void sync.start(controller.signal);
  }

  async addEntries(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.add(`e${index}`, `dc${index % 2}`);
    }
  }

  async start(): Promise<void> {
    for (const { sync, controller } of this.nodes.values()) {
      void sync.start(controller.signal);
    }
    await this.waitUntil(() => this.listRefusing().length === 0);
  }

  stop(): void {
    for (const node of this.nodes.values()) stopNode(node);
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

function stopNode({ controller, server }: Node): void {
  controller.abort();
  server.forceShutdown();
}

function bind(server: Server): Promise<number> {
  return new Promise((resolve, reject) => {
    const credentials = ServerCredentials.createInsecure();
    server.bindAsync("127.0.0.1:0", credentials, (error, port) =>
      error === null ? resolve(port) : reject(error),
    );
  });
}
