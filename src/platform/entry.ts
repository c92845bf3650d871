/** One entry on the platform: connects request handling, store and network. */

import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { AddressInfo, Server } from "node:net";
import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { receivedMemory } from "../adapters/received/index.js";
import { RepeatLog } from "../adapters/repeat_log.js";
import {
  Connections,
  computeMaxConnections,
  createCallerServer,
  createSuspendClock,
  EndpointLimits,
  EndpointProbe,
  EXCHANGE_PATH,
  FleetView,
  Freshness,
  getInitialShare,
  type ListenOptions,
  LoopDelay,
  type MessageHandler,
  NEWS_PATH,
  type NetworkAddress,
  Peers,
  PreferredEndpoints,
  PromptHolds,
  ProxyMetrics,
  RequestHandler,
  RetryBudget,
  Rollouts,
  reportServerErrors,
  SessionVersions,
  SharedLoads,
  Shutdown,
  startListening,
  startMetricsServer,
  startPeerServer,
  startReadinessServer,
  stopServer,
} from "../proxy/index.js";
import type { EarlyListener } from "./early_listener.js";
import type { EntrySettings } from "./entry_settings.js";
import { createExplainHandler, EXPLAIN_PATH } from "./explain_handler.js";
import { FleetSync } from "./fleet_sync.js";
import { platformWire } from "./platform_wire.js";
import { StoreClient } from "./store_client.js";
import { StoreEra } from "./store_era.js";
import { StoredHolds } from "./stored_holds.js";

const READY_PATH = "/hornbeamrill/readyz";
/** Interval of checks for due roll-out outcomes and expired records, ms. */
const TICK_INTERVAL_MS = 100;
/** Allows for callers, who see an answer end, and the gap begin, later. */
const SESSION_GAP_FACTOR = 2;
/** Delay per rank before an entry writes a due roll-out outcome itself, ms. */
const OUTCOME_DELAY_PER_RANK_MS = 300;
/**
 * Maximum age of the configuration, as a share of the time after which a
 * withdrawn key must not work. A request was sent before it is checked here, so
 * the rest only covers the error of the suspend clock, 300 ms.
 */
const MAX_CONFIG_AGE_SHARE = 0.9;
/**
 * Share of the grace period in which requests are still accepted. The load
 * balancer checks readiness once a second and removes a host at the second
 * failure.
 */
const ACCEPT_SHARE = 0.3;
/** Longest time in which they are, ms: that host is removed by then. */
const MAX_ACCEPT_MS = 2_400;
/**
 * When requests that still run are ended, as a share of the grace period, and
 * the least time before its end: their callers must get the last answers. It is
 * later than five sixths, since endpoints may be at work until then.
 */
const END = { share: 0.94, minRestMs: 150, minShare: 0.85 } as const;
/** The same for when answers are no longer sent. */
const BREAK = { share: 0.97, minRestMs: 50, minShare: 0.95 } as const;

/** HTTP path at which an operator releases a prompt part, named in the body. */
const RELEASE_PATH = "/release-prompt-part";

/** Length of the random id of this start; each message to peers carries it. */
const INCARNATION_BYTES = 6;
/**
 * Listeners on the entry's abort signal: a dozen components, a watch for each
 * kind of record, an exchange for each peer of a round. More would be a leak.
 */
const MAX_ABORT_LISTENERS = 64;

export interface RunningEntry {
  readonly callerPort: number;
  readonly exchangePort: number;
  isReady(): boolean;
  /**
   * Drains the open requests, then stops; resolves when it has stopped. The
   * signal to stop came `elapsedMs` ago.
   */
  stop(elapsedMs?: number): Promise<void>;
  /** Closes all servers and ends all calls and loops at once. */
  abort(): void;
}

