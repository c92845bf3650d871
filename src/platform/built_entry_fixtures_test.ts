/** Starts the built entry as a process, as the deployment does, and watches it. */

import assert from "node:assert/strict";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as sendRequest } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import {
  type ExitStatus,
  type ManagedProcess,
  startProcess,
} from "../standins/managed_process.js";
import { startServer } from "../standins/server.js";
import { readNodeFlags } from "../testbed/deploy_file.js";
import { readResidentMegabytes } from "../testbed/process_usage.js";
import { HOST } from "./entry_fixtures_test.js";
import { findFreePort } from "./free_ports_test.js";
import { BUNDLE_FILE, HOST_MEMORY_MB, isReadyAt } from "./soak/fleet.js";
import { createReplicaSpec, ReplicaStandin } from "./standins/replica.js";
import { PlatformStoreStandin } from "./standins/store.js";

const MEMORY_CHECK_INTERVAL_MS = 10;
/** Time in which a sound caller wants its answer, ms. */
export const SOUND_DEADLINE_MS = 1_000;
const SOUND_CALL_INTERVAL_MS = 50;
const READY_TIMEOUT_MS = 2_000;
const READY_CHECK_INTERVAL_MS = 20;

export interface CallResult {
  readonly id: string;
  /** 0 where the connection ended without an answer. */
  readonly status: number;
  readonly isComplete: boolean;
  readonly ms: number;
}

/** Sends one request on a connection of its own. */
export function callEntry(
  port: number,
  path: string,
  id: string,
  deadlineMs = SOUND_DEADLINE_MS,
): Promise<CallResult> {
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    const settle = (status: number, isComplete: boolean) => {
      const ms = performance.now() - startedAtMs;
      resolve({ id, status, isComplete, ms });
    };
    const outgoing = sendRequest({
      host: "127.0.0.1",
      port,
      path,
      agent: false,
      headers: {
        host: HOST,
        "attempt-id": id,
        "deadline-ms": String(deadlineMs),
      },
    });
    outgoing.once("response", (answer) => {
      answer.resume();
      answer.on("error", () => undefined);
      answer.once("close", () =>
        settle(answer.statusCode ?? 0, answer.complete),
      );
    });
    outgoing.once("error", () => settle(0, false));
    outgoing.end();
  });
}

export interface BuiltEntryOptions {
  readonly name?: string;
  /** Where the store listens, if it is not the stand-in. */
  readonly storePort?: number;
  readonly seeds?: readonly string[];
  readonly memoryMb?: number;
  /** Descriptors that the host allows the process. */
  readonly maxDescriptors?: number;
  /** Flags of Node behind those of the deployment, which they override. */
  readonly nodeFlags?: readonly string[];
}

export interface BuiltEntryPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly control: number;
  readonly metrics: number;
}

export interface BuiltEntryCommand {
  readonly name: string;
  readonly ports: BuiltEntryPorts;
  readonly settingsFile: string;
  readonly file: string;
  readonly nodeFlags: readonly string[];
  readonly args: readonly string[];
  readonly env: Readonly<Record<string, string>>;
}

/** One process of the entry. */
export class BuiltEntry {
  readonly process: ManagedProcess;
  readonly ports: BuiltEntryPorts;
  /** How it ended; undefined while it runs. */
  exit: ExitStatus | undefined;
  peakMemoryMb = 0;

  constructor(process: ManagedProcess, ports: BuiltEntryPorts) {
    this.process = process;
    this.ports = ports;
    const timer = setInterval(
      () => this.#watchMemory(),
      MEMORY_CHECK_INTERVAL_MS,
    );
    void process.exited.then((status) => {
      this.exit = status;
      clearInterval(timer);
    });
  }

