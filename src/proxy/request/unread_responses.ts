/** Closes connections of callers who don't read their responses. */

import type { Socket } from "node:net";

/**
 * Time without progress after which a caller does not read, ms. It is above the
 * longest deadline in use, 25 s, after which a response is worth nothing.
 */
const MAX_UNREAD_MS = 30_000;
const CHECK_INTERVAL_MS = 2_000;

/** Bytes of a write that the system has not taken; changes within one write. */
interface WriteHandle {
  readonly writeQueueSize: number;
}

interface Progress {
  readonly writtenBytes: number;
  readonly queuedBytes: number;
  readonly atMs: number;
}

export interface UnreadResponsesOptions {
  /** A monotonic clock, ms. */
  readonly now: () => number;
  /** Called before the connection is closed. */
  readonly onClose: (socket: Socket, unreadMs: number) => void;
}

export class UnreadResponses {
  readonly #options: UnreadResponsesOptions;
  readonly #openResponses = new Map<Socket, number>();
  readonly #progress = new WeakMap<Socket, Progress>();
  #timer: NodeJS.Timeout | undefined;

  constructor(options: UnreadResponsesOptions) {
    this.#options = options;
  }

  /** Watches the connection until its response is sent or can't be. */
  add(socket: Socket): void {
    const count = this.#openResponses.get(socket) ?? 0;
    this.#openResponses.set(socket, count + 1);
    this.#timer ??= setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  remove(socket: Socket): void {
    const count = this.#openResponses.get(socket) ?? 0;
    if (count > 1) this.#openResponses.set(socket, count - 1);
    else this.#openResponses.delete(socket);
    if (this.#openResponses.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  check(): void {
    const nowMs = this.#options.now();
    for (const socket of this.#openResponses.keys()) {
      // Without bytes that wait, the caller has read all, or the system has
      // room for more.
      if (socket.writableLength === 0) {
        this.#progress.delete(socket);
        continue;
      }
      const writtenBytes = socket.bytesWritten - socket.writableLength;
      const queuedBytes = getQueuedBytes(socket);
      const progress = this.#progress.get(socket);
      const hasMoved =
        progress?.writtenBytes !== writtenBytes ||
        progress.queuedBytes !== queuedBytes;
      if (hasMoved) {
        const atMs = nowMs;
        this.#progress.set(socket, { writtenBytes, queuedBytes, atMs });
      } else if (nowMs - progress.atMs >= MAX_UNREAD_MS) {
        this.#options.onClose(socket, nowMs - progress.atMs);
        // A reset tells that the response is not whole.
        socket.resetAndDestroy();
      }
    }
  }
}

function getQueuedBytes(socket: Socket): number {
  const { _handle } = socket as Socket & { _handle?: WriteHandle | null };
  return _handle?.writeQueueSize ?? 0;
}
