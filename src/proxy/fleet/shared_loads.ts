/**
 * What the other entries have running at each endpoint. Each entry tells it in
 * the messages that entries exchange anyway; see docs/design/even_load.md.
 *
 * Entries of one data centre hear each other's own load directly. Of the other
 * data centres they hear the sum, from a remote entry or passed on by a
 * neighbour, so messages grow with data centres and not with entries.
 */

import type {
  DataCentreLoad,
  LoadReport,
} from "../../schema/exchange/index.js";
import type { EndpointState, SharedLoad } from "../placing/index.js";
import { toMessageNumber } from "./peer_messages.js";

/**
 * Age at which a report counts no more, ms: its sender has ended or is cut off.
 * Neighbours exchange a message about every second.
 */
const REPORT_LIFETIME_MS = 3_000;
const NO_LOAD: SharedLoad = { runningWork: 0, pendingTokens: 0 };

interface TimedLoads {
  readonly atMs: number;
  readonly loads: readonly LoadReport[];
}

export interface SharedLoadsOptions {
  readonly dataCentre: string;
  /** The endpoints whose load is shared. */
  readonly listEndpoints: () => readonly EndpointState[];
  readonly now: () => number;
}

/** The part of a message that is about load. */
export interface LoadMessage {
  readonly loads: LoadReport[];
  readonly dataCentreLoads: DataCentreLoad[];
}

export interface LoadSender {
  readonly name: string;
  readonly dataCentre: string;
}

export class SharedLoads {
  readonly #options: SharedLoadsOptions;
  /** By entry of this data centre. */
  readonly #neighbours = new Map<string, TimedLoads>();
  /** By data centre, this one not included. */
  readonly #remote = new Map<string, TimedLoads>();
  /** By endpoint; undefined once a report has changed. */
  #sums: ReadonlyMap<string, SharedLoad> | undefined;

  constructor(options: SharedLoadsOptions) {
    this.#options = options;
  }

  /** Load of all other entries on an endpoint. */
  get(endpointId: string): SharedLoad {
    this.#dropExpired();
    this.#sums ??= this.#sumReports();
    return this.#sums.get(endpointId) ?? NO_LOAD;
  }

  /** How many senders have reported recently; for the metrics. */
  get reportCount(): number {
    this.#dropExpired();
    return this.#neighbours.size + this.#remote.size;
  }

  createMessage(): LoadMessage {
    const { dataCentre, now } = this.#options;
    this.#dropExpired();
    const loads = this.#listOwn();
    const local = sumLoads([
      loads,
      ...[...this.#neighbours.values()].map((report) => report.loads),
    ]);
    const dataCentreLoads = [...this.#remote].map(([name, report]) => ({
      dataCentre: name,
      ageMs: toMessageNumber(now() - report.atMs),
      loads: [...report.loads],
    }));
    if (local.size > 0) {
      dataCentreLoads.push({ dataCentre, ageMs: 0, loads: listLoads(local) });
    }
    return { loads, dataCentreLoads };
  }

  merge(sender: LoadSender, message: LoadMessage): void {
    const nowMs = this.#options.now();
    const { dataCentre } = this.#options;
    if (sender.dataCentre === dataCentre) {
      this.#neighbours.set(sender.name, { atMs: nowMs, loads: message.loads });
    }
    for (const {
      dataCentre: origin,
      ageMs,
      loads,
    } of message.dataCentreLoads) {
      const atMs = nowMs - ageMs;
      const known = this.#remote.get(origin);
      if (origin === dataCentre || (known?.atMs ?? -Infinity) >= atMs) continue;
      this.#remote.set(origin, { atMs, loads });
    }
    this.#sums = undefined;
  }

  /** Forgets an entry that stops. */
  remove(name: string): void {
    this.#neighbours.delete(name);
    this.#sums = undefined;
  }

  #listOwn(): LoadReport[] {
    return this.#options
      .listEndpoints()
      .filter(({ inFlight }) => inFlight > 0)
      .map(({ record, runningWork, pendingPromptTokens }) => ({
        endpoint: record.id,
        runningWork,
        pendingTokens: pendingPromptTokens,
      }));
  }

  #dropExpired(): void {
    const sinceMs = this.#options.now() - REPORT_LIFETIME_MS;
    for (const reports of [this.#neighbours, this.#remote]) {
      for (const [name, { atMs }] of reports) {
        if (atMs >= sinceMs) continue;
        reports.delete(name);
        this.#sums = undefined;
      }
    }
  }

  #sumReports(): ReadonlyMap<string, SharedLoad> {
    const reports = [...this.#neighbours.values(), ...this.#remote.values()];
    return sumLoads(reports.map(({ loads }) => loads));
  }
}

function sumLoads(
  lists: readonly (readonly LoadReport[])[],
): Map<string, SharedLoad> {
  const sums = new Map<string, SharedLoad>();
  for (const { endpoint, runningWork, pendingTokens } of lists.flat()) {
    const sum = sums.get(endpoint) ?? NO_LOAD;
    sums.set(endpoint, {
      runningWork: sum.runningWork + runningWork,
      pendingTokens: sum.pendingTokens + pendingTokens,
    });
  }
  return sums;
}

function listLoads(loads: ReadonlyMap<string, SharedLoad>): LoadReport[] {
  return [...loads].map(([endpoint, load]) => ({ endpoint, ...load }));
}
