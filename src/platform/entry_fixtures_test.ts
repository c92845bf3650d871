/** Runs an entry with a stand-in store and replicas in the test's process. */

import { request as sendRequest } from "node:http";
import type { LogFields, Logger } from "../adapters/logger.js";
import { startServer } from "../standins/server.js";
import { type RunningEntry, startEntry } from "./entry.js";
import type { EntryBounds } from "./entry_settings.js";
import { HOST_MEMORY_MB } from "./soak/fleet.js";
import {
  createReplicaSpec,
  type ReplicaOptions,
  ReplicaStandin,
} from "./standins/replica.js";
import { PlatformStoreStandin } from "./standins/store.js";

export const HOST = "shop.example";
export const API_KEY = "key-1";

const BOUNDS: EntryBounds = {
  revokeMs: 5_000,
  configMs: 2_000,
  drainMs: 2_000,
  evacuationMs: 5_000,
  graceMs: 2_000,
  retryRatio: 0.9,
  retryWindowMs: 10_000,
  retryAllowance: 50,
  sessionGapMs: 5_000,
  maxExposure: 0.15,
};

export interface Answer {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: string;
  /** Whether the body ended as its framing says. */
  readonly isComplete: boolean;
}

export interface CrashRecord {
  readonly endpoint: string;
  readonly atMs: number;
  readonly sharedParts: readonly string[];
}

export interface LogRecord extends LogFields {
  readonly event: string;
}

export function createConfiguration(version = 1) {
  const route = {
    host: HOST,
    timeout_ms: 4_000,
    target_latency_ms: 400,
    priority: 1,
    attempts: 3,
    public: false,
    service: "svc",
  };
  return {
    version,
    routes: [
      { ...route, name: "safe", prefix: "/safe/", kind: "safe" },
      { ...route, name: "once", prefix: "/once/", kind: "unsafe", attempts: 2 },
      { ...route, name: "open", prefix: "/open/", kind: "safe", public: true },
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
        name: "sized",
        prefix: "/stream/sized/",
        kind: "streaming",
        resumable: true,
        sizes: ["small", "middle", "large"],
        gap_aim_ms: 300,
      },
    ],
    services: [
      {
        name: "svc",
        max_conns: 100,
        cold_start_s: 1,
        cold_per_s: 16,
        engine: {
          models: [
            { name: "small", cost: 0.1 },
            { name: "middle", cost: 0.5 },
            { name: "large", cost: 1 },
          ],
        },
      },
    ],
    limits: { max_body_bytes: 100_000, idle_timeout_ms: 5_000 },
    tenants: [{ name: "farm", api_keys: [API_KEY] }],
  };
}

export class TestSystem {
  readonly store = new PlatformStoreStandin();
  readonly logs: LogRecord[] = [];
  readonly replicas = new Map<string, ReplicaStandin>();
  readonly replicaPorts = new Map<string, number>();
  /** Endpoints that ended under a request, and when. */
  readonly crashes: CrashRecord[] = [];
  readonly #closers: (() => unknown)[] = [];
  #storePort = 0;
  #isClosed = false;
  readonly #entries: RunningEntry[] = [];

  async startStore(): Promise<void> {
    const server = await startServer(this.store.handle, 0);
    this.#closers.push(() => server.close());
    this.#storePort = server.port;
  }

  /** Starts a replica and registers it; `fields` override its stored record. */
  async startReplica(
    options: ReplicaOptions,
    fields: object = {},
  ): Promise<ReplicaStandin> {
    const replica = new ReplicaStandin(options);
    const port = await replica.start();
    this.#closers.push(() => replica.close());
    this.replicas.set(options.id, replica);
    this.replicaPorts.set(options.id, port);
    const spec = createReplicaSpec(port, fields);
    this.store.put("servers", options.id, spec);
    return replica;
  }

