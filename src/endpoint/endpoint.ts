/** Serves the gate of one engine or plain service over gRPC. */

import { randomUUID } from "node:crypto";
import { isIPv6 } from "node:net";
import { performance } from "node:perf_hooks";
import { Server, ServerCredentials } from "@grpc/grpc-js";
import type { ConfigView } from "../configuration/config_view.js";
import { type EngineReport, Gate, TICK_MS } from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import {
  type EndpointStatus,
  GateService,
  type Settings,
} from "../schema/index.js";
import { type EndpointLog, EndpointRunner } from "./endpoint_runner.js";
import {
  type AttachCall,
  createGateService,
  type ReceiptHolder,
} from "./gate_service.js";
import { type ReadLoadReport, readLoadReports } from "./load_reports.js";
import type { RunBackend } from "./run_backend.js";
import { StatusStreams } from "./status_streams.js";

export interface EndpointOptions {
  readonly settings: Settings;
  readonly config: ConfigView;
  readonly backend: RunBackend;
  /** Reads the engine's load report; absent for a plain service. */
  readonly readLoadReport?: ReadLoadReport;
  readonly receipts: ReceiptHolder;
  readonly log: EndpointLog;
  /** Begins the graceful shutdown. */
  readonly signal: AbortSignal;
  /** Called when all work has ended, before the server closes. */
  readonly beforeClose?: (signal: AbortSignal) => Promise<void>;
}

export interface Endpoint {
  readonly port: number;
  readonly epoch: string;
  /** Versions in the engine's last load report; `undefined` before the first. */
  listLoadedVersions(): readonly string[] | undefined;
  describeStatus(): EndpointStatus;
  /** Passes a load report of the engine to the gate. */
  applyLoadReport(report: EngineReport): void;
  /** Refuses new work while the host list marks this host as leaving. */
  setLeaving(leaving: boolean): void;
  /** True while the entry process `{entry}-{incarnation}` is attached. */
  isAttached(process: string): boolean;
  /** True while another incarnation of that entry is attached. */
  isReplaced(process: string): boolean;
  /** Settles when the server has closed. */
  readonly stopped: Promise<void>;
}

const DEFAULT_STOP_TIMEOUT_MS = 30_000;
const DEFAULT_MAX_BODY_BYTES = 1_000_000;
/** Part of the stop timeout kept for the last frames and closing streams. */
const MAX_CLOSE_MS = 1_000;

function createGate(options: EndpointOptions): Gate {
  const { settings, config } = options;
  const { engine, service } = settings;
  const slots = engine?.slots ?? service?.slots ?? 1;
  return new Gate({
    endpoint: settings.name,
    dataCentre: settings.dataCentre,
    kind: engine === undefined ? "service" : "model",
    services: service?.names ?? [],
    slots,
    slotsWhileCold: engine?.slotsWhileCold ?? service?.slotsWhileCold ?? slots,
    maxBodyBytes: settings.limits?.bodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    createEpoch: () => randomUUID(),
    view: config,
  });
}

function bindServer(server: Server, settings: Settings): Promise<number> {
  const { address, controlPort } = settings.listen;
  const host = isIPv6(address) ? `[${address}]` : address;
  return new Promise((resolve, reject) => {
    server.bindAsync(
      `${host}:${controlPort}`,
      ServerCredentials.createInsecure(),
      (error, port) => (error === null ? resolve(port) : reject(error)),
    );
  });
}

/** Waits until no work runs; false when some still runs at the deadline. */
async function waitForRunningWork(
  gate: Gate,
  stopDeadlineMs: number,
): Promise<boolean> {
  while (gate.inFlight > 0 && performance.now() < stopDeadlineMs) {
    await waitFor(TICK_MS);
  }
  return gate.inFlight === 0;
}

function closeServer(server: Server, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const forceTimer = setTimeout(
      () => server.forceShutdown(),
      Math.max(1, timeoutMs),
    );
    server.tryShutdown(() => {
      clearTimeout(forceTimer);
      resolve();
    });
  });
}

