/** The system under test: entries as processes, the rest in this process. */

import { mkdirSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Link, openLink } from "../../standins/link.js";
import {
  type ManagedProcess,
  startProcess,
} from "../../standins/managed_process.js";
import { startServer } from "../../standins/server.js";
import { delay } from "../../testbed/delay.js";
import { readNodeFlags } from "../../testbed/deploy_file.js";
import type { BodyCrashTime } from "../standins/body_crash.js";
import {
  createReplicaSpec,
  REPLICA_SERVICE,
  ReplicaStandin,
} from "../standins/replica.js";
import { PlatformStoreStandin } from "../standins/store.js";
import {
  CRASH_KIND,
  CRASHING_PART,
  type Disturbance,
  REQUEST_CRASH_KIND,
  type RequestCrash,
} from "./records.js";
import { parseWorkMs } from "./request_body.js";

export const HOST = "soak.example";
/** Time limits in the settings of the entries. */
export const TIME_BOUNDS = {
  revokeMs: 5_000,
  configDeadlineMs: 2_000,
  drainMs: 2_000,
  graceSeconds: 4,
} as const;
export const STREAM_EVENTS = 6;
/** Memory of the smallest hosts that entries run on, MB. */
export const HOST_MEMORY_MB = 186;

/** The bundle that a platform starts; scripts/bundle.mjs writes it. */
export const BUNDLE_FILE = fileURLToPath(
  new URL("../../../target/entry.cjs", import.meta.url),
);
/** Largest body of a caller, bytes. */
export const MAX_BODY_BYTES = 100_000;
/** Longer than any caller waits. */
const ROUTE_TIMEOUT_MS = 10_000;
/** Time after which a replica that has crashed is back, ms. */
const CRASH_DOWN_MS = 1_000;
/** Time after which one that a request ended is back under a new id, ms. */
const REPLACEMENT_MS = 2_500;
/** Ports of one entry; see `createSettings`. */
const PORTS_PER_ENTRY = 5;
const READY_PATH = "/hornbeamrill/readyz";
/** Time for the answer to a readiness request, ms. */
const READY_TIMEOUT_MS = 500;

export interface EntryMember {
  readonly name: string;
  readonly index: number;
  /** Between callers and the entry, and between the entry and the store. */
  readonly callerLink: Link;
  readonly storeLink: Link;
  process?: ManagedProcess;
}

export interface ReplicaMember {
  readonly id: string;
  /** What its record in the store says. */
  isDraining?: boolean;
  hasLeft?: boolean;
  readonly replica: ReplicaStandin;
  readonly link: Link;
}

export interface FleetOptions {
  readonly entryCount: number;
  readonly replicaCount: number;
  /** First file of the entries' program. */
  readonly bundleFile: string;
  readonly basePort: number;
  readonly folder: string;
  readonly signal: AbortSignal;
}

