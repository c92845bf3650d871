/**
 * Measures the load of control messages on one real entry and one real
 * endpoint process while no requests run: transferred bytes, processor time and
 * memory, with given numbers of fake endpoints, of processes that poll the
 * entry for the fleet state, and of attached entries.
 */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";
import { openClient } from "../adapters/index.js";
import { chooseEndpointSubset, computeStatusPeriodMs } from "../core/index.js";
import {
  type AttachRequest,
  ConfigSyncClient,
  type EndpointStatus,
  GateClient,
  GateService,
  type Settings,
} from "../schema/index.js";
import { type Link, openLink } from "../standins/link.js";
import {
  type ManagedProcess,
  startProcess,
} from "../standins/managed_process.js";
import { delay } from "../testbed/delay.js";
import { callJson } from "../testbed/http_calls.js";
import {
  readCpuSeconds,
  readResidentMegabytes,
} from "../testbed/process_usage.js";

export interface ControlLoadOptions {
  /** Endpoints in the host list. */
  readonly endpoints: number;
  /** Processes that poll the entry for the fleet state. */
  readonly askers: number;
  /** Entries attached to the measured endpoint process. */
  readonly entries: number;
  readonly basePort: number;
  readonly seconds: number;
}

export interface ProcessSample {
  readonly residentMb: number;
  readonly cpuPercent: number;
  readonly bytesPerSecond: number;
}

export interface ControlLoadSample extends ControlLoadOptions {
  /** Endpoints from which the entry receives a stream of statuses. */
  readonly attached: number;
  readonly entry: ProcessSample;
  readonly endpoint: ProcessSample;
}

const LOOPBACK_ADDRESS = "127.0.0.1";
const VERSION_COUNT = 39;
const DATA_CENTRE_COUNT = 6;
/** From the start of the processes to the start of the measurement. */
const WARM_UP_MS = 8_000;
/** Deadline of a long poll for the fleet state. */
const POLL_TIMEOUT_MS = 2_700;

interface ProcessUsage {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly receivedBytes: number;
}

function createEndpointStatus(
  name: string,
  endpointIndex: number,
): EndpointStatus {
  return {
    endpoint: name,
    epoch: "00000000-0000-0000-0000-000000000000",
    dataCentre: `dc${endpointIndex % DATA_CENTRE_COUNT}`,
    kind: "model",
    versions: [`version-${endpointIndex % VERSION_COUNT}`],
    services: [],
    limit: 16,
    inFlight: 4,
    queued: 0,
    meanServiceMs: 1_000,
    revision: 1,
    leaving: false,
    cold: false,
    slots: 16,
  };
}