/** The start ends with an error if `stopSignal` aborts while a port is taken. */
export async function startEntry(
  settings: EntrySettings,
  log: Logger,
  earlyListener?: EarlyListener,
  stopSignal?: AbortSignal,
): Promise<RunningEntry> {
  const { bounds } = settings;
  const listenOptions = { log, signal: stopSignal };
  const controller = new AbortController();
  const { signal } = controller;
  setMaxListeners(MAX_ABORT_LISTENERS, signal);
  const metrics = new ProxyMetrics();
  receivedMemory.setHostMemory(settings.memoryMb);
  receivedMemory.setRefusalListener((sender, reason, heldBytes) => {
    metrics.receivedRefusals.inc({ sender, reason });
    log.warn("received-refused", { sender, reason, heldBytes });
  });
  const maxConfigAgeMs = MAX_CONFIG_AGE_SHARE * bounds.revokeMs;
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const view = new FleetView(new Rollouts(incarnation, bounds.maxExposure));
  const clock = createSuspendClock();
  const now = () => performance.now();
  const { random } = Math;
  /** Each loop goes on after a round that fails; this is for what they miss. */
  const runTask = (task: string, run: () => Promise<void>): void => {
    run().catch((error: unknown) => {
      log.error("task-failed", { task, error: String(error) });
    });
  };
  const connections = new Connections(signal);
  const loopDelay = new LoopDelay();
  const shutdown = new Shutdown();
  const freshness = new Freshness(clock, () =>
    runTask("confirm", () => sync.confirmNow()),
  );
  const era = new StoreEra(() => {
    runTask("restore", () => sync.startRestore());
    runTask("restore-holds", () => writeHoldsAgain());
  });
  const store = new StoreClient({
    ...settings.storeAddress,
    era,
    signal,
    onCall: (kind, result) => metrics.storeCalls.inc({ kind, result }),
  });
  const sync = new FleetSync({
    store,
    era,
    getPeerConfigVersion: () => peers.newestConfigVersion,
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
    maxGapMs: SESSION_GAP_FACTOR * bounds.sessionGapMs,
    reportBelow: getInitialShare(bounds.maxExposure),
  });
  const limits = new EndpointLimits({
    selfName: settings.name,
    listSharers: () => peers.listSharers(),
    endpoints: view.endpoints,
    clock,
    now,
    random,
    log,
  });
  const sharedLoads = new SharedLoads({
    dataCentre: settings.dataCentre,
    listEndpoints: () => view.listSharedLoadEndpoints(),
    now,
  });
  const promptHolds = new PromptHolds({
    selfName: settings.name,
    listSharers: () => peers.listSharers(),
    onHold: (held) => runTask("hold", () => storedHolds.write(held)),
    onRelease: (held) => runTask("release", () => storedHolds.remove(held)),
    clock,
    log,
  });
  const storedHolds = new StoredHolds({
    store,
    promptHolds,
    now: () => clock.now(),
    readWallClockMs: Date.now,
    log,
    signal,
  });
  /** The first entry by name does it for all. */
  const writeHoldsAgain = async () => {
    if (peers.getRankByName() > 0) return;
    for (const held of promptHolds.listHeld()) await storedHolds.write(held);
  };
  const peerServer = await startPeerServer(
    new Map<string, MessageHandler>([
      [EXCHANGE_PATH, (data) => peers.answer(data)],
      [NEWS_PATH, (data) => sync.relay.answer(data)],
      [
        RELEASE_PATH,
        (data) => {
          const part = Buffer.from(data).toString().trim();
          return Buffer.from(`${promptHolds.releasePart(part)} released\n`);
        },
      ],
      [EXPLAIN_PATH, (data) => explain(data)],
    ]),
    settings.exchangeAddress,
    listenOptions,
  );
  const exchangePort = (peerServer.address() as AddressInfo).port;
  const peers = new Peers({
    self: {
      address: settings.exchangeAddress.address,
      port: exchangePort,
      name: settings.name,
      incarnation,
      dataCentre: settings.dataCentre,
    },
    seeds: settings.seeds,
    rollouts: view.rollouts,
    sessions,
    limits,
    sharedLoads,
    promptHolds,
    getConfigVersion: () => view.catalog?.configuration.version ?? 0,
    now,
    random,
    log,
    signal,
  });
  const handlerOptions = {
    preferredEndpoints: new PreferredEndpoints(),
    wire: platformWire,
    log,
    metrics,
    view,
    waitUntilLoaded: (ms: number) => sync.waitUntilLoaded(ms),
    connections,
    freshness,
    loopDelay,
    shutdown,
    now,
    random,
    retryBudget: new RetryBudget({
      ratio: bounds.retryRatio,
      windowMs: bounds.retryWindowMs,
      allowance: bounds.retryAllowance,
      countSharers: () => peers.countSharers(),
      startedAtMs: now(),
    }),
    sessions,
    limits,
    promptHolds,
    endpointProbe: new EndpointProbe(),
    selfName: settings.name,
    listSharers: () => peers.listSharers(),
    getSharedLoad: (endpointId: string) => sharedLoads.get(endpointId),
    countEntries: () => peers.countEntries(),
    maxConfigAgeMs,
    maxDenyAgeMs: bounds.configMs,
    maxCallerConnections: computeMaxConnections(
      settings.memoryMb,
      settings.maxDescriptors,
    ),
  };
  const requestHandler = new RequestHandler(handlerOptions);
  const explain = createExplainHandler({
    ...handlerOptions,
    isRefusingRequests: () => requestHandler.isRefusingRequests,
  });
  let isStopping = false;
  const isReady = () =>
    !isStopping &&
    sync.isLoaded &&
    view.catalog !== undefined &&
    freshness.ageMs <= maxConfigAgeMs;
  const callerServer = await openCallerServer(
    createCallerServer(requestHandler, view),
    settings.callerAddress,
    earlyListener,
    listenOptions,
  );
  const readinessServer = await startReadinessServer(
    isReady,
    READY_PATH,
    settings.readinessAddress,
    listenOptions,
  );
  const metricsServer = await startMetricsServer(
    () => {
      metrics.configVersion.set(view.catalog?.configuration.version ?? 0);
      metrics.configAgeSeconds.set(Math.min(freshness.ageMs, 1e9) / 1_000);
      metrics.loopDelaySeconds.set(loopDelay.meanMs / 1_000);
      metrics.endpoints.set(view.endpoints.size);
      metrics.receivedBytes.set(receivedMemory.heldBytes);
      metrics.callerConnections.set(requestHandler.connectionCount);
      metrics.setEndpointLimits(limits.listStatuses());
      metrics.sharedLoadReports.set(sharedLoads.reportCount);
      metrics.heldPromptParts.set(promptHolds.listHeld().length);
      return metrics.render();
    },
    { address: settings.address, port: settings.metricsPort },
    listenOptions,
  );
  const abort = () => {
    controller.abort();
    for (const server of [
      callerServer,
      readinessServer,
      metricsServer,
      peerServer,
    ]) {
      server.close();
      server.closeAllConnections();
    }
  };
  runTask("peers", () => peers.run());
  runTask("views", () => sync.run());
  runTask("stored-holds", () => storedHolds.load());
  runTask("ticks", () =>
    runTicks({ view, sync, peers, loopDelay, now, log, signal }),
  );
  return {
    callerPort: (callerServer.address() as AddressInfo).port,
    exchangePort,
    isReady,
    abort,
    stop: async (elapsedMs = 0) => {
      const graceMs = Math.max(0, bounds.graceMs - elapsedMs);
      isStopping = true;
      peers.leave();
      await stopServer(callerServer, requestHandler, shutdown, {
        acceptMs: Math.min(ACCEPT_SHARE * graceMs, MAX_ACCEPT_MS),
        endAfterMs: computeTimeInGrace(END, graceMs),
        breakAfterMs: computeTimeInGrace(BREAK, graceMs),
      });
      abort();
    },
  };
}

