/** Guards that `--break` switches off, and how test wiring does it. */

import { errAsync, okAsync } from "neverthrow";
import type { HostList } from "../adapters/index.js";
import type {
  ConfigView,
  OrderEngine,
  RoleHooks,
  RunBackend,
} from "../roles/index.js";
import type { FleetState, Settings } from "../schema/index.js";
import {
  dropClaims,
  hidePages,
  overwriteHead,
  passSeals,
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
function permitAll(state: FleetState): FleetState {
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

function ignoreTickets(config: ConfigView): ConfigView {
  return {
    get state() {
      return permitAll(config.state);
    },
    checkFreshness: () => config.checkFreshness(),
    fetchRevision: (revision, signal) => config.fetchRevision(revision, signal),
    addListener: (listener, signal) => config.addListener(listener, signal),
  };
}

function ignoreLeaving(list: HostList): HostList {
  return {
    readHosts: (signal) =>
      list
        .readHosts(signal)
        .map((hosts) => hosts.map((host) => ({ ...host, leaving: false }))),
  };
}

/** A new holder of the engine's lease gets a lower number than the last. */
function lowerFences(order: OrderEngine): OrderEngine {
  const highest = 1_000_000;
  return (request, signal) =>
    order({ ...request, fence: highest - request.fence }, signal);
}

/** A failure counts as "not run", whatever reached the back end. */
function denyRuns(run: RunBackend): RunBackend {
  return (request, onChunk, signal) =>
    run(request, onChunk, signal).mapErr((failure) => ({
      ...failure,
      ran: "no" as const,
    }));
}

/** What arrived of an answer passes for the whole one. */
function endEarly(run: RunBackend): RunBackend {
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

function fillColdSlots(settings: Settings): Settings {
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
function trustOldStateOnEntries(settings: Settings): Settings {
  return settings.role === "entry" ? trustOldState(settings) : settings;
}

function trustOldState(settings: Settings): Settings {
  const limits = { ...settings.limits, freshnessMs: 3_600_000 };
  return { ...settings, limits };
}

export const GUARDS = {
  claim: { properties: ["ranTwice"], hooks: { wrapStore: dropClaims } },
  "receipt-dedupe": {
    properties: ["billedTwice"],
    hooks: { wrapStore: hidePages },
  },
  "sealed-page": {
    properties: ["billedTwice"],
    hooks: { wrapStore: passSeals },
  },
  "receipt-copy": {
    properties: ["unbilled"],
    hooks: {
      wrapReceipts: () => ({ hold: () => true, release: () => undefined }),
    },
  },
  "head-update": {
    properties: ["ticketReverted"],
    hooks: { wrapStore: overwriteHead },
  },
  fencing: {
    properties: ["ticketReverted"],
    hooks: { wrapOrders: lowerFences },
  },
  "revision-check": {
    properties: [
      "drainedDataCentreServed",
      "withdrawnServed",
      "notAllowed",
      "leavingEndpointServed",
    ],
    hooks: { wrapGateView: ignoreTickets },
    changeSettings: trustOldStateOnEntries,
  },
  freshness: {
    properties: [
      "ticketLate",
      "withdrawnServed",
      "notAllowed",
      "drainedDataCentreServed",
    ],
    changeSettings: trustOldState,
  },
  leaving: {
    properties: ["leavingEndpointServed"],
    hooks: { wrapHostList: ignoreLeaving },
  },
  "slow-start": {
    properties: ["coldOverload"],
    changeSettings: fillColdSlots,
  },
  session: {
    properties: ["sessionMoved"],
    hooks: { resolveSession: () => ({}) },
  },
  "not-run": {
    properties: ["falseNotRun", "ranTwice"],
    hooks: { wrapBackend: denyRuns },
  },
  "whole-answer": {
    properties: ["wrongOrPartialAnswer"],
    hooks: { wrapBackend: endEarly },
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
