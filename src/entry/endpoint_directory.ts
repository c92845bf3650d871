/**
 * The endpoints that an entry can reach: the host list names them, and a
 * stream to each one carries its live status.
 */

import { performance } from "node:perf_hooks";
import { type ClientReadableStream, Metadata } from "@grpc/grpc-js";
import { LRUCache } from "lru-cache";
import { formatAddress, type Logger, openClient } from "../adapters/index.js";
import { chooseEndpointSubset, computeStatusPeriodMs } from "../core/index.js";
import {
  type EndpointStatus,
  type FleetState,
  GateClient,
} from "../schema/index.js";

/** An endpoint process as the host list names it. */
export interface EndpointHost {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly controlPort: number;
  readonly leaving: boolean;
}

export interface EndpointDirectoryOptions {
  readonly entry: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly log: Logger;
  /** Versions that operators assign to endpoints. */
  readonly getAssignments: () => FleetState["endpoints"];
  readonly onStatus: (status: EndpointStatus) => void;
  readonly onGone: (endpoint: string) => void;
}

interface Connection {
  readonly host: EndpointHost;
  readonly client: GateClient;
  readonly controller: AbortController;
  status?: EndpointStatus;
}

interface SpareClient {
  readonly client: GateClient;
  readonly controller: AbortController;
}

const MAX_SPARE_CLIENTS = 16;
const SPARE_IDLE_MS = 30_000;
/** Periods without a status that say that the endpoint can't be reached. */
const MAX_SILENT_PERIODS = 3.5;
/** Longer than the host list's lag. */
const LIST_SETTLED_MS = 30_000;
const RECONNECT_MS = 300;
const MAX_RECONNECT_MS = 3_000;

