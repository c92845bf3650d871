/** The entry role: serves callers, operators and the other processes. */

import { once } from "node:events";
import type { Server as HttpServer } from "node:http";
import type { AddressInfo } from "node:net";
import { performance } from "node:perf_hooks";
import { Server as GrpcServer, ServerCredentials } from "@grpc/grpc-js";
import { type Logger, METRICS } from "../adapters/index.js";
import { createConfigSyncHandlers } from "../configuration/config_sync_handlers.js";
import { createRefusal, type Refusal } from "../core/index.js";
import type { CallerRequest } from "../request/caller_requests.js";
import {
  createCallerServer,
  type SessionResult,
} from "../request/caller_server.js";
import { closeHttpServer } from "../runtime/close_http_server.js";
import { failProcess, waitFor } from "../runtime/run_with_timeout.js";
import { ConfigSyncService, type Settings } from "../schema/index.js";
import { EntryParts, getSetting } from "./entry_parts.js";
import { createOperatorServer } from "./operator_server.js";
import type { RoleHooks } from "./role_hooks.js";

export interface RoleOptions {
  readonly log: Logger;
  /** Begins the graceful shutdown. */
  readonly signal: AbortSignal;
  /** @internal */
  readonly hooks?: RoleHooks;
}

export interface RunningRole {
  /** Settles when the graceful shutdown is complete. */
  readonly stopped: Promise<void>;
}

const TICK_PERIOD_MS = 50;
/** Each gauge is one small packet; control traffic stays under 2 KB/s. */
const GAUGE_INTERVAL_MS = 5_000;
const DEFAULT_MAX_BODY_BYTES = 1_000_000;
const DEFAULT_MAX_HEADER_BYTES = 16_384;
const DEFAULT_STOP_TIMEOUT_MS = 30_000;
/** Gives the load balancer time to see that the entry takes no new work. */
const STOPPING_RETRY_AFTER_MS = 1_000;

class Entry {
  readonly #settings: Settings;
  readonly #log: Logger;
  readonly #stopSignal: AbortSignal;
  readonly #hooks: RoleHooks;
  /** Aborts at the end of the graceful shutdown. */
  readonly #processLifetime = new AbortController();
  readonly #parts: EntryParts;
  readonly #httpServers: HttpServer[] = [];
  readonly #controlServer = new GrpcServer();

