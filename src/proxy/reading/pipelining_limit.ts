/**
 * Bounds the requests that callers send before the answers to those before
 * them. Each connection may have one request open at any time, and some more
 * while all connections together have few.
 */

import type { Duplex } from "node:stream";
import {
  MAX_PIPELINED_REQUESTS,
  MAX_RUNNING_PER_CONNECTION,
} from "../../adapters/received/index.js";

/** A request that was read and whose answer is not yet sent. */
export interface OpenRequest {
  /** Its answer is sent, or can't be. */
  end(): void;
}

export class PipeliningLimit {
  readonly #onMayBegin: (socket: Duplex) => void;
  /** Open requests by connection. */
  readonly #openRequests = new WeakMap<Duplex, number>();
  /** Open requests of all connections besides the first one of each. */
  #pipelinedRequests = 0;
  /** Connections whose next request waits for others to end. */
  readonly #waiting = new Set<Duplex>();

  /** `onMayBegin` is told when a connection's next request may begin. */
  constructor(onMayBegin: (socket: Duplex) => void) {
    this.#onMayBegin = onMayBegin;
  }

  /** False while the connection's next request has to wait. */
  mayBegin(socket: Duplex): boolean {
    const openRequests = this.#openRequests.get(socket) ?? 0;
    if (openRequests === 0) return true;
    if (openRequests >= MAX_RUNNING_PER_CONNECTION) return false;
    if (this.#pipelinedRequests < MAX_PIPELINED_REQUESTS) return true;
    this.#waiting.add(socket);
    return false;
  }

  add(socket: Duplex): OpenRequest {
    const openRequests = this.#openRequests.get(socket) ?? 0;
    this.#openRequests.set(socket, openRequests + 1);
    if (openRequests > 0) this.#pipelinedRequests++;
    return { end: () => this.#end(socket) };
  }

  #end(socket: Duplex): void {
    const openRequests = (this.#openRequests.get(socket) ?? 0) - 1;
    this.#openRequests.set(socket, openRequests);
    if (openRequests > 0) this.#pipelinedRequests--;
    this.#waiting.delete(socket);
    this.#onMayBegin(socket);
    const [next] = this.#waiting;
    if (next === undefined) return;
    if (this.#pipelinedRequests >= MAX_PIPELINED_REQUESTS) return;
    this.#waiting.delete(next);
    this.#onMayBegin(next);
  }
}
