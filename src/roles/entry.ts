/** The entry role: joins the core to its adapters and serves callers. */

import { randomUUID } from "node:crypto";
import { once } from "node:events";
import type { Server as HttpServer } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { Server as GrpcServer, ServerCredentials } from "@grpc/grpc-js";
import {
  createHttpHostList,
  createHttpObjectStore,
  createHttpRatingService,
  createMetrics,
  type HostEntry,
  type Logger,
  METRICS,
  type Metrics,
  type ObjectStore,
  type RatingService,
} from "../adapters/index.js";
import { createRefusal, type Refusal, Router } from "../core/index.js";
import { ConfigSyncService, type Settings } from "../schema/index.js";
import type { CallerRequest } from "./caller_requests.js";
import { createCallerServer, type SessionResult } from "./caller_server.js";
import { createSystemClock } from "./clock.js";
import { createConfigSyncHandlers } from "./config_handlers.js";
import { ConfigSync } from "./config_sync.js";
import { EndpointDirectory } from "./endpoint_directory.js";
import { EntryBilling } from "./entry_billing.js";
import { EntryReports } from "./entry_reports.js";
import { HostWatcher } from "./host_watcher.js";
import { createOperatorServer } from "./operator_server.js";
import { RatingCollector } from "./rating_collector.js";
import { type RequestOutcome, RequestRunner } from "./request_runner.js";
import { waitFor } from "./scope.js";
import { SessionResolver } from "./session_store.js";
import { TicketService } from "./ticket_service.js";

export interface RoleOptions {
  readonly log: Logger;
  /** Begins the graceful shutdown. */
  readonly signal: AbortSignal;
}

export interface RunningRole {
  /** Settles when the graceful shutdown is complete. */
  readonly stopped: Promise<void>;
}

const TICK_MS = 50;
const STORE_TIMEOUT_MS = 2_000;
const HOST_LIST_TIMEOUT_MS = 2_000;
const RATING_TIMEOUT_MS = 3_000;
const DEFAULT_BODY_BYTES = 1_000_000;
const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_STOP_MS = 30_000;
/** Gives the balancer time to see that the entry takes no new work. */
const STOP_RETRY_AFTER_MS = 1_000;

class Entry {
  readonly #settings: Settings;
  readonly #log: Logger;
  readonly #stopSignal: AbortSignal;
  /** Aborts at the end of the graceful shutdown. */
  readonly #lifetime = new AbortController();
  readonly #incarnation = randomUUID().slice(0, 8);
  readonly #store: ObjectStore;
  readonly #metrics: Metrics;
  readonly #hosts: HostWatcher;
  readonly #directory: EndpointDirectory;
  readonly #sync: ConfigSync;
  readonly #tickets: TicketService;
  readonly #sessions: SessionResolver;
  readonly #billing: EntryBilling;
  readonly #reports: EntryReports;
  readonly #runner: RequestRunner;
  readonly #ratings: RatingCollector | undefined;
  readonly #servers: HttpServer[] = [];
  readonly #grpc = new GrpcServer();

