/**
 * Tells whether an endpoint has ended. A connection that ends without an answer
 * looks the same when the endpoint lives on and only the answer was lost.
 */

import { connect } from "node:net";
import type { EndpointRecord } from "../types.js";

/** Time limit of a probe, ms; a host that lives answers within a round trip. */
const PROBE_TIMEOUT_MS = 100;

export class EndpointProbe {
  /** All requests that a crash breaks share one probe. */
  readonly #running = new Map<string, Promise<boolean>>();

  /**
   * True only if the endpoint's host refuses a connection: one that doesn't
   * answer may be cut off, and no request is to blame for that.
   */
  hasEnded(record: EndpointRecord): Promise<boolean> {
    const running = this.#running.get(record.id);
    if (running !== undefined) return running;
    const probe = isRefused(record).finally(() =>
      this.#running.delete(record.id),
    );
    this.#running.set(record.id, probe);
    return probe;
  }
}

function isRefused({ address, port }: EndpointRecord): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect({ host: address, port });
    const settle = (isEnded: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(isEnded);
    };
    const timer = setTimeout(() => settle(false), PROBE_TIMEOUT_MS);
    socket.once("connect", () => settle(false));
    socket.on("error", ({ code }: NodeJS.ErrnoException) =>
      settle(code === "ECONNREFUSED"),
    );
  });
}
