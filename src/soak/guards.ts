/** Guards that `--break` switches off, and how test wiring does it. */

import { errAsync, okAsync } from "neverthrow";
import type { HostList } from "../adapters/index.js";
import type {
  ConfigView,
  RoleHooks,
  RunBackend,
  SendLoadOrder,
} from "../roles/index.js";
import type { FleetState, Settings } from "../schema/index.js";
import {
  breakClaims,
  breakHead,
  breakPages,
  breakSeals,
} from "./broken_store.js";
import type { Property } from "./findings.js";

interface Guard {
  /** Properties of which the soak reports at least one. */
  readonly properties: readonly Property[];
  readonly hooks?: RoleHooks;
  readonly changeSettings?: (settings: Settings) => Settings;
  /** The process ends at once on SIGTERM. */
  readonly stopsAtOnce?: boolean;
}

/** The state as if no operator had taken anything away. */
function breakPermissions(state: FleetState): FleetState {
  const versions = Object.keys(state.versions);
  const services = Object.keys(state.services);
  const mapAll = <T>(items: Record<string, T>, patch: Partial<T>) =>
    Object.fromEntries(
      Object.entries(items).map(([name, item]) => [
        name,
        { ...item, ...patch },
      ]),
    ) as Record<string, T>;
  return {
    ...state,
    accounts: mapAll(state.accounts, { versions, services }),
    versions: mapAll(state.versions, { state: "active" }),
    dataCentres: mapAll(state.dataCentres, { state: "in" }),
    endpoints: mapAll(state.endpoints, { state: "in" }),
  };
}

function breakTickets(config: ConfigView): ConfigView {
  return {
    get state() {
      return breakPermissions(config.state);
    },
    checkFreshness: () => config.checkFreshness(),
    fetchRevision: (revision, signal) => config.fetchRevision(revision, signal),
    addListener: (listener, signal) => config.addListener(listener, signal),
  };
}

function breakLeaving(list: HostList): HostList {
  return {
    readHosts: (signal) =>
      list
        .readHosts(signal)
        .map((hosts) => hosts.map((host) => ({ ...host, leaving: false }))),
  };
}

/** A new holder of the engine's lease gets a lower number than the last. */
function breakFences(order: SendLoadOrder): SendLoadOrder {
  const highest = 1_000_000;
  return (request, signal) =>
    order({ ...request, fence: highest - request.fence }, signal);
}

/** A failure counts as "not run", whatever reached the back end. */
function breakRunReports(run: RunBackend): RunBackend {
  return (request, onChunk, signal) =>
    run(request, onChunk, signal).mapErr((failure) => ({
      ...failure,
      ran: "no" as const,
    }));
}

/** What arrived of an answer passes for the whole one. */
function breakAnswers(run: RunBackend): RunBackend {
  return (request, onChunk, signal) => {
    let chunks = 0;
    const count = (data: Uint8Array) => {
      chunks += 1;
      onChunk(data);
    };
    return run(request, count, signal).orElse((failure) =>
      chunks === 0
        ? errAsync(failure)
        : okAsync({
            status: 200,
            promptTokens: 1,
            outputTokens: chunks,
            body: new Uint8Array(),
            contentType: "",
          }),
    );
  };
}

function breakSlowStart(settings: Settings): Settings {
  const { engine, service } = settings;
  return {
    ...settings,
    ...(engine && { engine: { ...engine, slotsWhileCold: engine.slots } }),
    ...(service && { service: { ...service, slotsWhileCold: service.slots } }),
  };
}

/**
 * The endpoint's check stands behind the entry's own: an entry that can't learn
 * of a ticket refuses by itself, unless that bound is off too.
 */
function breakFreshnessOnEntries(settings: Settings): Settings {
  return settings.role === "entry" ? breakFreshness(settings) : settings;
}

function breakFreshness(settings: Settings): Settings {
  const limits = { ...settings.limits, freshnessMs: 3_600_000 };
  return { ...settings, limits };
}

export const GUARDS = {
  claim: { properties: ["ranTwice"], hooks: { wrapStore: breakClaims } },
  "receipt-dedupe": {
    properties: ["billedTwice"],
    hooks: { wrapStore: breakPages },
  },
  "sealed-page": {
    properties: ["billedTwice"],
    hooks: { wrapStore: breakSeals },
  },
  "receipt-copy": {
    properties: ["unbilled"],
    hooks: {
      wrapReceipts: () => ({ hold: () => true, release: () => undefined }),
    },
  },
  "head-update": {
    properties: ["ticketReverted"],
    hooks: { wrapStore: breakHead },
  },
  fencing: {
    properties: ["ticketReverted"],
    hooks: { wrapSendLoadOrder: breakFences },
  },
  "revision-check": {
    properties: [
      "drainedDataCentreServed",
      "withdrawnServed",
      "notAllowed",
      "leavingEndpointServed",
    ],
    hooks: { wrapGateView: breakTickets },
    changeSettings: breakFreshnessOnEntries,
  },
  freshness: {
    properties: [
      "ticketLate",
      "withdrawnServed",
      "notAllowed",
      "drainedDataCentreServed",
    ],
    changeSettings: breakFreshness,
  },
  leaving: {
    properties: ["leavingEndpointServed"],
    hooks: { wrapHostList: breakLeaving },
  },
  "slow-start": {
    properties: ["coldOverload"],
    changeSettings: breakSlowStart,
  },
  session: {
    properties: ["sessionMoved"],
    hooks: { resolveSession: () => ({}) },
  },
  "not-run": {
    properties: ["falseNotRun", "ranTwice"],
    hooks: { wrapBackend: breakRunReports },
  },
  "whole-answer": {
    properties: ["wrongOrPartialAnswer"],
    hooks: { wrapBackend: breakAnswers },
  },
  "graceful-stop": { properties: ["cutByPlannedStop"], stopsAtOnce: true },
} as const satisfies Record<string, Guard>;

export type GuardName = keyof typeof GUARDS;

export function listGuards(): GuardName[] {
  return Object.keys(GUARDS) as GuardName[];
}

export function isGuard(name: string): name is GuardName {
  return Object.hasOwn(GUARDS, name);
}

export function getGuard(name: GuardName): Guard {
  return GUARDS[name];
}
