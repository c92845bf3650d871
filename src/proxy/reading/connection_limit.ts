/**
 * Bounds the open connections of callers, each of which takes a descriptor and
 * memory. At the bound, the connection whose close costs its caller least gives
 * way to a new one.
 */

import type { ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

const BYTES_PER_MB = 1_048_576;
/** Memory of a connection on which nothing has come, bytes. */
const CONNECTION_BYTES = 24_576;
/** Share of the host's memory for them. */
const MEMORY_SHARE = 1 / 6;
/** Descriptors for files and the like, which connections can't have. */
const RESERVED_DESCRIPTORS = 200;
/** Share of the others; the rest is for endpoints, the store and entries. */
const DESCRIPTOR_SHARE = 0.6;

/** Most connections of callers on a host with these resources. */
export function computeMaxConnections(
  memoryMb: number,
  maxDescriptors: number,
): number {
  const byMemory = (MEMORY_SHARE * memoryMb * BYTES_PER_MB) / CONNECTION_BYTES;
  const byDescriptors =
    DESCRIPTOR_SHARE * (maxDescriptors - RESERVED_DESCRIPTORS);
  return Math.max(1, Math.floor(Math.min(byMemory, byDescriptors)));
}

/** What a connection is used for; those named first are closed first. */
export const CONNECTION_USE = {
  /** No request has come yet. */
  none: 0,
  /** All requests are answered. */
  idle: 1,
  /** A request has begun to arrive. */
  arriving: 2,
  /** The caller does not read its last answer, which is whole. */
  unread: 3,
  /** A request runs, which closing would lose. */
  running: 4,
} as const;
export type ConnectionUse =
  (typeof CONNECTION_USE)[keyof typeof CONNECTION_USE];

/** What a connection is used for, by the response to its newest request. */
export function getConnectionUse(
  response: ServerResponse | undefined,
): ConnectionUse {
  if (response === undefined) return CONNECTION_USE.none;
  if (response.writableFinished) return CONNECTION_USE.idle;
  if (response.writableEnded) return CONNECTION_USE.unread;
  return response.req.complete
    ? CONNECTION_USE.running
    : CONNECTION_USE.arriving;
}

export interface ConnectionLimitOptions {
  readonly maxConnections: number;
  readonly getUse: (socket: Duplex) => ConnectionUse;
  /** Closes a connection for which there is no room. */
  readonly close: (socket: Duplex, use: ConnectionUse) => void;
}

export class ConnectionLimit {
  readonly #options: ConnectionLimitOptions;
  /** Those whose last use began longest ago come first. */
  readonly #connections = new Set<Duplex>();

  constructor(options: ConnectionLimitOptions) {
    this.#options = options;
  }

  get size(): number {
    return this.#connections.size;
  }

  /** Adds a new connection; it is closed itself if all others are needed. */
  add(socket: Duplex): void {
    const { maxConnections, getUse, close } = this.#options;
    if (this.#connections.size >= maxConnections) {
      const victim = this.#findLeastUsed() ?? socket;
      this.#connections.delete(victim);
      close(victim, getUse(victim));
      if (victim === socket) return;
    }
    this.#connections.add(socket);
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** A request has begun on the connection, or its answer has been sent. */
  recordUse(socket: Duplex): void {
    if (this.#connections.delete(socket)) this.#connections.add(socket);
  }

  #findLeastUsed(): Duplex | undefined {
    let leastUsed: Duplex | undefined;
    let leastUse: ConnectionUse = CONNECTION_USE.running;
    for (const socket of this.#connections) {
      const use = this.#options.getUse(socket);
      if (use === CONNECTION_USE.none) return socket;
      if (use >= leastUse) continue;
      leastUse = use;
      leastUsed = socket;
    }
    return leastUsed;
  }
}
