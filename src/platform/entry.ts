/** One entry on the platform: wires the request path to store and network. */

import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { AddressInfo, Server } from "node:net";
import type { Logger } from "../adapters/logs.js";
import { pauseFor } from "../adapters/pause.js";
import {
  Connections,
  createCallerServer,
  createSuspendClock,
  EXCHANGE_PATH,
  FleetView,
  Freshness,
  getInitialShare,
  LoopDelay,
  type MessageHandler,
  NEWS_PATH,
  type NetworkAddress,
  Peers,
  PreferredEndpoints,
  ProxyMetrics,
  RequestHandler,
  RetryBudget,
  Rollouts,
  SessionVersions,
  startListening,
  startMetricsServer,
  startPeerServer,
  startReadinessServer,
  stopServer,
} from "../proxy/index.js";
import type { EarlyListener } from "./early_listener.js";
import { FleetSync } from "./fleet_sync.js";
import { platformWire } from "./headers.js";
import type { EntrySettings } from "./settings.js";
import { StoreClient } from "./store_client.js";

const READY_PATH = "/hornbeamrill/readyz";
/** How often due decisions and lapsed records are looked at, ms. */
const TICK_MS = 100;
/** A session's gap begins at its answer's end, which callers see later. */
const SESSION_MARGIN = 2;
/** Wait of each further entry before it writes an outcome itself, ms. */
const TURN_MS = 300;
/**
 * Share of the time to withdraw a key within which a view counts as current. A
 * request was sent before it is checked here, so the rest is only for the error
 * of the suspend clock, 300 ms.
 */
const FRESH_SHARE = 0.9;
/**
 * Part of the grace in which requests are still taken. The balancer asks once
 * a second and takes a host out at the second miss.
 */
const TAKE_SHARE = 0.3;
/** Part of the grace after which what still runs is broken off. */
const BREAK_SHARE = 0.94;

/** Names one start among those of all entries; it stands in each message. */
const INCARNATION_BYTES = 6;
/**
 * Parts and open calls that end with the entry: a dozen parts, a watch for each
 * kind of record, an exchange for each peer of a round. More would be a leak.
 */
const MAX_ABORT_LISTENERS = 64;

export interface RunningEntry {
  readonly callerPort: number;
  isReady(): boolean;
  /** Stops gracefully; settles when no request is left. */
  stop(): Promise<void>;
  /** Ends everything at once. */
  abort(): void;
}