  constructor(settings: Settings, options: RoleOptions) {
    this.#settings = settings;
    this.#log = options.log;
    this.#stopSignal = options.signal;
    this.#hooks = options.hooks ?? {};
    this.#parts = new EntryParts({
      settings,
      log: options.log,
      signal: this.#processLifetime.signal,
      hooks: this.#hooks,
    });
  }

  async start(): Promise<void> {
    const { signal } = this.#processLifetime;
    const { hostWatcher, configSync, runner, billing, reports, ratings } =
      this.#parts;
    await this.#serveControl();
    await hostWatcher.start(signal);
    configSync.addListener((state) => {
      this.#log.info("revision", { revision: state.revision });
      runner.handle({ type: "state", state });
    }, signal);
    configSync.run(signal).catch((error: unknown) => {
      // The configuration can no longer be trusted, so the process ends.
      failProcess(error);
    });
    billing.start(signal);
    void reports.start(signal);
    void ratings?.start(signal);
    setInterval(() => runner.handle({ type: "tick" }), TICK_PERIOD_MS).unref();
    setInterval(() => this.#sendGauges(), GAUGE_INTERVAL_MS).unref();
    await this.#serveCallers();
    await this.#serveOperators();
  }

  /** Lets running work end, refuses new work and writes all receipts. */
  async stop(): Promise<void> {
    const { runner, billing, reports } = this.#parts;
    const stopMs = this.#settings.limits?.stopMs ?? DEFAULT_STOP_TIMEOUT_MS;
    const stopTimeoutSignal = AbortSignal.timeout(stopMs);
    while (runner.openCount > 0 && !stopTimeoutSignal.aborted) {
      await waitFor(TICK_PERIOD_MS, stopTimeoutSignal);
    }
    // The runner does not count requests whose session is being looked up or
    // whose last bytes are being sent, but their connections are still open.
    await Promise.all(
      this.#httpServers.map((server) =>
        closeHttpServer(server, stopTimeoutSignal),
      ),
    );
    if (runner.openCount > 0) {
      this.#log.warn("stop-cuts-work", { open: runner.openCount });
    }
    await billing.close(stopTimeoutSignal);
    await reports.close(stopTimeoutSignal);
    this.#endProcessLifetime();
  }

  #endProcessLifetime(): void {
    this.#processLifetime.abort();
    this.#controlServer.forceShutdown();
  }

  /** Ends all calls and closes all servers at once. */
  abort(): void {
    this.#endProcessLifetime();
    for (const server of this.#httpServers) {
      server.close();
      server.closeAllConnections();
    }
  }

  async #serveControl(): Promise<void> {
    const { address, controlPort } = this.#settings.listen;
    this.#controlServer.addService(
      ConfigSyncService,
      createConfigSyncHandlers(this.#parts.configSync),
    );
    await new Promise<void>((resolve, reject) => {
      this.#controlServer.bindAsync(
        `${address}:${controlPort}`,
        ServerCredentials.createInsecure(),
        (error) => (error === null ? resolve() : reject(error)),
      );
    });
  }

  async #serveCallers(): Promise<void> {
    const { listen, limits } = this.#settings;
    const server = createCallerServer({
      config: this.#parts.configSync,
      runner: this.#parts.runner,
      log: this.#log,
      now: () => performance.now(),
      bodyBytes: limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES,
      headerBytes: limits?.headerBytes ?? DEFAULT_MAX_HEADER_BYTES,
      checkAdmission: () => this.#checkAdmission(),
      resolveSession: (request, signal) =>
        this.#resolveSession(request, signal),
    });
    await this.#listen(server, getSetting(listen.callerPort, "callerPort"));
  }

  async #serveOperators(): Promise<void> {
    const { listen, operatorTokenSha256 } = this.#settings;
    const server = createOperatorServer({
      tickets: this.#parts.tickets,
      config: this.#parts.configSync,
      log: this.#log,
      tokenSha256: operatorTokenSha256,
      describeStatus: () => this.#describeStatus(),
      createReport: (kind, hours, signal) =>
        this.#parts.reports.createReport(kind, hours, signal),
      signal: this.#processLifetime.signal,
    });
    await this.#listen(server, getSetting(listen.operatorPort, "operatorPort"));
  }

  async #listen(server: HttpServer, port: number): Promise<void> {
    server.listen(port, this.#settings.listen.address);
    await once(server, "listening");
    this.#httpServers.push(server);
    this.#log.info("listening", {
      port: (server.address() as AddressInfo).port,
    });
  }

  #checkAdmission(): Refusal | undefined {
    if (this.#stopSignal.aborted) {
      return createRefusal("stopping", "The entry is stopping", {
        retryAfterMs: STOPPING_RETRY_AFTER_MS,
      });
    }
    return this.#parts.billing.ledger.checkRoom();
  }

  async #resolveSession(
    request: CallerRequest,
    signal: AbortSignal,
  ): Promise<SessionResult | Refusal> {
    const { route, payload } = request;
    const { session: sessionId, sessionToken: token } = payload;
    const hasSession = sessionId !== undefined || token !== undefined;
    if (route.kind !== "model" || !hasSession) return {};
    const { resolveSession } = this.#hooks;
    if (resolveSession !== undefined) return resolveSession();
    const resolved = await this.#parts.sessions.resolve(
      {
        account: route.account,
        requestClass: route.requestClass,
        sessionId,
        token,
        candidates: this.#parts.runner.listSessionCandidates(route),
        state: this.#parts.configSync.state,
      },
      signal,
    );
    return resolved.match<SessionResult | Refusal>(
      (session) => session,
      (refusal) => refusal,
    );
  }

  #sendGauges(): void {
    const { metrics, billing, configSync } = this.#parts;
    metrics.setGauge(METRICS.receiptsOpen, billing.ledger.count);
    metrics.setGauge(METRICS.revision, configSync.state.revision);
    const ageMs = configSync.getConfirmationAgeMs();
    if (ageMs !== null) metrics.setGauge(METRICS.confirmationAge, ageMs);
  }

  #describeStatus() {
    const { configSync, runner, billing, directory } = this.#parts;
    const { state } = configSync;
    return {
      entry: this.#settings.name,
      dataCentre: this.#settings.dataCentre,
      revision: state.revision,
      confirmationAgeMs: configSync.getConfirmationAgeMs(),
      watcher: configSync.isWatcher,
      openRequests: runner.openCount,
      openReceipts: billing.ledger.count,
      holds: Object.keys(state.holds),
      endpoints: directory.listStatus(),
    };
  }
}

/** Starts an entry process, which serves until the signal aborts. */
export async function startEntryRole(
  settings: Settings,
  options: RoleOptions,
): Promise<RunningRole> {
  const entry = new Entry(settings, options);
  try {
    await entry.start();
  } catch (error) {
    entry.abort();
    throw error;
  }
  const stopped = new Promise<void>((resolve, reject) => {
    const stop = () => entry.stop().then(resolve, reject);
    if (options.signal.aborted) void stop();
    else options.signal.addEventListener("abort", stop, { once: true });
  });
  return { stopped };
}
