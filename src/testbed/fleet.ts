/**
 * A fleet of real processes on 127.0.0.1 for the demo and the soak test:
 * stand-ins, entries and endpoints. Each data centre reaches the others and
 * the platform through its own links, so that it can be cut off alone.
 */

import { createHash } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Settings } from "../schema/index.js";
import { type Link, openLink } from "../standins/link.js";
import {
  type ManagedProcess,
  startProcess,
} from "../standins/managed_process.js";
import { callJson } from "./http_calls.js";

export interface EntrySpec {
  readonly name: string;
  readonly dataCentre: string;
}

export interface EndpointSpec {
  readonly name: string;
  readonly dataCentre: string;
  readonly kind: "engine" | "service";
  /** Versions that the engine has loaded at its start. */
  readonly versions?: readonly string[];
  /** Plain services behind the endpoint. */
  readonly services?: readonly string[];
  readonly slots: number;
  readonly slotsWhileCold: number;
  /** Options of the stand-in, such as coldStartMs. */
  readonly options?: Readonly<Record<string, string | number | boolean>>;
}

export interface FleetSpec {
  readonly entries: readonly EntrySpec[];
  readonly endpoints: readonly EndpointSpec[];
  /** First port of the range that the fleet uses. */
  readonly basePort: number;
  /** Folder for settings and logs. */
  readonly folder: string;
  readonly seed: number;
  /** Another daemon file, for runs with one safeguard switched off. */
  readonly daemonFile?: string;
  readonly daemonArgs?: readonly string[];
  readonly ratingOptions?: Readonly<Record<string, number>>;
  readonly hostListLagMs?: number;
}

/** A daemon process and its ports, which it keeps over restarts. */
export interface Member {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly dataCentre: string;
  readonly controlPort: number;
  /** Zero for an endpoint, as is the operator port. */
  readonly callerPort: number;
  readonly operatorPort: number;
  /** Port of the engine or service; zero for an entry. */
  readonly backEndPort: number;
  readonly settingsFile: string;
  process: ManagedProcess | undefined;
  leaving: boolean;
}

/** As in the first line of the daemon's file; see docs/OPERATIONS.md. */
export const DAEMON_NODE_FLAGS = [
  "--max-semi-space-size=2",
  "--max-old-space-size=96",
] as const;

export const OPERATOR_TOKEN = "operator-token";
const SESSION_KEY = "session-key-of-the-test-bed";
const ADDRESS = "127.0.0.1";

function getDistFile(path: string): string {
  return fileURLToPath(new URL(`../${path}`, import.meta.url));
}

export function hashToken(token: string): string {
  return createHash("sha256").update(token).digest("hex");
}

export class Fleet {
  readonly #spec: FleetSpec;
  readonly #signal: AbortSignal;
  readonly #members = new Map<string, Member>();
  readonly #standins = new Map<string, ManagedProcess>();
  readonly #standinPorts = new Map<string, number>();
  /** By the data centre that connects, then by the target's name. */
  readonly #links = new Map<string, Map<string, Link>>();
  #nextPort: number;

  constructor(spec: FleetSpec, signal: AbortSignal) {
    this.#spec = spec;
    this.#signal = signal;
    this.#nextPort = spec.basePort;
    mkdirSync(spec.folder, { recursive: true });
  }

  get dataCentres(): string[] {
    const { entries, endpoints } = this.#spec;
    const names = [...entries, ...endpoints].map((item) => item.dataCentre);
    return [...new Set(names)].sort();
  }

