import type { Server } from "node:net";
import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { RepeatLog } from "../adapters/repeat_log.js";
import type { NetworkAddress } from "./types.js";

/**
 * For how long a port that is taken is tried again, ms: the process that ran
 * before on this host may need its whole grace period to end.
 */
const PORT_WAIT_MS = 5_000;
const PORT_CHECK_INTERVAL_MS = 50;
/** Failures that may be over a moment later. */
const PASSING_FAILURES: ReadonlySet<string | undefined> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);
/** Interval of the lines about failures of a server that listens, ms. */
const SERVER_LOG_INTERVAL_MS = 1_000;

export interface ListenOptions {
  readonly log: Logger;
  /** Ends the attempts. */
  readonly signal?: AbortSignal;
}

/**
 * Resolves once the server listens; rejects when it can't. With options, a port
 * that is taken is tried again for a time, and later errors are logged.
 */
export async function startListening<S extends Server>(
  server: S,
  listenAddress: NetworkAddress,
  options?: ListenOptions,
): Promise<S> {
  if (options === undefined) return await openPort(server, listenAddress);
  const { log, signal = new AbortController().signal } = options;
  const startedAtMs = performance.now();
  const getWaitedMs = () => Math.round(performance.now() - startedAtMs);
  let isLate = false;
  for (;;) {
    try {
      await openPort(server, listenAddress);
      if (isLate)
        log.info("port-free", { ...listenAddress, ms: getWaitedMs() });
      reportServerErrors(server, log);
      return server;
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      const isOver = signal.aborted || getWaitedMs() >= PORT_WAIT_MS;
      if (isOver || !PASSING_FAILURES.has(code)) throw error;
      if (!isLate) log.warn("port-taken", { ...listenAddress, code });
      isLate = true;
      await pauseFor(PORT_CHECK_INTERVAL_MS, signal);
    }
  }
}

function openPort<S extends Server>(
  server: S,
  { address, port }: NetworkAddress,
): Promise<S> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      server.off("error", reject);
      resolve(server);
    });
  });
}

/**
 * Logs errors of a server that listens, such as a connection that can't be
 * accepted without a free descriptor. Without a listener they end the process.
 */
export function reportServerErrors(server: Server, log: Logger): void {
  const repeatLog = new RepeatLog({
    log,
    now: () => performance.now(),
    intervalMs: SERVER_LOG_INTERVAL_MS,
  });
  server.on("error", (error) => {
    repeatLog.warn("error", "server-failed", { error: String(error) });
  });
}