async function runBeforeClose(
  options: EndpointOptions,
  timeoutMs: number,
): Promise<void> {
  if (options.beforeClose === undefined) return;
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), Math.max(1, timeoutMs));
  const timedOut = new Promise<void>((resolve) => {
    timeout.signal.addEventListener("abort", () => resolve(), { once: true });
  });
  try {
    await Promise.race([options.beforeClose(timeout.signal), timedOut]);
  } catch (error) {
    options.log.error({ error: `${error}` }, "beforeClose callback failed");
  } finally {
    clearTimeout(timer);
  }
}

/** Serves until the signal aborts and the running work has ended. */
export async function startEndpoint(
  options: EndpointOptions,
): Promise<Endpoint> {
  const { settings, config, log, signal } = options;
  const gate = createGate(options);
  const getNowMs = () => performance.now();
  const runner = new EndpointRunner({ ...options, gate, getNowMs });
  const statusStreams = new StatusStreams(() => gate.describeStatus());
  const server = new Server();
  const addStatusStream = (call: AttachCall) =>
    statusStreams.add(call, getNowMs());
  server.addService(
    GateService,
    createGateService({
      runner,
      addStatusStream,
      receipts: options.receipts,
      log,
    }),
  );
  const port = await bindServer(server, settings);
  const tickTimer = setInterval(() => {
    runner.tick();
    statusStreams.update(getNowMs());
  }, TICK_MS);
  config.addListener(() => runner.handle({ type: "tick" }), signal);
  const { epoch } = gate.describeStatus();
  log.info({ endpoint: settings.name, epoch }, "endpoint started");

  async function stop(): Promise<void> {
    const stopMs = settings.limits?.stopMs ?? DEFAULT_STOP_TIMEOUT_MS;
    const stopDeadlineMs = getNowMs() + stopMs;
    runner.handle({ type: "leaving", reason: "stopping" });
    statusStreams.update(getNowMs());
    const closeMs = Math.min(MAX_CLOSE_MS, stopMs / 4);
    if (!(await waitForRunningWork(gate, stopDeadlineMs - closeMs))) {
      log.warn(
        { inFlight: gate.inFlight },
        "stop timeout reached, aborting running work",
      );
      runner.abortAll();
    }
    await runBeforeClose(options, stopDeadlineMs - getNowMs() - closeMs / 2);
    statusStreams.close();
    await closeServer(server, stopDeadlineMs - getNowMs());
    clearInterval(tickTimer);
    reportPolling.abort();
    log.info({ endpoint: settings.name }, "endpoint stopped");
  }

  let lastLoadReport: EngineReport | undefined;
  function applyLoadReport(report: EngineReport): void {
    lastLoadReport = report;
    runner.handle({ type: "report", report });
    statusStreams.update(getNowMs());
  }

  const { readLoadReport } = options;
  const reportPolling = new AbortController();
  if (readLoadReport !== undefined) {
    const readOptions = { readLoadReport, onReport: applyLoadReport, log };
    void readLoadReports(readOptions, reportPolling.signal);
  }
  const stopped = new Promise<void>((resolve, reject) => {
    const beginStop = () => stop().then(resolve, reject);
    if (signal.aborted) void beginStop();
    else
      signal.addEventListener("abort", () => void beginStop(), { once: true });
  });
  return {
    port,
    stopped,
    isAttached: (process) => statusStreams.has(process),
    isReplaced: (process) => statusStreams.isReplaced(process),
    epoch,
    describeStatus: () => gate.describeStatus(),
    listLoadedVersions: () => lastLoadReport?.versions,
    applyLoadReport,
    setLeaving: (leaving) => {
      if (signal.aborted) return;
      const reason = leaving ? "draining" : undefined;
      runner.handle({ type: "leaving", reason });
      statusStreams.update(getNowMs());
    },
  };
}
