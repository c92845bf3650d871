/** Serves callers, the balancer's readiness questions, and metrics. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { FleetView } from "./fleet_view.js";
import type { RequestPath } from "./request_path.js";

/** Bytes of a request's head; above what any configuration allows. */
const MAX_HEAD_BYTES = 65_536;
/** Time for a request's head that applies until a configuration is read, ms. */
const DEFAULT_HEAD_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** How often idle connections are closed while the server stops, ms. */
const CLOSE_IDLE_EVERY_MS = 100;

export interface Listener {
  readonly server: Server;
  close(): void;
}

function listen(
  server: Server,
  place: { address: string; port: number },
): Promise<Server> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(place.port, place.address, () => resolve(server));
  });
}

/** Serves callers; settles once it listens. */
export function startCallerServer(
  path: RequestPath,
  view: FleetView,
  place: { address: string; port: number },
): Promise<Server> {
  const server = createServer(
    {
      maxHeaderSize: MAX_HEAD_BYTES,
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request: IncomingMessage, response: ServerResponse) => {
      const limits = view.catalog?.configuration.limits;
      // Applies to the wait after this answer.
      if (limits) server.keepAliveTimeout = limits.idleTimeoutMs;
      void path.handle(request, response);
    },
  );
  return listen(server, place);
}

/** Answers 200 or 503 to each readiness question. */
export function startReadinessServer(
  isReady: () => boolean,
  readyPath: string,
  place: { address: string; port: number },
): Promise<Server> {
  const server = createServer((request, response) => {
    const isAsked = request.url === readyPath;
    const status = isAsked ? (isReady() ? 200 : 503) : 404;
    response.writeHead(status, { "Content-Length": 0 });
    response.end();
  });
  return listen(server, place);
}

export function startMetricsServer(
  render: () => Promise<string>,
  place: { address: string; port: number },
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
  return listen(server, place);
}

/** Closes idle connections until no request is open; settles then. */
export async function drainServer(
  server: Server,
  path: RequestPath,
  timeoutMs: number,
): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (path.openCount > 0 && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, CLOSE_IDLE_EVERY_MS));
  }
  server.close();
  server.closeIdleConnections();
}
