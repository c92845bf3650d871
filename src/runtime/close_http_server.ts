/** Graceful shutdown of an HTTP server. */

import type { Server } from "node:http";
import { waitFor } from "./run_with_timeout.js";

const POLL_INTERVAL_MS = 20;
/**
 * Time to accept pending connections, which are reset when the listener
 * closes. Under load, or after a pause of the host, there are many.
 */
const ACCEPT_PENDING_MS = 300;

/**
 * Accepts pending connections, then stops listening and waits until all
 * responses are sent or the signal aborts. Closes connections that become idle,
 * since clients would keep them open.
 */
export async function closeHttpServer(
  server: Server,
  signal: AbortSignal,
): Promise<void> {
  await waitFor(ACCEPT_PENDING_MS, signal);
  let isClosed = false;
  server.close(() => {
    isClosed = true;
  });
  while (!isClosed && !signal.aborted) {
    server.closeIdleConnections();
    await waitFor(POLL_INTERVAL_MS, signal);
  }
}
