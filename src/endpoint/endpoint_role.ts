/** The endpoint role: connects the gate to its engine or plain service. */

import { randomUUID } from "node:crypto";
import { performance } from "node:perf_hooks";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import {
  createHttpEngine,
  createHttpHostList,
  createHttpObjectStore,
  createHttpService,
  createMetrics,
  type Engine,
  type EngineFailure,
  type HostEntry,
  METRICS,
  type ObjectStore,
  type Service,
  type ServiceFailure,
} from "../adapters/index.js";
import { HeldReceipts } from "../billing/held_receipts.js";
import { ConfigSync } from "../configuration/config_sync.js";
import type { ConfigView } from "../configuration/config_view.js";
import type { RoleOptions, RunningRole } from "../entry/entry_role.js";
import { applyHook, type RoleHooks } from "../entry/role_hooks.js";
import { createSystemClock } from "../runtime/clock.js";
import { HostWatcher } from "../runtime/host_watcher.js";
import { failProcess, waitFor } from "../runtime/run_with_timeout.js";
import type { Settings } from "../schema/index.js";
import { type Endpoint, startEndpoint } from "./endpoint.js";
import type { EndpointLog } from "./endpoint_runner.js";
import type { ReceiptHolder } from "./gate_service.js";
import type { BackendFailure, RunBackend } from "./run_backend.js";
import { type LoadOrder, runVersionLoader } from "./version_loader.js";

const STORE_TIMEOUT_MS = 2_000;
const HOST_LIST_TIMEOUT_MS = 2_000;
/** The interval at which an entry sends its gauges, too. */
const GAUGE_INTERVAL_MS = 5_000;
const LOAD_POLL_PERIOD_MS = 500;
/** Longer than the longest deadline; the gate aborts at the deadline. */
const BACKEND_TIMEOUT_MS = 900_000;

/** Gate failure kinds by adapter failure kind; any other kind is "broken". */
const BACKEND_FAILURE_KINDS: Partial<
  Record<(EngineFailure | ServiceFailure)["kind"], BackendFailure["kind"]>
> = {
  overloaded: "overloaded",
  aborted: "aborted",
  "bad-request": "refused",
  invalid: "refused",
  "version-not-loaded": "not-loaded",
  "too-large": "too-large",
};

function toBackendFailure(
  failure: EngineFailure | ServiceFailure,
): BackendFailure {
  const { ran, detail } = failure;
  return { kind: BACKEND_FAILURE_KINDS[failure.kind] ?? "broken", ran, detail };
}

function createEngineBackend(engine: Engine): RunBackend {
  return (request, onChunk, signal) =>
    engine
      .complete(
        request,
        (chunk) => {
          if (chunk.text !== "") onChunk(Buffer.from(chunk.text, "utf8"));
        },
        signal,
      )
      .map(({ promptTokens, outputTokens, engineStartId }) => ({
        startId: engineStartId,
        status: 200,
        promptTokens,
        outputTokens,
        body: new Uint8Array(),
        contentType: "",
      }))
      .mapErr(toBackendFailure);
}

function createServiceBackend(service: Service): RunBackend {
  return (request, _onChunk, signal) =>
    service
      .callService(request, signal)
      .map(({ status, contentType, body, serviceStartId }) => ({
        startId: serviceStartId,
        status,
        contentType,
        body,
        promptTokens: 0,
        outputTokens: 0,
      }))
      .mapErr(toBackendFailure);
}

function createBackend(settings: Settings): {
  run: RunBackend;
  engine?: Engine;
} {
  const { engine, service } = settings;
  if (engine !== undefined) {
    const { address, port } = engine;
    const adapter = createHttpEngine({
      address,
      port,
      timeoutMs: BACKEND_TIMEOUT_MS,
    });
    return { run: createEngineBackend(adapter), engine: adapter };
  }
  if (service === undefined) throw new Error("No engine and no service is set");
  const { address, port } = service;
  const connection = { address, port, timeoutMs: BACKEND_TIMEOUT_MS };
  return { run: createServiceBackend(createHttpService(connection)) };
}

/** Creates a reader of the engine's load, whose report lags behind. */
function createLoadReportReader(engine: Engine | undefined) {
  return (
    engine &&
    ((signal: AbortSignal) => engine.readLoad(signal).mapErr(toBackendFailure))
  );
}

function createStore(
  settings: Settings,
  hooks: RoleHooks,
): ObjectStore | undefined {
  if (settings.objectStore === undefined) return undefined;
  const store = createHttpObjectStore({
    ...settings.objectStore,
    timeoutMs: STORE_TIMEOUT_MS,
  });
  return applyHook(hooks.wrapStore, store);
}

/** Orders a load and waits until the load report lists the version. */
function loadVersion(
  engine: Engine,
  order: LoadOrder,
  signal: AbortSignal,
): ResultAsync<void, BackendFailure> {
  const waitUntilLoaded = async (): Promise<Result<void, BackendFailure>> => {
    while (!signal.aborted) {
      const report = await engine.readLoad(signal);
      if (report.isOk() && report.value.versions.includes(order.version))
        return ok();
      await waitFor(LOAD_POLL_PERIOD_MS, signal);
    }
    const detail = `The end of the load of version "${order.version}" was not observed`;
    return err({ kind: "aborted", ran: "unknown", detail });
  };
  return engine
    .sendOrder(order, signal)
    .mapErr(toBackendFailure)
    .andThen(() => new ResultAsync(waitUntilLoaded()));
}