function computeTimeInGrace(
  { share, minRestMs, minShare }: typeof END | typeof BREAK,
  graceMs: number,
): number {
  return Math.max(
    minShare * graceMs,
    Math.min(share * graceMs, graceMs - minRestMs),
  );
}

/** Takes over the early listener if it listens on the callers' address. */
async function openCallerServer<S extends Server>(
  server: S,
  listenAddress: NetworkAddress,
  earlyListener: EarlyListener | undefined,
  options: ListenOptions,
): Promise<S> {
  if (earlyListener?.isListeningOn(listenAddress)) {
    reportServerErrors(server, options.log);
    return await earlyListener.handOverTo(server);
  }
  earlyListener?.close();
  return await startListening(server, listenAddress, options);
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

/** Removes expired records and writes due roll-out outcomes until aborted. */
async function runTicks(options: TickOptions): Promise<void> {
  const { loopDelay, now, log, signal } = options;
  const repeatLog = new RepeatLog(options);
  const dueSinceMsByService = new Map<string, number>();
  while (!signal.aborted) {
    const tickStartedAtMs = now();
    await pauseFor(TICK_INTERVAL_MS, signal);
    if (signal.aborted) return;
    if (loopDelay.record(now() - tickStartedAtMs - TICK_INTERVAL_MS)) {
      const meanMs = Math.round(loopDelay.meanMs);
      log.warn(loopDelay.isLate ? "loop-late" : "loop-in-time", { meanMs });
    }
    try {
      await runTick(options, dueSinceMsByService);
    } catch (error) {
      const reason = String(error);
      repeatLog.error(reason, "tick-failed", { reason });
    }
  }
}

async function runTick(
  { view, sync, peers, now }: TickOptions,
  dueSinceMsByService: Map<string, number>,
): Promise<void> {
  sync.applyDueChanges();
  const decisions = view.rollouts.decide(now());
  for (const decision of decisions) {
    const { service } = decision.order;
    const dueSinceMs = dueSinceMsByService.get(service) ?? now();
    dueSinceMsByService.set(service, dueSinceMs);
    if (now() - dueSinceMs < peers.getRankByName() * OUTCOME_DELAY_PER_RANK_MS)
      continue;
    await sync.writeOutcome(decision);
  }
  if (decisions.length === 0) dueSinceMsByService.clear();
}