function getDistFile(path: string): string {
  return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

class ControlLoadBench {
  readonly #options: ControlLoadOptions;
  readonly #signal: AbortSignal;
  readonly #folder: string;
  readonly #servers: Server[] = [];
  readonly #entryLinks: Link[] = [];
  readonly #endpointLinks: Link[] = [];
  #nextPort: number;

  constructor(
    options: ControlLoadOptions,
    folder: string,
    signal: AbortSignal,
  ) {
    this.#options = options;
    this.#folder = folder;
    this.#signal = signal;
    this.#nextPort = options.basePort;
  }

  async run(): Promise<ControlLoadSample> {
    const objectStorePort = await this.#startStandin("object-store");
    const hostListPort = await this.#startStandin("host-list");
    const ports = {
      control: this.#allocatePort(),
      caller: this.#allocatePort(),
      operator: this.#allocatePort(),
      endpoint: this.#allocatePort(),
    };
    const entryLink = await this.#openCountedLink(
      ports.control,
      this.#entryLinks,
    );
    const endpointLink = await this.#openCountedLink(
      ports.endpoint,
      this.#endpointLinks,
    );
    const attachedCount = await this.#startFakeEndpoints(hostListPort);
    await this.#registerHost(hostListPort, "entry-0", "entry", entryLink.port);
    const entry = await this.#startDaemon({
      role: "entry",
      name: "entry-0",
      host: "host-0",
      dataCentre: "dc0",
      listen: {
        address: LOOPBACK_ADDRESS,
        controlPort: ports.control,
        callerPort: ports.caller,
        operatorPort: ports.operator,
      },
      sessionKey: "key-of-the-control-bench",
      objectStore: await this.#openTarget(objectStorePort, this.#entryLinks),
      hostList: await this.#openTarget(hostListPort, this.#entryLinks),
    });
    const endpoint = await this.#startDaemon({
      role: "endpoint",
      name: "measured",
      host: "host-1",
      dataCentre: "dc0",
      listen: { address: LOOPBACK_ADDRESS, controlPort: ports.endpoint },
      hostList: await this.#openTarget(hostListPort, this.#endpointLinks),
      service: {
        address: LOOPBACK_ADDRESS,
        port: 9,
        names: ["order"],
        slots: 8,
      },
    });
    this.#startAskers(entryLink.port);
    this.#startAttachments(endpointLink.port);
    await delay(WARM_UP_MS);
    const processSamples = await this.#measure(entry, endpoint);
    for (const server of this.#servers) server.forceShutdown();
    return { ...this.#options, attached: attachedCount, ...processSamples };
  }

  async #measure(entry: ManagedProcess, endpoint: ManagedProcess) {
    const before = [
      this.#readUsage(entry, this.#entryLinks),
      this.#readUsage(endpoint, this.#endpointLinks),
    ] as const;
    await delay(this.#options.seconds * 1_000);
    return {
      entry: this.#computeSample(before[0], entry, this.#entryLinks),
      endpoint: this.#computeSample(before[1], endpoint, this.#endpointLinks),
    };
  }

  #readUsage(process: ManagedProcess, links: readonly Link[]): ProcessUsage {
    return {
      atMs: performance.now(),
      cpuSeconds: readCpuSeconds(process.pid ?? 0),
      receivedBytes: links.reduce((sum, link) => sum + link.receivedBytes, 0),
    };
  }

  #computeSample(
    before: ProcessUsage,
    process: ManagedProcess,
    links: readonly Link[],
  ): ProcessSample {
    const after = this.#readUsage(process, links);
    const seconds = (after.atMs - before.atMs) / 1_000;
    const cpuShare = (after.cpuSeconds - before.cpuSeconds) / seconds;
    return {
      residentMb: readResidentMegabytes(process.pid ?? 0),
      cpuPercent: Math.round(cpuShare * 10_000) / 100,
      bytesPerSecond: Math.round(
        (after.receivedBytes - before.receivedBytes) / seconds,
      ),
    };
  }

  async #startFakeEndpoints(hostListPort: number): Promise<number> {
    const endpoints = Array.from(
      { length: this.#options.endpoints },
      (_, index) => ({
        name: `fake-${index}`,
        dataCentre: `dc${index % DATA_CENTRE_COUNT}`,
      }),
    );
    // Without a ticket no versions are assigned, so the entry attaches to its
    // subset of unassigned endpoints. Figures per endpoint must be scaled by
    // the streams, not by the endpoints in the host list.
    const attachedNames = chooseEndpointSubset(endpoints, {
      entry: "entry-0",
      dataCentre: "dc0",
      assignments: {},
    });
    for (const [index, { name, dataCentre }] of endpoints.entries()) {
      const port = attachedNames.has(name)
        ? (await this.#startFakeEndpoint(name, index)).port
        : 1;
      await callJson({
        port: hostListPort,
        method: "POST",
        path: "/hosts",
        body: createHost(name, "endpoint", { port, dataCentre }),
      });
    }
    return attachedNames.size;
  }

  async #startFakeEndpoint(name: string, index: number): Promise<Link> {
    const server = new Server();
    server.addService(GateService, {
      attach: (call: {
        request: AttachRequest;
        write: (status: EndpointStatus) => void;
        on: (event: string, listener: () => void) => void;
      }) => {
        const status = createEndpointStatus(name, index);
        call.write(status);
        const periodMs = Math.max(1_000, call.request.statusPeriodMs);
        const timer = setInterval(() => call.write(status), periodMs);
        call.on("cancelled", () => clearInterval(timer));
      },
    });
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(
        `${LOOPBACK_ADDRESS}:0`,
        ServerCredentials.createInsecure(),
        (error, bound) => (error === null ? resolve(bound) : reject(error)),
      );
    });
    this.#servers.push(server);
    return await this.#openCountedLink(port, this.#entryLinks);
  }

  #startAskers(port: number): void {
    for (let index = 0; index < this.#options.askers; index++) {
      void this.#pollState(port, `asker-${index}`);
    }
  }

  async #pollState(port: number, processName: string): Promise<void> {
    const address = `${LOOPBACK_ADDRESS}:${port}`;
    const client = openClient(ConfigSyncClient, address, this.#signal);
    const request = {
      process: processName,
      dataCentre: "dc0",
      revision: 0,
      seeksEvidence: false,
      evidence: [],
    };
    while (!this.#signal.aborted) {
      const deadline = new Date(Date.now() + POLL_TIMEOUT_MS);
      await new Promise<void>((resolve) => {
        client.confirmState(request, new Metadata(), { deadline }, () =>
          resolve(),
        );
      });
    }
  }

  #startAttachments(port: number): void {
    const statusPeriodMs = computeStatusPeriodMs(
      Math.min(this.#options.endpoints, VERSION_COUNT * 5),
    );
    for (let index = 0; index < this.#options.entries; index++) {
      const address = `${LOOPBACK_ADDRESS}:${port}`;
      const client = openClient(GateClient, address, this.#signal);
      const entry = `entry-${index}`;
      const stream = client.attach({ entry, incarnation: "1", statusPeriodMs });
      stream.on("data", () => {});
      stream.on("error", () => {});
    }
  }

  async #startStandin(kind: string): Promise<number> {
    const started = await startProcess({
      file: getDistFile("standins/main.js"),
      args: [kind, "--port", String(this.#allocatePort())],
      signal: this.#signal,
    });
    return started._unsafeUnwrap().port;
  }

  async #startDaemon(settings: Settings): Promise<ManagedProcess> {
    const file = join(this.#folder, `${settings.name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    const started = await startProcess({
      file: getDistFile("daemon/main.js"),
      args: ["--settings", file],
      signal: this.#signal,
    });
    return started._unsafeUnwrap();
  }

  async #registerHost(
    hostListPort: number,
    name: string,
    role: string,
    port: number,
  ): Promise<void> {
    const body = createHost(name, role, { port, dataCentre: "dc0" });
    await callJson({
      port: hostListPort,
      method: "POST",
      path: "/hosts",
      body,
    });
  }

  async #openTarget(port: number, links: Link[]) {
    const link = await this.#openCountedLink(port, links);
    return { address: LOOPBACK_ADDRESS, port: link.port };
  }

  async #openCountedLink(targetPort: number, links: Link[]): Promise<Link> {
    const link = await openLink({ targetPort, signal: this.#signal });
    links.push(link);
    return link;
  }

  #allocatePort(): number {
    this.#nextPort += 1;
    return this.#nextPort - 1;
  }
}

function createHost(
  name: string,
  role: string,
  target: { port: number; dataCentre: string },
) {
  const { port: controlPort, dataCentre } = target;
  const host = `host-of-${name}`;
  const address = LOOPBACK_ADDRESS;
  return { name, role, host, dataCentre, address, controlPort, leaving: false };
}

/** Starts the processes, measures for the given time and stops them. */
export async function measureControlLoad(
  options: ControlLoadOptions,
): Promise<ControlLoadSample> {
  const lifetime = new AbortController();
  setMaxListeners(0, lifetime.signal);
  const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-control-"));
  try {
    return await new ControlLoadBench(options, folder, lifetime.signal).run();
  } finally {
    lifetime.abort();
    rmSync(folder, { recursive: true });
  }
}