/** Starts the version loader if a store and an engine are set. */
function startVersionLoader(
  settings: Settings,
  parts: {
    endpoint: Endpoint;
    config: ConfigSync;
    engine: Engine | undefined;
    store: ObjectStore | undefined;
    log: EndpointLog;
    signal: AbortSignal;
    hooks: RoleHooks;
  },
): void {
  const { endpoint, config, engine, store, log, signal, hooks } = parts;
  if (engine === undefined || store === undefined) return;
  const sendLoadOrder = (order: LoadOrder, orderSignal: AbortSignal) =>
    loadVersion(engine, order, orderSignal);
  const loaderOptions = {
    endpoint: settings.name,
    epoch: endpoint.epoch,
    honoursFencing: settings.engine?.honoursFencing ?? false,
    config,
    store,
    sendLoadOrder: applyHook(hooks.wrapSendLoadOrder, sendLoadOrder),
    listLoadedVersions: () => endpoint.listLoadedVersions(),
    log,
    getNowMs: () => performance.now(),
    getRandom: Math.random,
  };
  void runVersionLoader(loaderOptions, signal);
}

function sendGauges(
  settings: Settings,
  parts: { endpoint: Endpoint; config: ConfigSync; signal: AbortSignal },
): void {
  const { endpoint, config, signal } = parts;
  const metrics = createMetrics(settings.metrics, settings, signal);
  const send = () => {
    const { inFlight, limit, queued } = endpoint.describeStatus();
    metrics.setGauge(METRICS.inFlight, inFlight);
    metrics.setGauge(METRICS.limit, limit);
    metrics.setGauge(METRICS.queued, queued);
    metrics.setGauge(METRICS.revision, config.state.revision);
    const ageMs = config.getConfirmationAgeMs();
    if (ageMs !== null) metrics.setGauge(METRICS.confirmationAge, ageMs);
  };
  const timer = setInterval(send, GAUGE_INTERVAL_MS).unref();
  signal.addEventListener("abort", () => clearInterval(timer), { once: true });
}

/** Starts an endpoint process, which serves until the signal aborts. */
export async function startEndpointRole(
  settings: Settings,
  options: RoleOptions,
): Promise<RunningRole> {
  const { log, signal, hooks = {} } = options;
  const processLifetime = new AbortController();
  let endpoint: Endpoint | undefined;
  const applyHosts = (hosts: readonly HostEntry[]) => {
    const ownHost = hosts.find((host) => host.name === settings.name);
    if (ownHost !== undefined) endpoint?.setLeaving(ownHost.leaving);
  };
  const hostList = createHttpHostList({
    ...settings.hostList,
    timeoutMs: HOST_LIST_TIMEOUT_MS,
  });
  const hostWatcher = new HostWatcher({
    hostList: applyHook(hooks.wrapHostList, hostList),
    log,
    onHosts: applyHosts,
  });
  const config = new ConfigSync({
    name: settings.name,
    dataCentre: settings.dataCentre,
    listPeers: () => hostWatcher.hosts,
    freshnessMs: settings.limits?.freshnessMs,
    log: (event, fields) => log.info(event, fields),
  });
  const store = createStore(settings, hooks);
  const receipts = new HeldReceipts({
    store,
    clock: createSystemClock(),
    createId: randomUUID,
    endpoint: settings.name,
    isProcessLive: (process) => endpoint?.isAttached(process) ?? false,
    isProcessReplaced: (process) => endpoint?.isReplaced(process) ?? false,
    forwardReceipt: () => Promise.resolve(false),
  });
  const backend = createBackend(settings);
  const endpointLog: EndpointLog = {
    info: (fields, event) => log.info(event, { ...fields }),
    warn: (fields, event) => log.warn(event, { ...fields }),
    error: (fields, event) => log.error(event, { ...fields }),
  };
  await hostWatcher.start(processLifetime.signal);
  endpoint = await startEndpoint({
    settings,
    config: applyHook<ConfigView>(hooks.wrapGateView, config),
    backend: applyHook(hooks.wrapBackend, backend.run),
    receipts: applyHook<ReceiptHolder>(hooks.wrapReceipts, receipts),
    log: endpointLog,
    readLoadReport: createLoadReportReader(backend.engine),
    signal,
    beforeClose: (closeSignal) => receipts.handOver(closeSignal),
  });
  config.run(processLifetime.signal).catch((error: unknown) => {
    // The configuration can no longer be trusted, so the process ends.
    failProcess(error);
  });
  void receipts.start(processLifetime.signal);
  sendGauges(settings, { endpoint, config, signal: processLifetime.signal });
  startVersionLoader(settings, {
    endpoint,
    config,
    engine: backend.engine,
    store,
    log: endpointLog,
    signal: processLifetime.signal,
    hooks,
  });
  return { stopped: endpoint.stopped.finally(() => processLifetime.abort()) };
}
