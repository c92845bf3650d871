/** Serves callers, the balancer's readiness questions, and metrics. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type { FleetView } from "../fleet/index.js";
import { startListening } from "../listening.js";
import type { NetworkAddress } from "../types.js";
import { waitForReads } from "./pending_reads.js";
import type { RequestPath } from "./request_path.js";

/** Bytes of a request's head; above what any configuration allows. */
const MAX_HEAD_BYTES = 65_536;
/** Time for a request's head that applies until a configuration is read, ms. */
const DEFAULT_HEAD_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** How often connections whose head is overdue are looked for, ms. */
const CHECK_HEADS_EVERY_MS = 1_000;
/** How often idle connections are closed while the server stops, ms. */
const CLOSE_IDLE_EVERY_MS = 100;

/** Serves callers once it listens. */
export function createCallerServer(path: RequestPath, view: FleetView): Server {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_HEADS_EVERY_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request: IncomingMessage, response: ServerResponse) => {
      const limits = view.catalog?.configuration.limits;
      if (limits) {
        // Applies to the wait after this answer.
        server.keepAliveTimeout = limits.idleTimeoutMs;
        server.headersTimeout = limits.headerTimeoutMs;
      }
      void path.handle(request, response);
    },
  );
  return server;
}

/** Answers 200 or 503 to each readiness question. */
export function startReadinessServer(
  isReady: () => boolean,
  readyPath: string,
  place: NetworkAddress,
): Promise<Server> {
  const server = createServer((request, response) => {
    const isAsked = request.url === readyPath;
    const status = isAsked ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, { "Content-Length": 0 });
    response.end();
  });
  return startListening(server, place);
}

export function startMetricsServer(
  render: () => Promise<string>,
  place: NetworkAddress,
): Promise<Server> {
  const server = createServer((_request, response) => {
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
  return startListening(server, place);
}

export interface DrainTimes {
  /** How long requests on open connections are still taken, ms. */
  readonly takeMs: number;
  /** When what still runs is broken off, ms after the start. */
  readonly breakMs: number;
}

/**
 * Lets callers leave for other entries: first each answer closes its
 * connection, then idle connections are closed and new requests are refused.
 * Settles when no request is open, or at the time to break off.
 */
export async function stopServer(
  server: Server,
  path: RequestPath,
  times: DrainTimes,
): Promise<void> {
  const startedAtMs = performance.now();
  const getAgeMs = () => performance.now() - startedAtMs;
  path.stop();
  await delay(times.takeMs);
  path.close();
  do {
    // A busy process closes no connection on which a request waits unread.
    await waitForReads();
    // Node counts a connection as idle whose answer has not left yet.
    if (!path.hasUnsent) server.closeIdleConnections();
    await delay(CLOSE_IDLE_EVERY_MS);
    await waitForReads();
  } while (getAgeMs() < times.breakMs && path.openCount > 0);
  server.close();
  server.closeAllConnections();
}
