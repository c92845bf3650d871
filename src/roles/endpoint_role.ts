/** The endpoint role: joins the gate to its engine or plain service. */

import { randomUUID } from "node:crypto";
import {
  createHttpEngine,
  createHttpHostList,
  createHttpObjectStore,
  createHttpService,
  type Engine,
  type EngineFailure,
  type HostEntry,
  type Service,
  type ServiceFailure,
} from "../adapters/index.js";
import type { Settings } from "../schema/index.js";
import { createSystemClock } from "./clock.js";
import { ConfigSync } from "./config_sync.js";
import { type Endpoint, startEndpoint } from "./endpoint.js";
import type { BackendFailure, RunBackend } from "./endpoint_backend.js";
import { HeldReceipts } from "./endpoint_receipts.js";
import type { RoleOptions, RunningRole } from "./entry.js";
import { HostWatcher } from "./host_watcher.js";
import { waitFor } from "./scope.js";

const STORE_TIMEOUT_MS = 2_000;
const HOST_LIST_TIMEOUT_MS = 2_000;
/** Longer than the longest deadline; the gate aborts at the deadline. */
const BACKEND_TIMEOUT_MS = 900_000;
const LOAD_INTERVAL_MS = 500;

function toBackendFailure(
  failure: EngineFailure | ServiceFailure,
): BackendFailure {
  const { ran, detail } = failure;
  if (failure.kind === "overloaded") return { kind: "overloaded", ran, detail };
  if (failure.kind === "aborted") return { kind: "aborted", ran, detail };
  if (failure.kind === "bad-request") return { kind: "refused", ran, detail };
  return { kind: "broken", ran, detail };
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
      .map(({ promptTokens, outputTokens }) => ({
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
      .map(({ status, contentType, body }) => ({
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

/** Passes the engine's lagging load reports to the gate. */
async function followEngine(
  engine: Engine,
  endpoint: Endpoint,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    const load = await engine.readLoad(signal);
    if (load.isOk()) endpoint.applyReport(load.value);
    await waitFor(LOAD_INTERVAL_MS, signal);
  }
}

function createStore(settings: Settings) {
  return (
    settings.objectStore &&
    createHttpObjectStore({
      ...settings.objectStore,
      timeoutMs: STORE_TIMEOUT_MS,
    })
  );
}

/** Starts an endpoint process; it serves until the signal aborts. */
export async function startEndpointRole(
  settings: Settings,
  options: RoleOptions,
): Promise<RunningRole> {
  const { log, signal } = options;
  const lifetime = new AbortController();
  let endpoint: Endpoint | undefined;
  const followHosts = (hosts: readonly HostEntry[]) => {
    const own = hosts.find((host) => host.name === settings.name);
    if (own !== undefined) endpoint?.setLeaving(own.leaving);
  };
  const hosts = new HostWatcher({
    hostList: createHttpHostList({
      ...settings.hostList,
      timeoutMs: HOST_LIST_TIMEOUT_MS,
    }),
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
  const receipts = new HeldReceipts({
    store: createStore(settings),
    clock: createSystemClock(),
    createId: randomUUID,
    endpoint: settings.name,
    isProcessLive: (process) => endpoint?.isAttached(process) ?? false,
    forwardReceipt: () => Promise.resolve(false),
  });
  const backend = createBackend(settings);
  await hosts.start(lifetime.signal);
  endpoint = await startEndpoint({
    settings,
    config,
    backend: backend.run,
    receipts,
    log: {
      info: (fields, event) => log.info(event, { ...fields }),
      warn: (fields, event) => log.warn(event, { ...fields }),
      error: (fields, event) => log.error(event, { ...fields }),
    },
    signal,
    beforeClose: (closing) => receipts.handOver(closing),
  });
  config.start(lifetime.signal).catch((error: unknown) => {
    // The configuration can't be trusted any more: end the process.
    setImmediate(() => {
      throw error;
    });
  });
  void receipts.start(lifetime.signal);
  if (backend.engine !== undefined) {
    void followEngine(backend.engine, endpoint, lifetime.signal);
  }
  return { stopped: endpoint.stopped.finally(() => lifetime.abort()) };
}