  #watchMemory(): void {
    try {
      const memoryMb = readResidentMegabytes(this.process.pid);
      this.peakMemoryMb = Math.max(this.peakMemoryMb, memoryMb);
    } catch {
      // It has just ended, which `exit` tells.
    }
  }

  call(
    path: string,
    id: string,
    deadlineMs = SOUND_DEADLINE_MS,
  ): Promise<CallResult> {
    return callEntry(this.ports.callers, path, id, deadlineMs);
  }

  /** As load balancers do; one without a sound store is never ready. */
  async waitUntilReady(): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs && this.exit === undefined) {
      if (await isReadyAt(this.ports.readiness)) return;
      await delay(READY_CHECK_INTERVAL_MS);
    }
  }

  /** Waits until the entry has read the store, some time after its start. */
  async waitUntilServing(): Promise<void> {
    for (let i = 0; this.exit === undefined; i++) {
      const { status } = await this.call("/safe/sound", `first-${i}`);
      if (status === 200) return;
      await delay(SOUND_CALL_INTERVAL_MS);
    }
  }

  /** Calls a sound endpoint at intervals until aborted or the process ends. */
  async callRepeatedly(
    signal: AbortSignal,
    deadlineMs = SOUND_DEADLINE_MS,
  ): Promise<CallResult[]> {
    const calls: Promise<CallResult>[] = [];
    for (let i = 0; !signal.aborted && this.exit === undefined; i++) {
      calls.push(this.call("/safe/sound", `sound-${i}`, deadlineMs));
      await new Promise((resolve) =>
        setTimeout(resolve, SOUND_CALL_INTERVAL_MS),
      );
    }
    return await Promise.all(calls);
  }
}

/** A store, endpoints and processes of the entry. */
export class BuiltSystem {
  readonly store = new PlatformStoreStandin();
  readonly entries: BuiltEntry[] = [];
  readonly #controller = new AbortController();
  readonly #folder = mkdtempSync(join(tmpdir(), "entry-"));
  #storePort = 0;

