/** HTTP servers for callers, readiness checks of load balancers and metrics. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { MAX_MONITOR_CONNECTIONS } from "../../adapters/received/index.js";
import type { FleetView } from "../fleet/index.js";
import { createOwnServer, type OwnServerOptions } from "../own_server.js";
import type { Shutdown } from "../shutdown.js";
import { type ListenOptions, startListening } from "../start_listening.js";
import type { NetworkAddress } from "../types.js";
import { closeIfIdle, refuseUnreadable } from "./caller_errors.js";
import type { RequestHandler } from "./request_handler.js";
import { waitForPendingReads } from "./wait_for_pending_reads.js";

/** Largest request head, bytes; above what any configuration allows. */
const MAX_HEAD_BYTES = 65_536;
/** Time limit for a request's head until a configuration is read, ms. */
const DEFAULT_HEAD_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Interval of the check for connections whose head is overdue, ms. */
const HEAD_CHECK_INTERVAL_MS = 1_000;
/** Interval at which idle connections are closed while stopping, ms. */
const IDLE_CLOSE_INTERVAL_MS = 100;
/** Interval at which the last answers are checked for having been sent, ms. */
const SENT_CHECK_INTERVAL_MS = 5;

const MONITOR_OPTIONS: OwnServerOptions = {
  source: "monitor",
  maxConnections: MAX_MONITOR_CONNECTIONS,
};

/** Creates the server for callers; it does not listen yet. */
export function createCallerServer(
  handler: RequestHandler,
  view: FleetView,
): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      // Node's own refusal would close the connection before later answers.
      requireHostHeader: false,
      noDelay: true,
    },
    (request: IncomingMessage, response: ServerResponse) => {
      const limits = view.catalog?.configuration.limits;
      if (limits) {
        // Applies from the wait that follows this answer.
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
      }
      void handler.handle(request, response);
    },
  );
  const { callerConnections, callerReads } = handler;
  callerReads.attach(server);
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    void refuseUnreadable(callerConnections, callerReads, error, socket);
  });
  server.on("timeout", (socket) => {
    const { limits } = view.catalog?.configuration ?? {};
    const idleMs = limits?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    void closeIfIdle(callerConnections, socket, idleMs);
  });
  return server;
}

/** Answers readiness checks with 200 or 503. */
export function startReadinessServer(
  isReady: () => boolean,
  readinessPath: string,
  address: NetworkAddress,
  options?: ListenOptions,
): Promise<Server> {
  const server = createOwnServer(MONITOR_OPTIONS, (request, response) => {
    const isReadinessPath = request.url === readinessPath;
    const status = isReadinessPath ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, { "Content-Length": 0 });
    response.end();
  });
  return startListening(server, address, options);
}

export function startMetricsServer(
  render: () => Promise<string>,
  address: NetworkAddress,
  options?: ListenOptions,
): Promise<Server> {
  const server = createOwnServer(MONITOR_OPTIONS, (_request, response) => {
    void render().then(
      (text) => {
        response.writeHead(200, { "Content-Type": "text/plain" });
        response.end(text);
      },
      (error: unknown) => {
        response.writeHead(500);
        response.end(String(error));
      },
    );
  });
  return startListening(server, address, options);
}

export interface DrainTimes {
  /** How long requests on open connections are still accepted, ms. */
  readonly acceptMs: number;
  /** When requests still running are ended, ms after the start. */
  readonly endAfterMs: number;
  /** When answers that are still being sent are broken off. */
  readonly breakAfterMs: number;
}

/**
 * Drains the server, so that callers move to other entries: first connections
 * are closed after each answer; then new requests are refused and idle
 * connections closed. Resolves when no request is open. At the end of the time
 * the remaining ones are answered with a failure, or broken off where a part of
 * the answer has been sent.
 */
export async function stopServer(
  server: Server,
  handler: RequestHandler,
  shutdown: Shutdown,
  times: DrainTimes,
): Promise<void> {
  const startedAtMs = performance.now();
  const { acceptMs, endAfterMs, breakAfterMs } = times;
  const getElapsedMs = () => performance.now() - startedAtMs;
  const hasTime = (untilMs: number) =>
    getElapsedMs() < untilMs && handler.openRequestCount > 0;
  shutdown.begin(startedAtMs + endAfterMs);
  handler.closeConnectionsAfterAnswers();
  await delay(acceptMs);
  handler.refuseRequests();
  do {
    // Data may wait unread in a busy process; don't close such a connection.
    await waitForPendingReads();
    // To Node, a connection is idle even if its answer is not yet sent.
    const { hasUnsentAnswers, callerReads } = handler;
    if (!hasUnsentAnswers && !callerReads.isBehind)
      server.closeIdleConnections();
    const remainingMs = endAfterMs - getElapsedMs();
    await delay(Math.min(IDLE_CLOSE_INTERVAL_MS, remainingMs));
    await waitForPendingReads();
  } while (hasTime(endAfterMs));
  shutdown.end();
  while (hasTime(breakAfterMs)) await delay(SENT_CHECK_INTERVAL_MS);
  server.close();
  handler.breakOpenAnswers();
  server.closeAllConnections();
}
