/** The product's guards that `--break` switches off, and the hooks for it. */

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
  breakHeadUpdates,
  breakPageRecovery,
  breakSeals,
} from "./broken_store.js";
import type { Property } from "./findings.js";

interface Guard {
  /** Without the guard, the soak reports at least one of these. */
  readonly properties: readonly Property[];
  readonly hooks?: RoleHooks;
  readonly changeSettings?: (settings: Settings) => Settings;
  /** The process ends at once on SIGTERM. */
  readonly stopsAtOnce?: boolean;
}

/** The state with all permissions, and nothing withdrawn or drained. */
function createUnrestrictedState(state: FleetState): FleetState {
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

/** The endpoint's gate checks calls against an unrestricted state. */
function breakRevisionCheck(config: ConfigView): ConfigView {
  return {
    get state() {
      return createUnrestrictedState(config.state);
    },
    checkFreshness: () => config.checkFreshness(),
    fetchRevision: (revision, signal) => config.fetchRevision(revision, signal),
    addListener: (listener, signal) => config.addListener(listener, signal),
  };
}

/** The host list names no host as leaving. */
function breakLeavingFlags(list: HostList): HostList {
  return {
    readHosts: (signal) =>
      list
        .readHosts(signal)
        .map((hosts) => hosts.map((host) => ({ ...host, leaving: false }))),
  };
}

/** Each new holder of the engine's lease gets a lower fencing number. */
function breakFencing(order: SendLoadOrder): SendLoadOrder {
  const highest = 1_000_000;
  return (request, signal) =>
    order({ ...request, fence: highest - request.fence }, signal);
}

/** Reports every failure as "not run", even if the back end ran the call. */
function breakNotRunReports(run: RunBackend): RunBackend {
  return (request, onChunk, signal) =>
    run(request, onChunk, signal).mapErr((failure) => ({
      ...failure,
      ran: "no" as const,
    }));
}

/** Passes a partial answer off as a whole one. */
function breakWholeAnswerCheck(run: RunBackend): RunBackend {
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
 * The endpoint's revision check backs up the entry's own: an entry that can't
 * learn of a ticket refuses calls itself, unless its freshness limit is off.
 */
function breakEntryFreshnessLimit(settings: Settings): Settings {
  return settings.role === "entry" ? breakFreshnessLimit(settings) : settings;
}

function breakFreshnessLimit(settings: Settings): Settings {
  const limits = { ...settings.limits, freshnessMs: 3_600_000 };
  return { ...settings, limits };
}

export const GUARDS = {
  claim: { properties: ["ranTwice"], hooks: { wrapStore: breakClaims } },
  "receipt-dedupe": {
    properties: ["billedTwice"],
    hooks: { wrapStore: breakPageRecovery },
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
    hooks: { wrapStore: breakHeadUpdates },
  },
  fencing: {
    properties: ["ticketReverted"],
    hooks: { wrapSendLoadOrder: breakFencing },
  },
  "revision-check": {
    properties: [
      "drainedDataCentreServed",
      "withdrawnServed",
      "notAllowed",
      "leavingEndpointServed",
    ],
    hooks: { wrapGateView: breakRevisionCheck },
    changeSettings: breakEntryFreshnessLimit,
  },
  freshness: {
    properties: [
      "ticketLate",
      "withdrawnServed",
      "notAllowed",
      "drainedDataCentreServed",
    ],
    changeSettings: breakFreshnessLimit,
  },
  leaving: {
    properties: ["leavingEndpointServed"],
    hooks: { wrapHostList: breakLeavingFlags },
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
    hooks: { wrapBackend: breakNotRunReports },
  },
  "whole-answer": {
    properties: ["wrongOrPartialAnswer"],
    hooks: { wrapBackend: breakWholeAnswerCheck },
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
