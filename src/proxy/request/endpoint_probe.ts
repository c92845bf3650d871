/**
 * Tells whether an endpoint has ended. A connection that ends without an answer
 * looks the same when the endpoint lives on and only the answer was lost.
 */

import { connect } from "node:net";
import type { EndpointRecord } from "../types.js";

/** Time limit of a probe, ms; a host that lives answers within a round trip. */
const PROBE_TIMEOUT_MS = 100;
/** Time in which what accepts for an endpoint that has ended closes again, ms. */
const CLOSE_TIMEOUT_MS = 30;

export class EndpointProbe {
  /** All requests that a crash breaks share one probe. */
  readonly #running = new Map<string, Promise<boolean>>();

  /**
   * True only if a connection is refused, or closed as soon as it is open: a
   * host that doesn't answer may be cut off, and no request is to blame for that.
   */
  hasEnded(record: EndpointRecord): Promise<boolean> {
    const running = this.#running.get(record.id);
    if (running !== undefined) return running;
    const probe = isConnectionRefused(record).finally(() =>
      this.#running.delete(record.id),
    );
    this.#running.set(record.id, probe);
    return probe;
  }
}

function isConnectionRefused(endpoint: EndpointRecord): Promise<boolean> {
  return new Promise((resolve) => {
    const { address, port } = endpoint;
    const socket = connect({ host: address, port });
    const settle = (isEnded: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isEnded);
    };
    let timer = setTimeout(() => settle(false), PROBE_TIMEOUT_MS);
    socket.once("connect", () => {
      clearTimeout(timer);
      timer = setTimeout(() => settle(false), CLOSE_TIMEOUT_MS);
      socket.resume();
    });
    socket.once("end", () => settle(true));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      settle(code === "ECONNREFUSED" || code === "ECONNRESET"),
    );
  });
}
