/** Graceful end of an HTTP server. */

import type { Server } from "node:http";
import { waitFor } from "./scope.js";

const POLL_MS = 20;

/**
 * Takes no new connection and waits until every answer has left, at most
 * until the signal aborts. Connections that become idle are closed, as a
 * caller would keep them open.
 */
export async function closeHttpServer(
  server: Server,
  signal: AbortSignal,
): Promise<void> {
  let isClosed = false;
  server.close(() => {
    isClosed = true;
  });
  while (!isClosed && !signal.aborted) {
    server.closeIdleConnections();
    await waitFor(POLL_MS, signal);
  }
}