  /** Starts a replica that is back under another id after each crash. */
  async startCrashingReplica(
    options: ReplicaOptions,
    restartAfterMs: number,
    fields: object = {},
  ): Promise<void> {
    const { id } = options;
    await this.startReplica(
      {
        ...options,
        onCrash: (sharedParts) => {
          const atMs = performance.now();
          this.crashes.push({ endpoint: id, atMs, sharedParts });
          this.store.delete("servers", id);
          if (this.#isClosed) return;
          const timer = setTimeout(() => {
            const nextOptions = { ...options, id: `${id}x` };
            void this.startCrashingReplica(nextOptions, restartAfterMs, fields);
          }, restartAfterMs);
          this.#closers.push(() => clearTimeout(timer));
        },
      },
      fields,
    );
  }

  /** Starts an entry; a later one finds the others through the first. */
  async startEntry(bounds: Partial<EntryBounds> = {}): Promise<void> {
    const anyPortAddress = { address: "127.0.0.1", port: 0 };
    const name = `entry-${this.#entries.length + 1}`;
    const entry = await startEntry(
      {
        name,
        role: "entry",
        dataCentre: "dc1",
        address: "127.0.0.1",
        callerAddress: anyPortAddress,
        readinessAddress: anyPortAddress,
        exchangeAddress: anyPortAddress,
        metricsPort: 0,
        storeAddress: { address: "127.0.0.1", port: this.#storePort },
        seeds: this.#entries.slice(0, 1).map(({ exchangePort }) => ({
          address: "127.0.0.1",
          port: exchangePort,
        })),
        bounds: { ...BOUNDS, ...bounds },
        memoryMb: HOST_MEMORY_MB,
        maxDescriptors: 4_096,
      },
      this.#createLogger(name),
    );
    this.#entries.push(entry);
  }

  /** Starts store, replicas and entries; resolves when all are ready. */
  async start(
    replicas: readonly ReplicaOptions[],
    bounds: Partial<EntryBounds> = {},
    entryCount = 1,
  ): Promise<void> {
    await this.startStore();
    this.store.put("config", "main", createConfiguration());
    for (const options of replicas) await this.startReplica(options);
    for (let i = 0; i < entryCount; i++) await this.startEntry(bounds);
    await this.waitFor(() => this.isReady);
  }

  get callerPort(): number {
    return this.#entries[0]?.callerPort ?? 0;
  }

  get isReady(): boolean {
    return (
      this.#entries.length > 0 &&
      this.#entries.every((entry) => entry.isReady())
    );
  }

  #createLogger(entry: string): Logger {
    const record = (event: string, fields: LogFields = {}) => {
      this.logs.push({ event, entry, ...fields });
    };
    return { debug: record, info: record, warn: record, error: record };
  }

  async waitFor(
    isDone: () => boolean | Promise<boolean>,
    timeoutMs = 5_000,
  ): Promise<void> {
    const deadlineMs = performance.now() + timeoutMs;
    while (!(await isDone())) {
      if (performance.now() > deadlineMs)
        throw new Error("Timed out waiting for a condition");
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
  }

  /** Runs of a request on all replicas, in the order in which they started. */
  listRuns(requestId: string) {
    return [...this.replicas.values()]
      .flatMap((replica) =>
        replica.runs.filter((run) => run.requestId === requestId),
      )
      .sort((a, b) => a.startedAtMs - b.startedAtMs);
  }

  call(
    path: string,
    options: {
      id?: string;
      method?: string;
      key?: string;
      body?: string;
      headers?: Record<string, string>;
      deadlineMs?: number;
      signal?: AbortSignal;
      /** The rest of the body never comes. */
      isBodyOpen?: boolean;
      /** Number of the entry, from 0. */
      entry?: number;
      /** Called with the body received so far. */
      onData?: (text: string) => void;
    } = {},
  ): Promise<Answer> {
    const {
      id = "r1",
      method = "POST",
      key = API_KEY,
      body = "order",
    } = options;
    return new Promise((resolve, reject) => {
      const clientRequest = sendRequest(
        {
          host: "127.0.0.1",
          port: this.#entries[options.entry ?? 0]?.callerPort,
          method,
          path,
          signal: options.signal,
          headers: {
            host: HOST,
            "attempt-id": id,
            authorization: `Bearer ${key}`,
            "deadline-ms": String(options.deadlineMs ?? 3_000),
            "content-length": String(Buffer.byteLength(body)),
            ...options.headers,
          },
        },
        (response) => {
          let text = "";
          response.on("data", (chunk: Buffer) => {
            text += chunk.toString();
            options.onData?.(text);
          });
          const resolveAnswer = () =>
            resolve({
              status: response.statusCode ?? 0,
              headers: response.headers,
              body: text,
              isComplete: response.complete,
            });
          response.once("error", resolveAnswer);
          response.once("end", () => {
            resolveAnswer();
            if (options.isBodyOpen) clientRequest.destroy();
          });
        },
      );
      clientRequest.once("error", reject);
      if (options.isBodyOpen) clientRequest.write(body);
      else clientRequest.end(body);
    });
  }

  /** Ends all entries without a word, as a loss of power does. */
  abortEntries(): void {
    for (const entry of this.#entries.splice(0)) entry.abort();
  }

  /** Releases a held part as an operator does; resolves to the answer. */
  async releasePromptPart(part: string): Promise<string> {
    return await this.#callControlPort("/release-prompt-part", part);
  }

  /** Asks as an operator where a request would be routed. */
  async explain(query: string): Promise<string> {
    return await this.#callControlPort("/explain", query);
  }

  async #callControlPort(path: string, body: string): Promise<string> {
    const port = this.#entries[0]?.exchangePort;
    const url = `http://127.0.0.1:${port}${path}`;
    const answer = await fetch(url, { method: "POST", body });
    return await answer.text();
  }

  async stop(entry = 0): Promise<void> {
    await this.#entries[entry]?.stop();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    for (const entry of this.#entries) entry.abort();
    for (const close of this.#closers) await close();
  }
}
