/** Creates the parts of an entry and connects them with their adapters. */

import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import {
  createHttpHostList,
  createHttpObjectStore,
  createHttpRatingService,
  createMetrics,
  type HostEntry,
  type Logger,
  type Metrics,
  type ObjectStore,
  type RatingService,
} from "../adapters/index.js";
import { EntryBilling } from "../billing/entry_billing.js";
import { ConfigSync } from "../configuration/config_sync.js";
import { TicketService } from "../configuration/ticket_service.js";
import { Router } from "../core/index.js";
import { RequestRunner } from "../request/request_runner.js";
import { createSystemClock } from "../runtime/clock.js";
import { HostWatcher } from "../runtime/host_watcher.js";
import type { Settings } from "../schema/index.js";
import { SessionResolver } from "../session/session_resolver.js";
import { EndpointDirectory } from "./endpoint_directory.js";
import { EntryReports } from "./entry_reports.js";
import { OutcomeRecorder } from "./outcome_recorder.js";
import { RatingCollector } from "./rating_collector.js";
import { applyHook, type RoleHooks } from "./role_hooks.js";

export interface EntryPartsOptions {
  readonly settings: Settings;
  readonly log: Logger;
  /** Aborts at the end of the graceful shutdown. */
  readonly signal: AbortSignal;
  /** @internal */
  readonly hooks: RoleHooks;
}

const STORE_TIMEOUT_MS = 2_000;
const HOST_LIST_TIMEOUT_MS = 2_000;
const RATING_SERVICE_TIMEOUT_MS = 3_000;

export class EntryParts {
  readonly metrics: Metrics;
  readonly directory: EndpointDirectory;
  readonly hostWatcher: HostWatcher;
  readonly configSync: ConfigSync;
  readonly tickets: TicketService;
  readonly sessions: SessionResolver;
  readonly billing: EntryBilling;
  readonly reports: EntryReports;
  readonly runner: RequestRunner;
  readonly ratings: RatingCollector | undefined;
  readonly #options: EntryPartsOptions;
  readonly #incarnation = randomUUID().slice(0, 8);
  readonly #store: ObjectStore;

  constructor(options: EntryPartsOptions) {
    this.#options = options;
    const { settings, signal } = options;
    const store = createHttpObjectStore({
      ...getSetting(settings.objectStore, "objectStore"),
      timeoutMs: STORE_TIMEOUT_MS,
    });
    this.#store = applyHook(options.hooks.wrapStore, store);
    this.metrics = createMetrics(settings.metrics, settings, signal);
    this.directory = this.#createDirectory();
    this.hostWatcher = this.#createHostWatcher();
    this.configSync = this.#createConfigSync();
    this.tickets = new TicketService({
      store: this.#store,
      sync: this.configSync,
    });
    this.sessions = new SessionResolver({
      store: this.#store,
      sessionKey: settings.sessionKey,
    });
    this.billing = this.#createBilling();
    this.reports = this.#createReports();
    const ratings = createRatingService(settings);
    this.ratings = ratings && this.#createRatingCollector(ratings);
    this.runner = this.#createRunner(ratings);
  }

  #createDirectory(): EndpointDirectory {
    const { settings, log, signal } = this.#options;
    return new EndpointDirectory(
      {
        entry: settings.name,
        incarnation: this.#incarnation,
        dataCentre: settings.dataCentre,
        log,
        getAssignments: () => this.configSync.state.endpoints,
        onStatus: (status) => {
          this.configSync.recordRevision(status.endpoint, status.revision);
          this.runner.handle({ type: "endpoint-status", status });
        },
        onGone: (endpoint) =>
          this.runner.handle({ type: "endpoint-gone", endpoint }),
      },
      signal,
    );
  }

  #createHostWatcher(): HostWatcher {
    const { settings, log, hooks } = this.#options;
    const hostList = createHttpHostList({
      ...settings.hostList,
      timeoutMs: HOST_LIST_TIMEOUT_MS,
    });
    return new HostWatcher({
      hostList: applyHook(hooks.wrapHostList, hostList),
      log,
      onHosts: (hosts) => this.directory.updateHosts(listEndpoints(hosts)),
    });
  }

  #createConfigSync(): ConfigSync {
    const { settings, log } = this.#options;
    return new ConfigSync({
      name: settings.name,
      dataCentre: settings.dataCentre,
      store: this.#store,
      listPeers: () => this.hostWatcher.hosts,
      freshnessMs: settings.limits?.freshnessMs,
      onRatingIncrease: (increase) =>
        this.runner.handle({ type: "rated", ...increase }),
      log: (event, fields) => log.info(event, fields),
    });
  }

  #createBilling(): EntryBilling {
    return new EntryBilling({
      settings: this.#options.settings,
      store: this.#store,
      clock: createSystemClock(),
      directory: this.directory,
      incarnation: this.#incarnation,
      countEntries: () =>
        this.hostWatcher.hosts.filter((host) => host.role === "entry").length,
    });
  }

  #createReports(): EntryReports {
    const { settings } = this.#options;
    return new EntryReports({
      store: this.#store,
      clock: createSystemClock(),
      source: `${settings.name}-${this.#incarnation}`,
      objectives: settings.objectives ?? {},
    });
  }

  #createRatingCollector(service: RatingService): RatingCollector {
    return new RatingCollector({
      service,
      log: this.#options.log,
      onRating: (increase, event) => {
        this.runner.handle({ type: "rated", ...increase });
        this.configSync.addRatings(increase);
        this.reports.recordRating(event, increase.accepted > 0);
      },
    });
  }

  #createRunner(ratings: RatingService | undefined): RequestRunner {
    const { settings, log, signal } = this.#options;
    const { configSync, reports, metrics } = this;
    const recorder = new OutcomeRecorder({
      log,
      metrics,
      reports,
      ratings: this.ratings,
      getRevision: () => configSync.state.revision,
    });
    const router = new Router({
      random: Math.random,
      dataCentre: settings.dataCentre,
    });
    return new RequestRunner(
      {
        entry: settings.name,
        dataCentre: settings.dataCentre,
        router,
        directory: this.directory,
        config: configSync,
        claims: this.billing.claims,
        ledger: this.billing.ledger,
        ratings,
        log,
        metrics,
        now: () => performance.now(),
        onHold: (version, reason) => void this.#hold(version, reason),
        onOutcome: (outcome) => recorder.record(outcome),
      },
      signal,
    );
  }

  async #hold(version: string, reason: string): Promise<void> {
    const { log, signal } = this.#options;
    log.warn("hold", { version, reason });
    const baseState = this.configSync.state;
    const outcome = await this.tickets.commitHold(
      { version, reason, baseState },
      signal,
    );
    if (outcome.isOk()) return;
    log.warn("hold-failed", { version, kind: outcome.error.kind });
  }
}

/** Returns a setting that the settings check guarantees. @internal */
export function getSetting<T>(value: T | undefined, key: string): T {
  if (value === undefined) throw new Error(`Setting "${key}" is missing`);
  return value;
}

function listEndpoints(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts.filter((host) => host.role === "endpoint");
}

function createRatingService(settings: Settings): RatingService | undefined {
  const { ratingService } = settings;
  return (
    ratingService &&
    createHttpRatingService({
      ...ratingService,
      timeoutMs: RATING_SERVICE_TIMEOUT_MS,
    })
  );
}