/** Connects to the endpoints of the host list and reports their status. */
export class EndpointDirectory {
  readonly #options: EndpointDirectoryOptions;
  readonly #connections = new Map<string, Connection>();
  readonly #signal: AbortSignal;
  /** Clients of endpoints outside the subset, closed when they fall idle. */
  readonly #spare = new LRUCache<string, SpareClient>({
    max: MAX_SPARE_CLIENTS,
    ttl: SPARE_IDLE_MS,
    ttlAutopurge: true,
    updateAgeOnGet: true,
    dispose: ({ controller }) => controller.abort(),
  });
  /** All endpoints of the host list, attached or not. */
  #listed: ReadonlyMap<string, EndpointHost> = new Map();
  #firstListAtMs: number | undefined;
  #statusPeriodMs = computeStatusPeriodMs(0);

  constructor(options: EndpointDirectoryOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#closeAll(), { once: true });
  }

  /** Live status by endpoint name. */
  listStatus(): EndpointStatus[] {
    return [...this.#connections.values()].flatMap((connection) =>
      connection.status === undefined ? [] : [connection.status],
    );
  }

  /** A client of any listed endpoint, such as one that a claim names. */
  getClient(endpoint: string): GateClient | undefined {
    const attached = this.#connections.get(endpoint)?.client;
    if (attached !== undefined) return attached;
    const host = this.#listed.get(endpoint);
    if (host === undefined || this.#signal.aborted) return undefined;
    const address = formatAddress(host);
    const known = this.#spare.get(address);
    if (known !== undefined) return known.client;
    const controller = new AbortController();
    const client = openClient(GateClient, address, controller.signal);
    this.#spare.set(address, { client, controller });
    return client;
  }

  getStatus(endpoint: string): EndpointStatus | undefined {
    return this.#connections.get(endpoint)?.status;
  }

  /**
   * True when the host list has not named the endpoint for long. A list that
   * was read only just now may lag behind the endpoint's start.
   */
  isGone(endpoint: string): boolean {
    const firstListAtMs = this.#firstListAtMs ?? Number.POSITIVE_INFINITY;
    const isSettled = performance.now() - firstListAtMs > LIST_SETTLED_MS;
    return isSettled && !this.#listed.has(endpoint);
  }

  /** Connects to new hosts and drops those that left the list. */
  updateHosts(hosts: readonly EndpointHost[]): void {
    if (this.#signal.aborted) return;
    this.#firstListAtMs ??= performance.now();
    this.#listed = new Map(hosts.map((host) => [host.name, host]));
    const chosen = this.#choose(hosts);
    this.#statusPeriodMs = computeStatusPeriodMs(chosen.length);
    const attached = new Map(chosen.map((host) => [host.name, host]));
    for (const [name, connection] of this.#connections) {
      const host = attached.get(name);
      if (host === undefined || !isSameAddress(host, connection.host)) {
        this.#close(name);
      }
    }
    for (const host of chosen) this.#update(host);
  }

  #choose(hosts: readonly EndpointHost[]): EndpointHost[] {
    const { entry, dataCentre, getAssignments } = this.#options;
    const assignments = getAssignments();
    const subset = chooseEndpointSubset(hosts, {
      entry,
      dataCentre,
      assignments,
    });
    return hosts.filter((host) => subset.has(host.name));
  }

  #update(host: EndpointHost): void {
    const known = this.#connections.get(host.name);
    if (known === undefined) {
      this.#open(host);
      return;
    }
    if (known.host.leaving === host.leaving) return;
    const updated = { ...known, host };
    this.#connections.set(host.name, updated);
    if (known.status !== undefined) this.#report(updated, known.status);
  }

  #open(host: EndpointHost): void {
    const controller = new AbortController();
    const client = openClient(
      GateClient,
      formatAddress(host),
      controller.signal,
    );
    this.#connections.set(host.name, { host, client, controller });
    this.#attach(host.name, RECONNECT_MS);
  }

  #attach(name: string, backoffMs: number): void {
    const connection = this.#connections.get(name);
    if (connection === undefined) return;
    const { controller, client } = connection;
    if (controller.signal.aborted) return;
    const { entry, incarnation } = this.#options;
    const statusPeriodMs = this.#statusPeriodMs;
    const stream = client.attach(
      { entry, incarnation, statusPeriodMs },
      new Metadata(),
    );
    let nextBackoffMs = backoffMs;
    const watchdog = createWatchdog(
      stream,
      statusPeriodMs * MAX_SILENT_PERIODS,
    );
    stream.on("data", (status: EndpointStatus) => {
      nextBackoffMs = RECONNECT_MS;
      watchdog.refresh();
      const current = this.#connections.get(name);
      if (current?.controller === controller) this.#report(current, status);
    });
    const cancel = () => stream.cancel();
    controller.signal.addEventListener("abort", cancel, { once: true });
    let ended = false;
    const reconnect = () => {
      if (ended) return;
      ended = true;
      clearTimeout(watchdog);
      // An endpoint that stays away would leave one listener per attempt.
      controller.signal.removeEventListener("abort", cancel);
      if (this.#connections.get(name)?.controller !== controller) return;
      this.#reportGone(name);
      setTimeout(
        () => this.#attach(name, Math.min(nextBackoffMs * 2, MAX_RECONNECT_MS)),
        nextBackoffMs,
      ).unref();
    };
    stream.on("error", reconnect);
    stream.on("end", reconnect);
  }

  #report(connection: Connection, status: EndpointStatus): void {
    connection.status = status;
    const leaving = status.leaving || connection.host.leaving;
    this.#options.onStatus({ ...status, leaving });
  }

  #reportGone(name: string): void {
    const connection = this.#connections.get(name);
    if (connection?.status === undefined) return;
    connection.status = undefined;
    this.#options.log.info("endpoint-unreachable", { endpoint: name });
    this.#options.onGone(name);
  }

  #close(name: string): void {
    const connection = this.#connections.get(name);
    if (connection === undefined) return;
    this.#reportGone(name);
    this.#connections.delete(name);
    connection.controller.abort();
  }

  #closeAll(): void {
    for (const name of [...this.#connections.keys()]) this.#close(name);
    this.#spare.clear();
  }
}

function isSameAddress(left: EndpointHost, right: EndpointHost): boolean {
  return (
    left.address === right.address && left.controlPort === right.controlPort
  );
}

/** Ends a stream that went silent, such as one to a frozen process. */
function createWatchdog(
  stream: ClientReadableStream<EndpointStatus>,
  maxSilenceMs: number,
): NodeJS.Timeout {
  return setTimeout(() => stream.cancel(), maxSilenceMs).unref();
}