  constructor(settings: Settings, options: RoleOptions) {
    this.#settings = settings;
    this.#log = options.log;
    this.#stopSignal = options.signal;
    const { signal } = this.#lifetime;
    this.#store = createHttpObjectStore({
      ...requireSetting(settings.objectStore, "objectStore"),
      timeoutMs: STORE_TIMEOUT_MS,
    });
    this.#metrics = createMetrics(settings.metrics, settings, signal);
    this.#directory = this.#createDirectory(signal);
    this.#hosts = new HostWatcher({
      hostList: createHttpHostList({
        ...settings.hostList,
        timeoutMs: HOST_LIST_TIMEOUT_MS,
      }),
      log: this.#log,
      onHosts: (hosts) => this.#directory.updateHosts(listEndpoints(hosts)),
    });
    this.#sync = this.#createSync();
    this.#tickets = new TicketService({ store: this.#store, sync: this.#sync });
    this.#sessions = new SessionResolver({
      store: this.#store,
      sessionKey: settings.sessionKey,
      log: (event, fields) => this.#log.info(event, fields),
    });
    const clock = createSystemClock();
    const { name } = settings;
    const incarnation = this.#incarnation;
    const store = this.#store;
    const directory = this.#directory;
    this.#billing = new EntryBilling({
      settings,
      store,
      clock,
      directory,
      incarnation,
    });
    this.#reports = new EntryReports({
      store,
      clock,
      source: `${name}-${incarnation}`,
      objectives: settings.objectives ?? {},
    });
    const ratingService = createRatings(settings);
    this.#runner = new RequestRunner(
      {
        entry: settings.name,
        router: new Router({
          random: Math.random,
          dataCentre: settings.dataCentre,
        }),
        directory: this.#directory,
        config: this.#sync,
        claims: this.#billing.claims,
        ledger: this.#billing.ledger,
        ratings: ratingService,
        log: this.#log,
        now: () => performance.now(),
        onHold: (version, reason) => void this.#hold(version, reason),
        onOutcome: (outcome) => this.#record(outcome),
      },
      signal,
    );
    this.#ratings =
      ratingService &&
      new RatingCollector({
        service: ratingService,
        log: this.#log,
        onRating: (increase, event) => {
          this.#runner.handle({ type: "rated", ...increase });
          this.#sync.addRatings(increase);
          this.#reports.recordRating(event, increase.accepted > 0);
        },
      });
  }

  async start(): Promise<void> {
    const { signal } = this.#lifetime;
    await this.#serveControl();
    await this.#hosts.start(signal);
    this.#sync.addListener((state) => {
      this.#log.info("revision", { revision: state.revision });
      this.#runner.handle({ type: "state", state });
    }, signal);
    this.#sync.start(signal).catch((error: unknown) => {
      // The configuration can't be trusted any more: end the process.
      setImmediate(() => {
        throw error;
      });
    });
    this.#billing.start(signal);
    void this.#reports.start(signal);
    void this.#sessions.run(signal);
    void this.#ratings?.start(signal);
    setInterval(() => this.#tick(), TICK_MS).unref();
    await this.#serveCallers();
    await this.#serveOperators();
  }

  /** Refuses new work, ends running work and writes all receipts. */
  async stop(): Promise<void> {
    const stopMs = this.#settings.limits?.stopMs ?? DEFAULT_STOP_MS;
    const limit = AbortSignal.timeout(stopMs);
    while (this.#runner.openCount > 0 && !limit.aborted) {
      await waitFor(TICK_MS, limit);
    }
    if (this.#runner.openCount > 0) {
      this.#log.warn("stop-cuts-work", { open: this.#runner.openCount });
    }
    await this.#billing.close(limit);
    await this.#reports.close(limit);
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
    this.#lifetime.abort();
    this.#grpc.forceShutdown();
  }

  #createDirectory(signal: AbortSignal): EndpointDirectory {
    return new EndpointDirectory(
      {
        entry: this.#settings.name,
        incarnation: this.#incarnation,
        dataCentre: this.#settings.dataCentre,
        log: this.#log,
        getAssignments: () => this.#sync.state.endpoints,
        onStatus: (status) => {
          this.#sync.recordRevision(status.endpoint, status.revision);
          this.#runner.handle({ type: "endpoint-status", status });
        },
        onGone: (endpoint) =>
          this.#runner.handle({ type: "endpoint-gone", endpoint }),
      },
      signal,
    );
  }

  #createSync(): ConfigSync {
    const { name, dataCentre, limits } = this.#settings;
    return new ConfigSync({
      name,
      dataCentre,
      store: this.#store,
      listPeers: () => this.#hosts.hosts,
      freshnessMs: limits?.freshnessMs,
      onEvidence: (increase) =>
        this.#runner.handle({ type: "rated", ...increase }),
      log: (event, fields) => this.#log.info(event, fields),
    });
  }

  async #serveControl(): Promise<void> {
    const { address, controlPort } = this.#settings.listen;
    this.#grpc.addService(
      ConfigSyncService,
      createConfigSyncHandlers(this.#sync),
    );
    await new Promise<void>((resolve, reject) => {
      this.#grpc.bindAsync(
        `${address}:${controlPort}`,
        ServerCredentials.createInsecure(),
        (error) => (error === null ? resolve() : reject(error)),
      );
    });
  }

  async #serveCallers(): Promise<void> {
    const { listen, limits } = this.#settings;
    const server = createCallerServer({
      config: this.#sync,
      runner: this.#runner,
      log: this.#log,
      now: () => performance.now(),
      bodyBytes: limits?.bodyBytes ?? DEFAULT_BODY_BYTES,
      headerBytes: limits?.headerBytes ?? DEFAULT_HEADER_BYTES,
      checkAdmission: () => this.#checkAdmission(),
      resolveSession: (request, signal) =>
        this.#resolveSession(request, signal),
    });
    await this.#listen(server, requireSetting(listen.callerPort, "callerPort"));
  }

  async #serveOperators(): Promise<void> {
    const { listen, operatorTokenSha256 } = this.#settings;
    const server = createOperatorServer({
      tickets: this.#tickets,
      sync: this.#sync,
      log: this.#log,
      tokenSha256: operatorTokenSha256,
      describeStatus: () => this.#describeStatus(),
      createReport: (kind, hours, signal) =>
        this.#reports.createReport(kind, hours, signal),
      signal: this.#lifetime.signal,
    });
    await this.#listen(
      server,
      requireSetting(listen.operatorPort, "operatorPort"),
    );
  }

  async #listen(server: HttpServer, port: number): Promise<void> {
    server.listen(port, this.#settings.listen.address);
    await once(server, "listening");
    this.#servers.push(server);
    this.#log.info("listening", {
      port: (server.address() as AddressInfo).port,
    });
  }

  #checkAdmission(): Refusal | undefined {
    if (this.#stopSignal.aborted) {
      return createRefusal("stopping", "The entry is stopping", {
        retryAfterMs: STOP_RETRY_AFTER_MS,
      });
    }
    return this.#billing.ledger.checkRoom();
  }

  async #resolveSession(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<SessionResult | Refusal> {
    const { route, work } = request;
    const { session: sessionId, sessionToken: token } = work;
    const hasSession = sessionId !== undefined || token !== undefined;
    if (route.kind !== "model" || !hasSession) return {};
    const resolved = await this.#sessions.resolve(
      {
        account: route.account,
        requestClass: route.requestClass,
        sessionId,
        token,
        candidates: route.candidates,
        state: this.#sync.state,
      },
      signal,
    );
    return resolved.match<SessionResult | Refusal>(
      (session) => session,
      (refusal) => refusal,
    );
  }

  #tick(): void {
    this.#runner.handle({ type: "tick" });
    this.#metrics.setGauge(METRICS.receiptsOpen, this.#billing.ledger.count);
    this.#metrics.setGauge(METRICS.revision, this.#sync.state.revision);
  }

  async #hold(version: string, reason: string): Promise<void> {
    this.#log.warn("hold", { version, reason });
    const basis = this.#sync.state;
    const outcome = await this.#tickets.hold(
      { version, reason, basis },
      this.#lifetime.signal,
    );
    if (outcome.isOk()) return;
    this.#log.warn("hold-failed", { version, kind: outcome.error.kind });
  }

  #record(outcome: RequestOutcome): void {
    const { route, version, durationMs, refusal, answer } = outcome;
    const tags = { class: route.requestClass, account: route.account };
    this.#metrics.addCount(METRICS.requests, tags);
    this.#metrics.recordTime(METRICS.latency, durationMs, tags);
    if (refusal !== undefined) {
      this.#metrics.addCount(METRICS.refusals, { ...tags, code: refusal.code });
    }
    this.#log.info("request", {
      request: route.id,
      account: route.account,
      class: route.requestClass,
      version,
      revision: this.#sync.state.revision,
      ms: Math.round(durationMs),
      code: refusal?.code,
      ran: refusal?.ran,
    });
    const event = this.#reports.record(outcome);
    if (answer !== undefined && route.kind === "model") {
      const { id: requestId, requestClass } = route;
      const rated = { requestId, requestClass, version, answer };
      this.#ratings?.submit(rated, event);
    }
  }

  #describeStatus() {
    const { state } = this.#sync;
    return {
      entry: this.#settings.name,
      dataCentre: this.#settings.dataCentre,
      revision: state.revision,
      confirmationAgeMs: this.#sync.getConfirmationAgeMs(),
      watcher: this.#sync.isWatcher,
      openRequests: this.#runner.openCount,
      openReceipts: this.#billing.ledger.count,
      holds: Object.keys(state.holds),
      endpoints: this.#directory.listStatus(),
    };
  }
}

function requireSetting<T>(value: T | undefined, key: string): T {
  if (value === undefined) throw new Error(`Setting "${key}" is missing`);
  return value;
}

function listEndpoints(hosts: readonly HostEntry[]): HostEntry[] {
  return hosts.filter((host) => host.role === "endpoint");
}

function createRatings(settings: Settings): RatingService | undefined {
  const { ratingService } = settings;
  return (
    ratingService &&
    createHttpRatingService({ ...ratingService, timeoutMs: RATING_TIMEOUT_MS })
  );
}

/** Starts an entry; it serves until the signal aborts. */
export async function startEntryRole(
  settings: Settings,
  options: RoleOptions,
): Promise<RunningRole> {
  const entry = new Entry(settings, options);
  await entry.start();
  const stopped = new Promise<void>((resolve, reject) => {
    const stop = () => entry.stop().then(resolve, reject);
    if (options.signal.aborted) void stop();
    else options.signal.addEventListener("abort", stop, { once: true });
  });
  return { stopped };
}
