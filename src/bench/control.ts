/**
 * Measures the control work of one real entry and one real endpoint process
 * while no requests run: bytes, processor time and memory, at several numbers
 * of fake endpoints, asking processes and attached entries.
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

export interface ControlOptions {
  /** Endpoints in the host list. */
  readonly endpoints: number;
  /** Processes that ask the entry for the fleet state. */
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

export interface ControlSample extends ControlOptions {
  /** Status streams that the entry keeps. */
  readonly attached: number;
  readonly entry: ProcessSample;
  readonly endpoint: ProcessSample;
}

const ADDRESS = "127.0.0.1";
const VERSIONS = 39;
const DATA_CENTRES = 6;
const SETTLE_MS = 8_000;
const LONG_POLL_MS = 2_700;

interface Usage {
  readonly atMs: number;
  readonly cpuSeconds: number;
  readonly bytes: number;
}

function createStatus(name: string, index: number): EndpointStatus {
  return {
    endpoint: name,
    epoch: "00000000-0000-0000-0000-000000000000",
    dataCentre: `dc${index % DATA_CENTRES}`,
    kind: "model",
    versions: [`version-${index % VERSIONS}`],
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

class ControlBench {
  readonly #options: ControlOptions;
  readonly #signal: AbortSignal;
  readonly #folder: string;
  readonly #servers: Server[] = [];
  readonly #entryLinks: Link[] = [];
  readonly #endpointLinks: Link[] = [];
  #nextPort: number;

  constructor(options: ControlOptions, folder: string, signal: AbortSignal) {
    this.#options = options;
    this.#folder = folder;
    this.#signal = signal;
    this.#nextPort = options.basePort;
  }

  async run(): Promise<ControlSample> {
    const store = await this.#startStandin("object-store");
    const hosts = await this.#startStandin("host-list");
    const ports = {
      control: this.#takePort(),
      caller: this.#takePort(),
      operator: this.#takePort(),
      endpoint: this.#takePort(),
    };
    const entryLink = await this.#open(ports.control, this.#entryLinks);
    const endpointLink = await this.#open(ports.endpoint, this.#endpointLinks);
    const names = await this.#startFakeEndpoints(hosts);
    await this.#putHost(hosts, "entry-0", "entry", entryLink.port);
    const entry = await this.#startDaemon({
      role: "entry",
      name: "entry-0",
      host: "host-0",
      dataCentre: "dc0",
      listen: {
        address: ADDRESS,
        controlPort: ports.control,
        callerPort: ports.caller,
        operatorPort: ports.operator,
      },
      sessionKey: "key-of-the-control-bench",
      objectStore: await this.#createTarget(store, this.#entryLinks),
      hostList: await this.#createTarget(hosts, this.#entryLinks),
    });
    const endpoint = await this.#startDaemon({
      role: "endpoint",
      name: "measured",
      host: "host-1",
      dataCentre: "dc0",
      listen: { address: ADDRESS, controlPort: ports.endpoint },
      hostList: await this.#createTarget(hosts, this.#endpointLinks),
      service: { address: ADDRESS, port: 9, names: ["order"], slots: 8 },
    });
    this.#startAskers(entryLink.port);
    this.#startAttachments(endpointLink.port);
    await delay(SETTLE_MS);
    const samples = await this.#measure(entry, endpoint);
    for (const server of this.#servers) server.forceShutdown();
    return { ...this.#options, attached: names, ...samples };
  }

  async #measure(entry: ManagedProcess, endpoint: ManagedProcess) {
    const before = [
      this.#readUsage(entry, this.#entryLinks),
      this.#readUsage(endpoint, this.#endpointLinks),
    ] as const;
    await delay(this.#options.seconds * 1_000);
    return {
      entry: this.#compare(before[0], entry, this.#entryLinks),
      endpoint: this.#compare(before[1], endpoint, this.#endpointLinks),
    };
  }

  #readUsage(process: ManagedProcess, links: readonly Link[]): Usage {
    return {
      atMs: performance.now(),
      cpuSeconds: readCpuSeconds(process.pid ?? 0),
      bytes: links.reduce((sum, link) => sum + link.receivedBytes, 0),
    };
  }

  #compare(
    before: Usage,
    process: ManagedProcess,
    links: readonly Link[],
  ): ProcessSample {
    const after = this.#readUsage(process, links);
    const seconds = (after.atMs - before.atMs) / 1_000;
    const cpu = (after.cpuSeconds - before.cpuSeconds) / seconds;
    return {
      residentMb: readResidentMegabytes(process.pid ?? 0),
      cpuPercent: Math.round(cpu * 10_000) / 100,
      bytesPerSecond: Math.round((after.bytes - before.bytes) / seconds),
    };
  }

  async #startFakeEndpoints(hosts: number): Promise<number> {
    const endpoints = Array.from(
      { length: this.#options.endpoints },
      (_, index) => ({
        name: `fake-${index}`,
        dataCentre: `dc${index % DATA_CENTRES}`,
      }),
    );
    // Without a ticket no versions are assigned, so the subset is that of
    // unassigned endpoints; the caller scales by streams, not by endpoints.
    const subset = chooseEndpointSubset(endpoints, {
      entry: "entry-0",
      dataCentre: "dc0",
      assignments: {},
    });
    for (const [index, { name, dataCentre }] of endpoints.entries()) {
      const port = subset.has(name)
        ? (await this.#startFakeEndpoint(name, index)).port
        : 1;
      await callJson({
        port: hosts,
        method: "POST",
        path: "/hosts",
        body: createHost(name, "endpoint", { port, dataCentre }),
      });
    }
    return subset.size;
  }

  async #startFakeEndpoint(name: string, index: number): Promise<Link> {
    const server = new Server();
    server.addService(GateService, {
      attach: (call: {
        request: AttachRequest;
        write: (status: EndpointStatus) => void;
        on: (event: string, listener: () => void) => void;
      }) => {
        const status = createStatus(name, index);
        call.write(status);
        const periodMs = Math.max(1_000, call.request.statusPeriodMs);
        const timer = setInterval(() => call.write(status), periodMs);
        call.on("cancelled", () => clearInterval(timer));
      },
    });
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync(
        `${ADDRESS}:0`,
        ServerCredentials.createInsecure(),
        (error, bound) => (error === null ? resolve(bound) : reject(error)),
      );
    });
    this.#servers.push(server);
    return await this.#open(port, this.#entryLinks);
  }

  #startAskers(port: number): void {
    for (let index = 0; index < this.#options.askers; index++) {
      void this.#ask(port, `asker-${index}`);
    }
  }

  async #ask(port: number, process: string): Promise<void> {
    const address = `${ADDRESS}:${port}`;
    const client = openClient(ConfigSyncClient, address, this.#signal);
    const request = {
      process,
      dataCentre: "dc0",
      revision: 0,
      seeksEvidence: false,
      evidence: [],
    };
    while (!this.#signal.aborted) {
      const deadline = new Date(Date.now() + LONG_POLL_MS);
      await new Promise<void>((resolve) => {
        client.confirmState(request, new Metadata(), { deadline }, () =>
          resolve(),
        );
      });
    }
  }

  #startAttachments(port: number): void {
    const statusPeriodMs = computeStatusPeriodMs(
      Math.min(this.#options.endpoints, VERSIONS * 5),
    );
    for (let index = 0; index < this.#options.entries; index++) {
      const address = `${ADDRESS}:${port}`;
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
      args: [kind, "--port", String(this.#takePort())],
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

  async #putHost(
    hosts: number,
    name: string,
    role: string,
    port: number,
  ): Promise<void> {
    const body = createHost(name, role, { port, dataCentre: "dc0" });
    await callJson({ port: hosts, method: "POST", path: "/hosts", body });
  }

  async #createTarget(port: number, links: Link[]) {
    const link = await this.#open(port, links);
    return { address: ADDRESS, port: link.port };
  }

  async #open(targetPort: number, links: Link[]): Promise<Link> {
    const link = await openLink({ targetPort, signal: this.#signal });
    links.push(link);
    return link;
  }

  #takePort(): number {
    this.#nextPort += 1;
    return this.#nextPort - 1;
  }
}

function createHost(
  name: string,
  role: string,
  place: { port: number; dataCentre: string },
) {
  const { port: controlPort, dataCentre } = place;
  const host = `host-of-${name}`;
  const address = ADDRESS;
  return { name, role, host, dataCentre, address, controlPort, leaving: false };
}

/** Starts the processes, measures for the given time and ends them. */
export async function measureControl(
  options: ControlOptions,
): Promise<ControlSample> {
  const lifetime = new AbortController();
  setMaxListeners(0, lifetime.signal);
  const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-control-"));
  try {
    return await new ControlBench(options, folder, lifetime.signal).run();
  } finally {
    lifetime.abort();
    rmSync(folder, { recursive: true });
  }
}
