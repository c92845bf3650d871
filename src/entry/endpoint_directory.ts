/**
 * The endpoints that an entry can reach. The host list names them, and a
 * stream from each attached one carries its live status.
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
  /** The versions that operators assign to each endpoint. */
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
const MAX_SPARE_IDLE_MS = 30_000;
/** Status periods without a message until an endpoint counts as unreachable. */
const MAX_SILENT_PERIODS = 3.5;
/** Longer than the host list lags behind the start of a host. */
const MIN_LIST_AGE_MS = 30_000;
const MIN_RECONNECT_DELAY_MS = 300;
const MAX_RECONNECT_DELAY_MS = 3_000;

/** Connects to the endpoints of the host list and reports their status. */
export class EndpointDirectory {
  readonly #options: EndpointDirectoryOptions;
  readonly #connections = new Map<string, Connection>();
  readonly #signal: AbortSignal;
  /** Clients of endpoints outside the subset, by address; closed when idle. */
  readonly #spareClients = new LRUCache<string, SpareClient>({
    max: MAX_SPARE_CLIENTS,
    ttl: MAX_SPARE_IDLE_MS,
    ttlAutopurge: true,
    updateAgeOnGet: true,
    dispose: ({ controller }) => controller.abort(),
  });
  /** All endpoints of the host list by name, attached or not. */
  #listedHosts: ReadonlyMap<string, EndpointHost> = new Map();
  #firstListAtMs: number | undefined;
  #statusPeriodMs = computeStatusPeriodMs(0);

  constructor(options: EndpointDirectoryOptions, signal: AbortSignal) {
    this.#options = options;
    this.#signal = signal;
    signal.addEventListener("abort", () => this.#closeAll(), { once: true });
  }

  /** The last status of each endpoint that can be reached. */
  listStatus(): EndpointStatus[] {
    return [...this.#connections.values()].flatMap((connection) =>
      connection.status === undefined ? [] : [connection.status],
    );
  }

  /** A client of any listed endpoint, such as one that a claim names. */
  getClient(endpoint: string): GateClient | undefined {
    const attachedClient = this.#connections.get(endpoint)?.client;
    if (attachedClient !== undefined) return attachedClient;
    const host = this.#listedHosts.get(endpoint);
    if (host === undefined || this.#signal.aborted) return undefined;
    const address = formatAddress(host);
    const spare = this.#spareClients.get(address);
    if (spare !== undefined) return spare.client;
    const controller = new AbortController();
    const client = openClient(GateClient, address, controller.signal);
    this.#spareClients.set(address, { client, controller });
    return client;
  }

  getStatus(endpoint: string): EndpointStatus | undefined {
    return this.#connections.get(endpoint)?.status;
  }

  /**
   * True if the host list lacks the endpoint. False for a while after the first
   * list was read, since a list may lag behind the start of an endpoint.
   */
  isGone(endpoint: string): boolean {
    const firstListAtMs = this.#firstListAtMs ?? Number.POSITIVE_INFINITY;
    const isListSettled = performance.now() - firstListAtMs > MIN_LIST_AGE_MS;
    return isListSettled && !this.#listedHosts.has(endpoint);
  }

  /** Connects to new endpoints and closes the connections to removed ones. */
  updateHosts(hosts: readonly EndpointHost[]): void {
    if (this.#signal.aborted) return;
    this.#firstListAtMs ??= performance.now();
    this.#listedHosts = new Map(hosts.map((host) => [host.name, host]));
    const chosenHosts = this.#chooseHosts(hosts);
    this.#statusPeriodMs = computeStatusPeriodMs(chosenHosts.length);
    const chosenByName = new Map(chosenHosts.map((host) => [host.name, host]));
    for (const [name, connection] of this.#connections) {
      const host = chosenByName.get(name);
      if (host === undefined || !isSameAddress(host, connection.host)) {
        this.#closeConnection(name);
      }
    }
    for (const host of chosenHosts) this.#updateHost(host);
  }

  #chooseHosts(hosts: readonly EndpointHost[]): EndpointHost[] {
    const { entry, dataCentre, getAssignments } = this.#options;
    const assignments = getAssignments();
    const subset = chooseEndpointSubset(hosts, {
      entry,
      dataCentre,
      assignments,
    });
    return hosts.filter((host) => subset.has(host.name));
  }

  #updateHost(host: EndpointHost): void {
    const connection = this.#connections.get(host.name);
    if (connection === undefined) {
      this.#openConnection(host);
      return;
    }
    if (connection.host.leaving === host.leaving) return;
    const updated = { ...connection, host };
    this.#connections.set(host.name, updated);
    if (connection.status !== undefined)
      this.#reportStatus(updated, connection.status);
  }

  #openConnection(host: EndpointHost): void {
    const controller = new AbortController();
    const client = openClient(
      GateClient,
      formatAddress(host),
      controller.signal,
    );
    this.#connections.set(host.name, { host, client, controller });
    this.#openStatusStream(host.name, MIN_RECONNECT_DELAY_MS);
  }

  #openStatusStream(name: string, reconnectDelayMs: number): void {
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
    let nextReconnectDelayMs = reconnectDelayMs;
    const watchdog = createWatchdog(
      stream,
      statusPeriodMs * MAX_SILENT_PERIODS,
    );
    stream.on("data", (status: EndpointStatus) => {
      nextReconnectDelayMs = MIN_RECONNECT_DELAY_MS;
      watchdog.refresh();
      const current = this.#connections.get(name);
      if (current?.controller === controller)
        this.#reportStatus(current, status);
    });
    const cancel = () => stream.cancel();
    controller.signal.addEventListener("abort", cancel, { once: true });
    let ended = false;
    const reconnect = () => {
      if (ended) return;
      ended = true;
      clearTimeout(watchdog);
      // Otherwise each attempt to reconnect would leave a listener behind.
      controller.signal.removeEventListener("abort", cancel);
      if (this.#connections.get(name)?.controller !== controller) return;
      this.#reportGone(name);
      setTimeout(
        () =>
          this.#openStatusStream(
            name,
            Math.min(nextReconnectDelayMs * 2, MAX_RECONNECT_DELAY_MS),
          ),
        nextReconnectDelayMs,
      ).unref();
    };
    stream.on("error", reconnect);
    stream.on("end", reconnect);
  }

  #reportStatus(connection: Connection, status: EndpointStatus): void {
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

  #closeConnection(name: string): void {
    const connection = this.#connections.get(name);
    if (connection === undefined) return;
    this.#reportGone(name);
    this.#connections.delete(name);
    connection.controller.abort();
  }

  #closeAll(): void {
    for (const name of [...this.#connections.keys()])
      this.#closeConnection(name);
    this.#spareClients.clear();
  }
}

function isSameAddress(left: EndpointHost, right: EndpointHost): boolean {
  return (
    left.address === right.address && left.controlPort === right.controlPort
  );
}

/** Cancels a stream that went silent, such as one from a frozen process. */
function createWatchdog(
  stream: ClientReadableStream<EndpointStatus>,
  maxSilenceMs: number,
): NodeJS.Timeout {
  return setTimeout(() => stream.cancel(), maxSilenceMs).unref();
}
