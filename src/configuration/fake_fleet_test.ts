/** Fleet of `ConfigSync` servers on 127.0.0.1, for tests. */

import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import { err } from "neverthrow";
import type { Peer } from "../core/index.js";
import { ConfigSyncService } from "../schema/index.js";
import { ConfigSync } from "./config_sync.js";
import { createConfigSyncHandlers } from "./config_sync_handlers.js";
import { PeerClients } from "./peer_clients.js";
import { type Fault, SharedFakeStore } from "./shared_fake_store_test.js";
import { TicketService } from "./ticket_service.js";

export const PEER: Peer = {
  name: "",
  role: "entry",
  dataCentre: "dc1",
  address: "127.0.0.1",
  controlPort: 1,
  leaving: false,
};

interface FleetProcess {
  readonly sync: ConfigSync;
  readonly tickets: TicketService;
  readonly controller: AbortController;
  readonly server: Server;
}

/** Tests can cut its processes off from each other and from the store. */
export class FakeFleet {
  readonly store = new SharedFakeStore();
  readonly peers: Peer[] = [];
  readonly processes = new Map<string, FleetProcess>();
  /** Fault of each process's store calls; none if absent. */
  readonly storeFaults = new Map<string, Fault>();
  /** Network group of each process; a call to another group fails. */
  readonly networkGroups = new Map<string, number>();
  readonly receivedRatings: [string, number][] = [];
  readonly #times: { freshnessMs: number; waitMs?: number };
  /** Added to the clock of every process. */
  clockOffsetMs = 0;

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
      onRatingIncrease: ({ accepted }) =>
        this.receivedRatings.push([name, accepted]),
      getNowMs: () => performance.now() + this.clockOffsetMs,
      ask: async (peer, request, options) => {
        const isCut = () =>
          this.networkGroups.get(peer.name) !== this.networkGroups.get(name);
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
    this.processes.set(name, { sync, tickets, controller, server });
  }

  /** Replaces a process by a new one of the same name without its state. */
  async restart(name: string): Promise<void> {
    const index = this.peers.findIndex((peer) => peer.name === name);
    const [peer] = this.peers.splice(index, 1);
    assert.ok(peer);
    stopProcess(this.get(name));
    await this.add(name, peer.dataCentre, peer.role);
    const { sync, controller } = this.get(name);
    void sync.run(controller.signal);
  }

  async addEntries(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      await this.add(`e${index}`, `dc${index % 2}`);
    }
  }

  async start(): Promise<void> {
    for (const { sync, controller } of this.processes.values()) {
      void sync.run(controller.signal);
    }
    await this.waitUntil(() => this.listRefusing().length === 0);
  }

  stop(): void {
    for (const each of this.processes.values()) stopProcess(each);
  }

  get(name: string): FleetProcess {
    const found = this.processes.get(name);
    assert.ok(found);
    return found;
  }

  listRefusing(): string[] {
    return [...this.processes]
      .filter(([, { sync }]) => sync.checkFreshness() !== undefined)
      .map(([name]) => name);
  }

  listBehind(revision: number): string[] {
    return [...this.processes]
      .filter(([, { sync }]) => sync.state.revision < revision)
      .map(([name]) => name);
  }

  async waitUntil(condition: () => boolean, timeoutMs = 6_000): Promise<void> {
    const endMs = performance.now() + timeoutMs;
    while (!condition()) {
      assert.ok(performance.now() < endMs, "the condition was not met in time");
      await sleep(20);
    }
  }

  /** Fails if one of the processes refuses new work within this time. */
  async expectNoRefusals(ms: number, names: readonly string[]): Promise<void> {
    const endMs = performance.now() + ms;
    while (performance.now() < endMs) {
      const refusing = this.listRefusing().filter((n) => names.includes(n));
      assert.deepEqual(refusing, []);
      await sleep(50);
    }
  }
}

function stopProcess({ controller, server }: FleetProcess): void {
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
