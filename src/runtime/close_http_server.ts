/** Graceful end of an HTTP server. */

import type { Server } from "node:http";
import { waitFor } from "./scope.js";

const POLL_MS = 20;
/**
 * Connections that wait to be accepted are reset when the listener closes.
 * Under load, or after a pause of the host, there are many.
 */
const ACCEPT_MS = 300;

/**
 * Accepts the connections that wait, then takes no new one and waits until every answer has left, at most
 * until the signal aborts. Connections that become idle are closed, as a
 * caller would keep them open.
 */
export async function closeHttpServer(
  server: Server,
  signal: AbortSignal,
): Promise<void> {
  await waitFor(ACCEPT_MS, signal);
  let isClosed = false;
  server.close(() => {
    isClosed = true;
  });
  while (!isClosed && !signal.aborted) {
    server.closeIdleConnections();
    await waitFor(POLL_MS, signal);
  }
}
