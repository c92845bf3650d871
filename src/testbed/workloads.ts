/**
 * The two deployments' configuration as a change ticket, and the requests of
 * their workloads, shared by the demo and the soak test.
 */

import type {
  ClientAccount,
  ModelVersion,
  PlainService,
  RequestClass,
  Ticket,
} from "../schema/index.js";
import { hashToken } from "./fleet.js";

export interface RequestKind {
  readonly name: string;
  readonly kind: "chat" | "service";
  /** Relative frequency within the workload. */
  readonly weight: number;
  readonly maxTokens: number;
  readonly idempotent: boolean;
  readonly deadlineMs: number;
}

export interface Workload {
  readonly name: string;
  readonly kinds: readonly RequestKind[];
  readonly accounts: readonly string[];
}

export const VERSIONS = ["small-1", "small-2", "medium-1", "large-1"] as const;

const COST_PER_KILO_TOKEN: Readonly<Record<string, number>> = {
  "small-1": 0.1,
  "small-2": 0.1,
  "medium-1": 0.4,
  "medium-2": 0.4,
  "large-1": 1,
  "large-2": 1,
};

/** Requests of Yushan: reports, chat, part matches, orders, stock checks. */
export const YUSHAN: Workload = {
  name: "yushan",
  accounts: ["installers", "schools", "farms"],
  kinds: [
    createChat("sizing_report", 10, 60, 15_000),
    createChat("troubleshooting_chat", 33, 24, 10_000),
    createChat("part_match", 37, 6, 5_000),
    createService("order", 5, false),
    createService("stock_check", 15, true),
  ],
};

/** Requests of Ikenna: reports, specifications, lookups, orders, releases. */
export const IKENNA: Workload = {
  name: "ikenna",
  accounts: ["braiding", "sales"],
  kinds: [
    createChat("shift_report", 12, 60, 15_000),
    createChat("rope_specification", 28, 24, 10_000),
    createService("stock_lookup", 45, true),
    createService("batch_order", 8, false),
    createService("spool_release", 7, false),
  ],
};

function createChat(
  name: string,
  weight: number,
  maxTokens: number,
  deadlineMs: number,
): RequestKind {
  return {
    name,
    kind: "chat",
    weight,
    maxTokens,
    deadlineMs,
    idempotent: true,
  };
}

function createService(
  name: string,
  weight: number,
  idempotent: boolean,
): RequestKind {
  const deadlineMs = 5_000;
  return {
    name,
    kind: "service",
    weight,
    maxTokens: 0,
    deadlineMs,
    idempotent,
  };
}

export function getApiKey(account: string): string {
  return `key-of-${account}`;
}

export function listServices(workloads: readonly Workload[]): string[] {
  return workloads.flatMap((workload) =>
    workload.kinds
      .filter((kind) => kind.kind === "service")
      .map((kind) => kind.name),
  );
}

/** The model version as the first ticket sets it. */
export function createVersion(name: string): ModelVersion {
  return {
    name,
    model: name.split("-")[0] ?? name,
    state: "active",
    costPerKiloToken: COST_PER_KILO_TOKEN[name] ?? 1,
  };
}

function createClass(kind: RequestKind): RequestClass {
  return {
    name: kind.name,
    priority: kind.maxTokens > 30 ? "batch" : "interactive",
    deadlineMs: kind.deadlineMs,
    qualityTarget: 0.9,
  };
}

function createPlainService(kind: RequestKind): PlainService {
  return {
    name: kind.name,
    idempotent: kind.idempotent,
    priority: "urgent",
    deadlineMs: kind.deadlineMs,
    costPerCall: 0.01,
  };
}

/** The client account as a ticket sets it, with all versions by default. */
export function createAccount(
  workload: Workload,
  name: string,
  versions: readonly string[] = VERSIONS,
): ClientAccount {
  const listNames = (kind: RequestKind["kind"]) =>
    workload.kinds.filter((k) => k.kind === kind).map((k) => k.name);
  return {
    name,
    apiKeySha256: [hashToken(getApiKey(name))],
    versions: [...versions],
    services: listNames("service"),
    classes: listNames("chat"),
  };
}

/** The first ticket, which configures everything that the workloads need. */
export function createSetupTicket(
  number: number,
  workloads: readonly Workload[],
  dataCentres: readonly string[],
  versions: readonly string[] = VERSIONS,
): Ticket {
  const kinds = workloads.flatMap((workload) => workload.kinds);
  return {
    number,
    versions: versions.map(createVersion),
    classes: kinds.filter((kind) => kind.kind === "chat").map(createClass),
    services: kinds
      .filter((kind) => kind.kind === "service")
      .map(createPlainService),
    accounts: workloads.flatMap((workload) =>
      workload.accounts.map((name) => createAccount(workload, name, versions)),
    ),
    dataCentres: dataCentres.map((name) => ({ name, state: "in" as const })),
  };
}