  get members(): Member[] {
    return [...this.#members.values()];
  }

  get endpointSpecs(): readonly EndpointSpec[] {
    return this.#spec.endpoints;
  }

  getMember(name: string): Member {
    const member = this.#members.get(name);
    if (member === undefined) throw new Error(`Member "${name}" is not known`);
    return member;
  }

  getStandinPort(name: string): number {
    const port = this.#standinPorts.get(name);
    if (port === undefined) throw new Error(`Stand-in "${name}" is not known`);
    return port;
  }

  /** Starts the stand-ins, then all daemons at once. */
  async start(): Promise<void> {
    await this.#startStandins();
    for (const spec of this.#spec.endpoints) await this.#startBackEnd(spec);
    this.#createMembers();
    await this.#openLinks();
    for (const member of this.members) this.#writeSettings(member);
    await this.publishHosts();
    await Promise.all(this.members.map((member) => this.startMember(member)));
  }

  async startMember(member: Member): Promise<void> {
    const started = await startProcess({
      file: this.#spec.daemonFile ?? getDistFile("daemon/main.js"),
      nodeFlags: DAEMON_NODE_FLAGS,
      args: [
        "--settings",
        member.settingsFile,
        ...(this.#spec.daemonArgs ?? []),
      ],
      signal: this.#signal,
      logFile: join(this.#spec.folder, `${member.name}.log`),
    });
    if (started.isErr()) {
      throw new Error(`Cannot start "${member.name}": ${started.error.detail}`);
    }
    member.process = started.value;
  }

  /**
   * Publishes all members in each data centre's host list, at the addresses of
   * that data centre's links.
   */
  async publishHosts(): Promise<void> {
    await Promise.all(
      this.dataCentres.flatMap((fromDataCentre) =>
        this.members.map((member) =>
          callJson({
            port: this.getStandinPort(`hosts-${fromDataCentre}`),
            method: "POST",
            path: "/hosts",
            body: {
              name: member.name,
              role: member.role,
              host: `host-${member.name}`,
              dataCentre: member.dataCentre,
              address: ADDRESS,
              controlPort: this.#getLink(fromDataCentre, member.name).port,
              leaving: member.leaving,
            },
          }),
        ),
      ),
    );
  }

  /** Changes options of a running stand-in. */
  async control(standin: string, options: object): Promise<void> {
    const port = this.getStandinPort(standin);
    await callJson({ port, method: "POST", path: "/control", body: options });
  }

  async readRecord<T>(standin: string): Promise<T> {
    const port = this.getStandinPort(standin);
    return (await callJson({ port, method: "GET", path: "/record" })) as T;
  }

  /** Links between the data centre and the rest of the fleet. */
  listLinksAcross(dataCentre: string): Link[] {
    const links: Link[] = [];
    for (const [fromDataCentre, targets] of this.#links) {
      for (const [target, link] of targets) {
        const targetDataCentre = this.#members.get(target)?.dataCentre;
        if (
          (fromDataCentre === dataCentre) !==
          (targetDataCentre === dataCentre)
        ) {
          links.push(link);
        }
      }
    }
    return links;
  }

  /** The link by which a data centre reaches a member or a stand-in. */
  #getLink(fromDataCentre: string, target: string): Link {
    const link = this.#links.get(fromDataCentre)?.get(target);
    if (link === undefined) {
      throw new Error(
        `Link from "${fromDataCentre}" to "${target}" is not known`,
      );
    }
    return link;
  }

  getLink(fromDataCentre: string, target: string): Link {
    return this.#getLink(fromDataCentre, target);
  }

  async stopAll(): Promise<void> {
    const processes = this.members.map((member) => member.process);
    await Promise.all(processes.map((process) => process?.stop()));
    await Promise.all([...this.#standins.values()].map((item) => item.stop()));
  }

  async #startStandins(): Promise<void> {
    const { ratingOptions = {}, hostListLagMs = 500 } = this.#spec;
    await this.#startStandin("store", "object-store", {});
    await this.#startStandin("ratings", "rating-service", ratingOptions);
    for (const dataCentre of this.dataCentres) {
      const options = { lagMs: hostListLagMs };
      await this.#startStandin(`hosts-${dataCentre}`, "host-list", options);
    }
  }

  async #startBackEnd(spec: EndpointSpec): Promise<void> {
    const { name, kind, slots, slotsWhileCold, options = {} } = spec;
    const versions = (spec.versions ?? []).join(",");
    await this.#startStandin(`back-${name}`, kind, {
      slots,
      slotsWhileCold,
      ...(kind === "engine" ? { versions } : {}),
      ...options,
    });
  }

  async #startStandin(
    name: string,
    kind: string,
    options: Readonly<Record<string, string | number | boolean>>,
  ): Promise<void> {
    const port = this.#takePort();
    const flags = Object.entries(options).map(([key, value]) => {
      const flag = key.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);
      return `--${flag}=${value}`;
    });
    const started = await startProcess({
      file: getDistFile("standins/main.js"),
      args: [
        kind,
        "--port",
        String(port),
        "--seed",
        String(this.#spec.seed),
        ...flags,
      ],
      signal: this.#signal,
      logFile: join(this.#spec.folder, `${name}.log`),
    });
    if (started.isErr()) {
      throw new Error(`Cannot start "${name}": ${started.error.detail}`);
    }
    this.#standins.set(name, started.value);
    this.#standinPorts.set(name, port);
  }

  #createMembers(): void {
    const { entries, endpoints, folder } = this.#spec;
    for (const { name, dataCentre } of entries) {
      this.#members.set(name, {
        name,
        role: "entry",
        dataCentre,
        controlPort: this.#takePort(),
        callerPort: this.#takePort(),
        operatorPort: this.#takePort(),
        backEndPort: 0,
        settingsFile: join(folder, `${name}.jsonc`),
        process: undefined,
        leaving: false,
      });
    }
    for (const { name, dataCentre } of endpoints) {
      this.#members.set(name, {
        name,
        role: "endpoint",
        dataCentre,
        controlPort: this.#takePort(),
        callerPort: 0,
        operatorPort: 0,
        backEndPort: this.getStandinPort(`back-${name}`),
        settingsFile: join(folder, `${name}.jsonc`),
        process: undefined,
        leaving: false,
      });
    }
  }

  async #openLinks(): Promise<void> {
    const signal = this.#signal;
    for (const fromDataCentre of this.dataCentres) {
      const links = new Map<string, Link>();
      for (const member of this.members) {
        const targetPort = member.controlPort;
        links.set(member.name, await openLink({ targetPort, signal }));
      }
      for (const standin of ["store", "ratings"]) {
        const targetPort = this.getStandinPort(standin);
        links.set(standin, await openLink({ targetPort, signal }));
      }
      this.#links.set(fromDataCentre, links);
    }
  }

  #writeSettings(member: Member): void {
    const { name, role, dataCentre, controlPort } = member;
    const createTarget = (port: number) => ({ address: ADDRESS, port });
    const settings: Settings = {
      role,
      name,
      host: `host-${name}`,
      dataCentre,
      listen: {
        address: ADDRESS,
        controlPort,
        ...(role === "entry"
          ? { callerPort: member.callerPort, operatorPort: member.operatorPort }
          : {}),
      },
      objectStore: createTarget(this.#getLink(dataCentre, "store").port),
      hostList: createTarget(this.getStandinPort(`hosts-${dataCentre}`)),
      ...(role === "entry"
        ? this.#createEntrySettings(dataCentre)
        : this.#createEndpointSettings(name)),
    };
    const text = JSON.stringify(settings, null, 2);
    writeFileSync(member.settingsFile, `// ${role} ${name}\n${text}\n`);
  }

  #createEntrySettings(dataCentre: string): Partial<Settings> {
    const port = this.#getLink(dataCentre, "ratings").port;
    return {
      ratingService: { address: ADDRESS, port },
      operatorTokenSha256: hashToken(OPERATOR_TOKEN),
      sessionKey: SESSION_KEY,
    };
  }

  #createEndpointSettings(name: string): Partial<Settings> {
    const spec = this.#spec.endpoints.find((item) => item.name === name);
    if (spec === undefined) return {};
    const { slots, slotsWhileCold, services = [] } = spec;
    const address = ADDRESS;
    const port = this.getStandinPort(`back-${name}`);
    return spec.kind === "engine"
      ? { engine: { address, port, slots, slotsWhileCold } }
      : {
          service: {
            address,
            port,
            names: [...services] as [string, ...string[]],
            slots,
            slotsWhileCold,
          },
        };
  }

  #takePort(): number {
    this.#nextPort += 1;
    return this.#nextPort - 1;
  }
}
