/** The endpoint role: joins the gate to its engine or plain service. */

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
import type { RoleOptions, RunningRole } from "../entry/entry.js";
import { applyHook, type RoleHooks } from "../entry/role_hooks.js";
import { createSystemClock } from "../runtime/clock.js";
import { HostWatcher } from "../runtime/host_watcher.js";
import { failProcess, waitFor } from "../runtime/run_with_timeout.js";
import type { Settings } from "../schema/index.js";
import { type Endpoint, startEndpoint } from "./endpoint.js";
import type { BackendFailure, RunBackend } from "./endpoint_backend.js";
import { type LoadOrder, runEngineOrders } from "./endpoint_orders.js";
import type { EndpointLog } from "./endpoint_runner.js";
import type { ReceiptHolder } from "./endpoint_service.js";

const STORE_TIMEOUT_MS = 2_000;
const HOST_LIST_TIMEOUT_MS = 2_000;
/** As the entry sends its gauges. */
const GAUGE_INTERVAL_MS = 5_000;
const LOAD_POLL_MS = 500;
/** Longer than the longest deadline; the gate aborts at the deadline. */
const BACKEND_TIMEOUT_MS = 900_000;

/** Kinds of the adapters by kind of the gate; all others are broken calls. */
const FAILURE_KINDS: Partial<
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
  return { kind: FAILURE_KINDS[failure.kind] ?? "broken", ran, detail };
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

function createPlainBackend(service: Service): RunBackend {
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
  const target = { address, port, timeoutMs: BACKEND_TIMEOUT_MS };
  return { run: createPlainBackend(createHttpService(target)) };
}

/** Reads the engine's lagging load report. */
function createReportReader(engine: Engine | undefined) {
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

/** Orders a load and waits until the engine reports the version. */
function loadVersion(
  engine: Engine,
  order: LoadOrder,
  signal: AbortSignal,
): ResultAsync<void, BackendFailure> {
  const waitUntilLoaded = async (): Promise<Result<void, BackendFailure>> => {
    while (!signal.aborted) {
      const load = await engine.readLoad(signal);
      if (load.isOk() && load.value.versions.includes(order.version))
        return ok();
      await waitFor(LOAD_POLL_MS, signal);
    }
    const detail = `Load of version "${order.version}" was not seen to end`;
    return err({ kind: "aborted", ran: "unknown", detail });
  };
  return engine
    .order(order, signal)
    .mapErr(toBackendFailure)
    .andThen(() => new ResultAsync(waitUntilLoaded()));
}

/** Loads the versions that the fleet state assigns; needs store and engine. */
function startOrders(
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
  const orderEngine = (order: LoadOrder, scope: AbortSignal) =>
    loadVersion(engine, order, scope);
  const orders = {
    endpoint: settings.name,
    epoch: endpoint.epoch,
    honoursFencing: settings.engine?.honoursFencing ?? false,
    config,
    store,
    orderEngine: applyHook(hooks.wrapOrders, orderEngine),
    listLoaded: () => endpoint.listLoaded(),
    log,
    getNowMs: () => performance.now(),
    getRandom: Math.random,
  };
  void runEngineOrders(orders, signal);
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

/** Starts an endpoint process; it serves until the signal aborts. */
export async function startEndpointRole(
  settings: Settings,
  options: RoleOptions,
): Promise<RunningRole> {
  const { log, signal, hooks = {} } = options;
  const lifetime = new AbortController();
  let endpoint: Endpoint | undefined;
  const followHosts = (hosts: readonly HostEntry[]) => {
    const own = hosts.find((host) => host.name === settings.name);
    if (own !== undefined) endpoint?.setLeaving(own.leaving);
  };
  const hostList = createHttpHostList({
    ...settings.hostList,
    timeoutMs: HOST_LIST_TIMEOUT_MS,
  });
  const hosts = new HostWatcher({
    hostList: applyHook(hooks.wrapHostList, hostList),
    log,
    onHosts: followHosts,
  });
  const config = new ConfigSync({
    name: settings.name,
    dataCentre: settings.dataCentre,
    listPeers: () => hosts.hosts,
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
    isProcessReplaced: (process) => endpoint?.hasSuccessor(process) ?? false,
    forwardReceipt: () => Promise.resolve(false),
  });
  const backend = createBackend(settings);
  const endpointLog: EndpointLog = {
    info: (fields, event) => log.info(event, { ...fields }),
    warn: (fields, event) => log.warn(event, { ...fields }),
    error: (fields, event) => log.error(event, { ...fields }),
  };
  await hosts.start(lifetime.signal);
  endpoint = await startEndpoint({
    settings,
    config: applyHook<ConfigView>(hooks.wrapGateView, config),
    backend: applyHook(hooks.wrapBackend, backend.run),
    receipts: applyHook<ReceiptHolder>(hooks.wrapReceipts, receipts),
    log: endpointLog,
    readReport: createReportReader(backend.engine),
    signal,
    beforeClose: (closing) => receipts.handOver(closing),
  });
  config.run(lifetime.signal).catch((error: unknown) => {
    // The configuration can't be trusted any more: end the process.
    failProcess(error);
  });
  void receipts.start(lifetime.signal);
  sendGauges(settings, { endpoint, config, signal: lifetime.signal });
  startOrders(settings, {
    endpoint,
    config,
    engine: backend.engine,
    store,
    log: endpointLog,
    signal: lifetime.signal,
    hooks,
  });
  return { stopped: endpoint.stopped.finally(() => lifetime.abort()) };
}