export class Fleet {
  readonly store = new PlatformStoreStandin();
  readonly entries: EntryMember[] = [];
  /** All that ever ran, also those that have left. */
  readonly replicas: ReplicaMember[] = [];
  readonly currentReplicaIds = new Set<string>();
  /** Replicas that ended under a part of a prompt. */
  readonly crashes: Disturbance[] = [];
  /** Bodies of requests that end replicas. */
  readonly crashingBodies = new Map<string, BodyCrashTime>();
  readonly requestCrashes: RequestCrash[] = [];
  readonly apiKeys: string[] = ["key-a", "key-b", "key-c"];
  readonly #options: FleetOptions;
  readonly #restarts: Promise<unknown>[] = [];
  #configVersion = 0;
  #configuration: object = {};
  #nextReplicaNumber = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    mkdirSync(options.folder, { recursive: true });
  }

  async start(): Promise<void> {
    const { signal, basePort, entryCount, replicaCount } = this.#options;
    const storeServer = await startServer(this.store.handle, 0);
    signal.addEventListener("abort", () => void storeServer.close(), {
      once: true,
    });
    this.writeConfiguration();
    for (let index = 0; index < replicaCount; index++) await this.addReplica();
    for (let index = 0; index < entryCount; index++) {
      const callerPort = basePort + index * PORTS_PER_ENTRY;
      this.entries.push({
        name: `entry-${index}`,
        index,
        callerLink: await openLink({ targetPort: callerPort, signal }),
        storeLink: await openLink({ targetPort: storeServer.port, signal }),
      });
    }
    await Promise.all(this.entries.map((entry) => this.startEntry(entry)));
  }

  async startEntry(entry: EntryMember): Promise<void> {
    const { bundleFile, folder, signal } = this.#options;
    const file = join(folder, `${entry.name}.toml`);
    writeFileSync(file, this.#createSettings(entry));
    const started = await startProcess({
      file: bundleFile,
      nodeFlags: readNodeFlags(),
      args: [`127.0.0.1:${this.#getPorts(entry.index).callers}`],
      env: { HORNBEAMRILL_NODE_FILE: file },
      readyLine: /event=started/,
      logFile: join(folder, `${entry.name}.log`),
      signal,
    });
    if (started.isErr()) throw new Error(started.error.detail);
    entry.process = started.value;
  }

  isReady(entry: EntryMember): Promise<boolean> {
    return isReadyAt(this.#getPorts(entry.index).readiness);
  }

  #getPorts(index: number) {
    const base = this.#options.basePort + index * PORTS_PER_ENTRY;
    return {
      callers: base,
      readiness: base + 1,
      control: base + 2,
      metrics: base + 3,
    };
  }

  #createSettings(entry: EntryMember): string {
    const ports = this.#getPorts(entry.index);
    const seeds = this.entries
      .slice(0, 2)
      .map(({ index }) => `"127.0.0.1:${this.#getPorts(index).control}"`);
    return `node_name = "${entry.name}"
role = "entry"
ip = "127.0.0.1"
zone = "${entry.index === this.#options.entryCount - 1 ? "dc2" : "dc1"}"
port_range = [${ports.metrics}, ${ports.metrics + 1}]
seeds = [${seeds.join(", ")}]
[listen]
front = "127.0.0.1:${ports.callers}"
ready = "127.0.0.1:${ports.readiness}"
control = "127.0.0.1:${ports.control}"
[limits]
memory_mb = ${HOST_MEMORY_MB}
[bounds]
revoke_ms = ${TIME_BOUNDS.revokeMs}
config_deadline_ms = ${TIME_BOUNDS.configDeadlineMs}
drain_ms = ${TIME_BOUNDS.drainMs}
grace_s = ${TIME_BOUNDS.graceSeconds}
retry_budget_ratio = 0.9
retry_window_s = 10
retry_slack = 50
session_s = 5
expose_share = 0.15
[platform]
addr = "127.0.0.1:${entry.storeLink.port}"
`;
  }

  /** Writes the next configuration version with the API keys valid now. */
  writeConfiguration(): void {
    this.#configVersion++;
    const route = {
      host: HOST,
      timeout_ms: ROUTE_TIMEOUT_MS,
      target_latency_ms: 300,
      priority: 1,
      public: false,
      service: REPLICA_SERVICE,
    };
    this.#configuration = {
      version: this.#configVersion,
      routes: [
        { ...route, name: "s", prefix: "/safe/", kind: "safe", attempts: 3 },
        { ...route, name: "o", prefix: "/once/", kind: "unsafe", attempts: 2 },
        {
          ...route,
          name: "t",
          prefix: "/stream/",
          kind: "streaming",
          resumable: true,
          attempts: 3,
          gap_aim_ms: 300,
        },
      ],
      services: [
        {
          name: REPLICA_SERVICE,
          max_conns: 100,
          cold_start_s: 0,
          cold_per_s: 50,
        },
      ],
      limits: { max_body_bytes: MAX_BODY_BYTES, idle_timeout_ms: 5_000 },
      tenants: [{ name: "farm", api_keys: [...this.apiKeys] }],
    };
    this.#writeConfigurationAgain();
  }

  #writeConfigurationAgain(): void {
    this.store.put("config", "main", this.#configuration);
  }

  /** The operator and the replicas write what a restored store has lost. */
  async writeAgain(maxDelayMs: number): Promise<void> {
    this.#writeConfigurationAgain();
    await delay(maxDelayMs);
    for (const member of this.replicas) {
      const isCurrent = this.currentReplicaIds.has(member.id);
      if (isCurrent) this.writeReplica(member, "ready");
      else if (member.hasLeft) this.store.delete("servers", member.id);
      else if (member.isDraining) this.writeReplica(member, "draining");
    }
  }

  listCurrentReplicas(): ReplicaMember[] {
    return this.replicas.filter(({ id }) => this.currentReplicaIds.has(id));
  }

  async addReplica(): Promise<ReplicaMember> {
    const { basePort, signal } = this.#options;
    // Unlike those of other soaks and tests, which may get a port of this one.
    const id = `i-${basePort}-${this.#nextReplicaNumber++}`;
    const replica = new ReplicaStandin({
      id,
      delayMs: 10,
      streamEvents: STREAM_EVENTS,
      crashesOn: new Set([CRASHING_PART]),
      onCrash: () => {
        const fromMs = performance.now();
        const toMs = fromMs + CRASH_DOWN_MS;
        this.crashes.push({ kind: CRASH_KIND, member: id, fromMs, toMs });
        const restart = delay(CRASH_DOWN_MS).then(() =>
          signal.aborted ? undefined : replica.start(port),
        );
        this.#restarts.push(restart);
      },
      getWorkMs: parseWorkMs,
      crashesOnBody: this.crashingBodies,
      onBodyCrash: (body) => this.#restarts.push(this.#replace(member, body)),
    });
    const port = await replica.start();
    signal.addEventListener("abort", () => replica.close(), { once: true });
    const link = await openLink({ targetPort: port, signal });
    const member: ReplicaMember = { id, replica, link };
    this.replicas.push(member);
    this.currentReplicaIds.add(id);
    this.writeReplica(member, "ready");
    return member;
  }

  /** A replica that a request has ended is back later under a new id. */
  async #replace(member: ReplicaMember, body: string): Promise<void> {
    const { id } = member;
    const atMs = performance.now();
    if (this.requestCrashes.some(({ replica }) => replica === id)) return;
    this.requestCrashes.push({ body, replica: id, atMs });
    const span = { fromMs: atMs, toMs: Number.POSITIVE_INFINITY };
    this.crashes.push({ kind: REQUEST_CRASH_KIND, member: id, ...span });
    // Keeps its port, which another program could get otherwise.
    member.link.cut({ mode: "reset" });
    await delay(REPLACEMENT_MS);
    if (this.#options.signal.aborted) return;
    // One that was leaving has a successor already.
    if (this.currentReplicaIds.has(id)) await this.addReplica();
    this.currentReplicaIds.delete(id);
    member.hasLeft = true;
    this.store.delete("servers", id);
  }

  /** Resolves once all replicas that have crashed are back. */
  async waitForRestarts(): Promise<void> {
    await Promise.all(this.#restarts);
  }

  writeReplica(member: ReplicaMember, state: "ready" | "draining"): void {
    const spec = createReplicaSpec(member.link.port, { state });
    this.store.put("servers", member.id, spec);
  }
}

/** True when an entry answers the readiness request at the port with 200. */
export function isReadyAt(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = get({
      host: "127.0.0.1",
      port,
      path: READY_PATH,
      agent: false,
      timeout: READY_TIMEOUT_MS,
    });
    outgoing.once("response", (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    outgoing.once("timeout", () => outgoing.destroy());
    outgoing.once("close", () => resolve(false));
    outgoing.once("error", () => resolve(false));
  });
}