export async function startEntry(
  settings: EntrySettings,
  log: Logger,
  early?: EarlyListener,
): Promise<RunningEntry> {
  const { bounds } = settings;
  const controller = new AbortController();
  const { signal } = controller;
  setMaxListeners(MAX_ABORT_LISTENERS, signal);
  const metrics = new ProxyMetrics();
  const maxConfigAgeMs = FRESH_SHARE * bounds.revokeMs;
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const view = new FleetView(new Rollouts(incarnation, bounds.exposure));
  const clock = createSuspendClock();
  const now = () => performance.now();
  const { random } = Math;
  const connections = new Connections(signal);
  const loopDelay = new LoopDelay();
  const freshness = new Freshness(clock, () => void sync.confirmNow());
  const store = new StoreClient({
    ...settings.store,
    signal,
    onCall: (kind, result) => metrics.storeCalls.inc({ kind, result }),
  });
  const sync = new FleetSync({
    store,
    view,
    freshness,
    clock,
    now,
    random,
    log,
    signal,
    maxConfigAgeMs,
    bounds,
    selfName: settings.name,
    listNeighbours: () => peers.listNeighbours(),
    onNewsAnswer: (result) => metrics.newsAnswers.inc({ result }),
    onEndpointRemoved: (id) => connections.remove(id),
  });
  const sessions = new SessionVersions({
    maxGapMs: SESSION_MARGIN * bounds.sessionGapMs,
    reportBelow: getInitialShare(bounds.exposure),
  });
  const peers = new Peers({
    self: {
      ...settings.exchange,
      name: settings.name,
      incarnation,
      dataCentre: settings.dataCentre,
    },
    seeds: settings.seeds,
    rollouts: view.rollouts,
    sessions,
    now,
    random,
    log,
    signal,
  });
  const path = new RequestHandler({
    preferredEndpoints: new PreferredEndpoints(),
    wire: platformWire,
    log,
    metrics,
    view,
    waitUntilLoaded: (ms) => sync.waitUntilLoaded(ms),
    connections,
    freshness,
    loopDelay,
    now,
    random,
    retryBudget: new RetryBudget({
      ratio: bounds.repeatRatio,
      windowMs: bounds.repeatWindowMs,
      allowance: bounds.repeatAllowance,
    }),
    sessions,
    countEntries: () => peers.countEntries(),
    maxConfigAgeMs,
    maxDenyAgeMs: bounds.configMs,
  });
  let isStopping = false;
  const isReady = () =>
    !isStopping &&
    sync.isLoaded &&
    view.catalog !== undefined &&
    freshness.ageMs <= maxConfigAgeMs;
  const callers = await openCallerServer(
    createCallerServer(path, view),
    settings.callers,
    early,
  );
  const readiness = await startReadinessServer(
    isReady,
    READY_PATH,
    settings.readiness,
  );
  const metricsServer = await startMetricsServer(
    () => {
      metrics.configVersion.set(view.catalog?.configuration.version ?? 0);
      metrics.configAgeSeconds.set(Math.min(freshness.ageMs, 1e9) / 1_000);
      metrics.loopDelaySeconds.set(loopDelay.meanMs / 1_000);
      metrics.endpoints.set(view.endpoints.size);
      return metrics.render();
    },
    { address: settings.address, port: settings.metricsPort },
  );
  const exchange = await startPeerServer(
    new Map<string, MessageHandler>([
      [EXCHANGE_PATH, (data) => peers.answer(data)],
      [NEWS_PATH, (data) => sync.relay.answer(data)],
    ]),
    settings.exchange,
  );
  const abort = () => {
    controller.abort();
    for (const server of [callers, readiness, metricsServer, exchange]) {
      server.close();
      server.closeAllConnections();
    }
  };
  void peers.run();
  void sync.run();
  void runTicks({ view, sync, peers, loopDelay, now, log, signal });
  return {
    callerPort: (callers.address() as AddressInfo).port,
    isReady,
    abort,
    stop: async () => {
      isStopping = true;
      peers.leave();
      await stopServer(callers, path, {
        acceptMs: TAKE_SHARE * bounds.graceMs,
        abortAfterMs: BREAK_SHARE * bounds.graceMs,
      });
      abort();
    },
  };
}

/** Takes the callers that wait where their port is open already. */
async function openCallerServer<S extends Server>(
  server: S,
  place: NetworkAddress,
  early: EarlyListener | undefined,
): Promise<S> {
  if (early?.isHolding(place)) return await early.bindTo(server);
  early?.close();
  return await startListening(server, place);
}

interface TickOptions {
  readonly view: FleetView;
  readonly sync: FleetSync;
  readonly peers: Peers;
  readonly loopDelay: LoopDelay;
  readonly log: Logger;
  readonly now: () => number;
  readonly signal: AbortSignal;
}

/** Ends lapsed records and writes rollout outcomes, the first entry first. */
async function runTicks(options: TickOptions): Promise<void> {
  const { view, sync, peers, loopDelay, now, log, signal } = options;
  const dueSinceMs = new Map<string, number>();
  while (!signal.aborted) {
    const startedAtMs = now();
    await pauseFor(TICK_MS, signal);
    if (signal.aborted) return;
    if (loopDelay.record(now() - startedAtMs - TICK_MS)) {
      const meanMs = Math.round(loopDelay.meanMs);
      log.warn(loopDelay.isLate ? "loop-late" : "loop-in-time", { meanMs });
    }
    view.endpoints.removeLapsed(now());
    const decisions = view.rollouts.decide(now());
    for (const decision of decisions) {
      const { service } = decision.order;
      const since = dueSinceMs.get(service) ?? now();
      dueSinceMs.set(service, since);
      if (now() - since < peers.getRankByName() * TURN_MS) continue;
      await sync.writeOutcome(decision);
    }
    if (decisions.length === 0) dueSinceMs.clear();
  }
}
