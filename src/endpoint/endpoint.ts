/** The endpoint role: serves the gate of one engine or plain service. */

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
import type { RunBackend } from "./endpoint_backend.js";
import { type ReadReport, readReports } from "./endpoint_reports.js";
import { type EndpointLog, EndpointRunner } from "./endpoint_runner.js";
import {
  type AttachCall,
  createGateService,
  type ReceiptHolder,
} from "./endpoint_service.js";
import { StatusWatchers } from "./endpoint_status.js";

export interface EndpointOptions {
  readonly settings: Settings;
  readonly config: ConfigView;
  readonly backend: RunBackend;
  /** Reads the engine's load report; absent for a plain service. */
  readonly readReport?: ReadReport;
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
  /** Versions that the engine's last report named; `undefined` before it. */
  listLoaded(): readonly string[] | undefined;
  describeStatus(): EndpointStatus;
  /** Takes a load report of the engine. */
  applyReport(report: EngineReport): void;
  /** Follows the host list, which may name this host as leaving. */
  setLeaving(leaving: boolean): void;
  /** True while the entry process `{entry}-{incarnation}` is attached. */
  isAttached(process: string): boolean;
  /** True while another start of that entry is attached. */
  hasSuccessor(process: string): boolean;
  /** Settles when the server has closed. */
  readonly stopped: Promise<void>;
}

const DEFAULT_STOP_MS = 30_000;
const DEFAULT_BODY_BYTES = 1_000_000;
/** Part of the stop time kept for the last frames and closing streams. */
const CLOSE_MS = 1_000;

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
    maxBodyBytes: settings.limits?.bodyBytes ?? DEFAULT_BODY_BYTES,
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

/** Waits until no work runs, at most until `limitAtMs`. */
async function waitForWork(gate: Gate, limitAtMs: number): Promise<boolean> {
  while (gate.inFlight > 0 && performance.now() < limitAtMs) {
    await waitFor(TICK_MS);
  }
  return gate.inFlight === 0;
}

function closeServer(server: Server, waitMs: number): Promise<void> {
  return new Promise((resolve) => {
    const force = setTimeout(() => server.forceShutdown(), Math.max(1, waitMs));
    server.tryShutdown(() => {
      clearTimeout(force);
      resolve();
    });
  });
}

async function runBeforeClose(
  options: EndpointOptions,
  waitMs: number,
): Promise<void> {
  if (options.beforeClose === undefined) return;
  const limit = new AbortController();
  const timer = setTimeout(() => limit.abort(), Math.max(1, waitMs));
  const limitReached = new Promise<void>((resolve) => {
    limit.signal.addEventListener("abort", () => resolve(), { once: true });
  });
  try {
    await Promise.race([options.beforeClose(limit.signal), limitReached]);
  } catch (error) {
    options.log.error({ error: `${error}` }, "work before the close failed");
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
  const watchers = new StatusWatchers(() => gate.describeStatus());
  const server = new Server();
  const addWatcher = (call: AttachCall) => watchers.add(call, getNowMs());
  server.addService(
    GateService,
    createGateService({ runner, addWatcher, receipts: options.receipts, log }),
  );
  const port = await bindServer(server, settings);
  const ticker = setInterval(() => {
    runner.tick();
    watchers.update(getNowMs());
  }, TICK_MS);
  config.addListener(() => runner.handle({ type: "tick" }), signal);
  const { epoch } = gate.describeStatus();
  log.info({ endpoint: settings.name, epoch }, "endpoint serves");

  async function stop(): Promise<void> {
    const stopMs = settings.limits?.stopMs ?? DEFAULT_STOP_MS;
    const limitAtMs = getNowMs() + stopMs;
    runner.handle({ type: "leaving", reason: "stopping" });
    watchers.update(getNowMs());
    const closeMs = Math.min(CLOSE_MS, stopMs / 4);
    if (!(await waitForWork(gate, limitAtMs - closeMs))) {
      log.warn({ inFlight: gate.inFlight }, "stop time is over, work is cut");
      runner.abortAll();
    }
    await runBeforeClose(options, limitAtMs - getNowMs() - closeMs / 2);
    watchers.close();
    await closeServer(server, limitAtMs - getNowMs());
    clearInterval(ticker);
    polling.abort();
    log.info({ endpoint: settings.name }, "endpoint stopped");
  }

  let lastReport: EngineReport | undefined;
  function applyReport(report: EngineReport): void {
    lastReport = report;
    runner.handle({ type: "report", report });
    watchers.update(getNowMs());
  }

  const { readReport } = options;
  const polling = new AbortController();
  if (readReport !== undefined) {
    const poll = { readReport, onReport: applyReport, log };
    void readReports(poll, polling.signal);
  }
  const stopped = new Promise<void>((resolve, reject) => {
    const begin = () => stop().then(resolve, reject);
    if (signal.aborted) void begin();
    else signal.addEventListener("abort", () => void begin(), { once: true });
  });
  return {
    port,
    stopped,
    isAttached: (process) => watchers.has(process),
    hasSuccessor: (process) => watchers.hasSuccessor(process),
    epoch,
    describeStatus: () => gate.describeStatus(),
    listLoaded: () => lastReport?.versions,
    applyReport,
    setLeaving: (leaving) => {
      if (signal.aborted) return;
      const reason = leaving ? "draining" : undefined;
      runner.handle({ type: "leaving", reason });
      watchers.update(getNowMs());
    },
  };
}