  /** Starts the store, with routes that need no key. */
  async start(limits: object = {}): Promise<void> {
    const { signal } = this.#controller;
    const server = await startServer(this.store.handle, 0);
    signal.addEventListener("abort", () => void server.close(), { once: true });
    this.#storePort = server.port;
    const route = {
      host: HOST,
      timeout_ms: 4_000,
      target_latency_ms: 400,
      priority: 1,
      attempts: 3,
      public: true,
      service: "svc",
    };
    this.store.put("config", "main", {
      version: 1,
      routes: [
        { ...route, name: "safe", prefix: "/safe/", kind: "safe" },
        { ...route, name: "once", prefix: "/once/", kind: "unsafe" },
        {
          ...route,
          name: "stream",
          prefix: "/stream/",
          kind: "streaming",
          resumable: true,
          gap_aim_ms: 300,
        },
        {
          ...route,
          name: "odd",
          prefix: "/odd/",
          kind: "safe",
          service: "odd",
        },
        {
          ...route,
          name: "odd-stream",
          prefix: "/odd-stream/",
          kind: "streaming",
          resumable: true,
          gap_aim_ms: 300,
          service: "odd",
        },
      ],
      services: ["svc", "odd"].map((name) => ({
        name,
        max_conns: 360,
        cold_start_s: 0,
        cold_per_s: 0,
      })),
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 1_000_000,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
        ...limits,
      },
      tenants: [],
    });
  }

  /** Starts a sound endpoint, of the routes `/safe/`, `/once/`, `/stream/`. */
  async startEndpoint(id: string): Promise<ReplicaStandin> {
    const replica = new ReplicaStandin({ id, delayMs: 5, streamEvents: 3 });
    const port = await replica.start();
    this.#onClose(() => replica.close());
    this.store.put("servers", id, createReplicaSpec(port, { service: "svc" }));
    return replica;
  }

  /**
   * Starts an endpoint of the routes `/odd/` and `/odd-stream/`. It calls back
   * with each request's id and connection, on which anything may be written.
   */
  async startOddEndpoint(
    id: string,
    answer: (socket: Socket, requestId: string) => void,
  ): Promise<void> {
    const port = await this.startRawServer((socket, text) => {
      answer(socket, /^attempt-id: (\S+)/im.exec(text)?.[1] ?? "");
    });
    this.store.put("servers", id, createReplicaSpec(port, { service: "odd" }));
  }

  /** Calls back with the first packet of each connection. */
  async startRawServer(
    answer: (socket: Socket, text: string) => void,
  ): Promise<number> {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => sockets.delete(socket));
      socket.once("data", (data) => answer(socket, data.toString("latin1")));
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve()),
    );
    this.#onClose(() => {
      server.close();
      for (const socket of sockets) socket.destroy();
    });
    return (server.address() as AddressInfo).port;
  }

  #onClose(close: () => void): void {
    const { signal } = this.#controller;
    signal.addEventListener("abort", close, { once: true });
  }

  /** What starts an entry; writes its settings file. */
  async createCommand(
    options: BuiltEntryOptions = {},
  ): Promise<BuiltEntryCommand> {
    const { name = `entry-${this.entries.length + 1}` } = options;
    const ports = {
      callers: await findFreePort(),
      readiness: await findFreePort(),
      control: await findFreePort(),
      metrics: await findFreePort(),
    };
    const settingsFile = join(this.#folder, `${name}.toml`);
    writeFileSync(settingsFile, this.#createSettings(name, ports, options));
    return {
      name,
      ports,
      settingsFile,
      file: BUNDLE_FILE,
      nodeFlags: [...readNodeFlags(), ...(options.nodeFlags ?? [])],
      args: [`127.0.0.1:${ports.callers}`],
      env: { HORNBEAMRILL_NODE_FILE: settingsFile },
    };
  }

  async startEntry(options: BuiltEntryOptions = {}): Promise<BuiltEntry> {
    const command = await this.createCommand(options);
    const { name, ports, file, nodeFlags, args, env } = command;
    const started = await startProcess({
      file,
      nodeFlags,
      args,
      env,
      readyLine: /event=started/,
      logFile: join(this.#folder, `${name}.log`),
      signal: this.#controller.signal,
    });
    if (started.isErr()) throw new Error(started.error.detail);
    const entry = new BuiltEntry(started.value, ports);
    this.entries.push(entry);
    await entry.waitUntilReady();
    return entry;
  }

  /** All that an entry has written to its log so far. */
  readLog(name = "entry-1"): string {
    return readFileSync(join(this.#folder, `${name}.log`), "utf8");
  }

  #createSettings(
    name: string,
    ports: BuiltEntryPorts,
    options: BuiltEntryOptions,
  ): string {
    const { storePort = this.#storePort, seeds = [] } = options;
    const { memoryMb = HOST_MEMORY_MB, maxDescriptors = 4_096 } = options;
    return `node_name = "${name}"
role = "entry"
ip = "127.0.0.1"
zone = "dc1"
port_range = [${ports.metrics}, ${ports.metrics + 1}]
seeds = [${seeds.map((seed) => `"${seed}"`).join(", ")}]
[listen]
front = "127.0.0.1:${ports.callers}"
ready = "127.0.0.1:${ports.readiness}"
control = "127.0.0.1:${ports.control}"
[limits]
memory_mb = ${memoryMb}
max_fds = ${maxDescriptors}
[bounds]
revoke_ms = 5000
config_deadline_ms = 2000
drain_ms = 2000
grace_s = 4
retry_budget_ratio = 0.9
retry_window_s = 10
retry_slack = 50
session_s = 5
expose_share = 0.15
[platform]
addr = "127.0.0.1:${storePort}"
`;
  }

  async close(): Promise<void> {
    this.#controller.abort();
    for (const entry of this.entries) await entry.process.exited;
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/**
 * Runs the odd side while sound callers call for `callMs`, and asserts that
 * these are all served and the process stays within the smallest host's memory.
 */
export async function assertSoundBeside<T>(
  entry: BuiltEntry,
  callMs: number,
  runOdd: () => Promise<T>,
  soundDeadlineMs = SOUND_DEADLINE_MS,
): Promise<T> {
  await entry.waitUntilServing();
  const soundCalls = new AbortController();
  const sound = entry.callRepeatedly(soundCalls.signal, soundDeadlineMs);
  const odd = runOdd();
  await delay(callMs);
  soundCalls.abort();
  const results = await sound;
  assert.equal(entry.exit, undefined);
  const { peakMemoryMb } = entry;
  assert.ok(peakMemoryMb < HOST_MEMORY_MB, `${peakMemoryMb} MB`);
  const unserved = results.filter(({ status }) => status !== 200);
  const unservedIds = unserved.map(({ id, status }) => `${id}: ${status}`);
  assert.equal(unservedIds.join(), "", `of ${results.length}`);
  return await odd;
}
