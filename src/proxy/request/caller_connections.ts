/**
 * Decides which requests on a caller's connection get an answer, and which
 * answer closes it. Callers may send requests behind one another; the answers
 * go out in their order, and Node closes the connection after the first one
 * that says so. What has run behind that one would get no answer.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

interface ConnectionState {
  /** The response to the newest request, which is sent last. */
  readonly newestResponse: ServerResponse;
  /** Called when the caller ends or leaves the connection. */
  readonly leaveListeners: Set<() => void>;
}

export class CallerConnections {
  readonly #states = new WeakMap<Duplex, ConnectionState>();
  /** Connections that end with the answer to their newest request. */
  readonly #closingSockets = new WeakSet<Duplex>();

  /** True where an answer closes the connection: what follows must not run. */
  isClosing(socket: Duplex): boolean {
    return this.#closingSockets.has(socket);
  }

  addRequest(
    { socket, httpVersion }: IncomingMessage,
    response: ServerResponse,
  ): void {
    // Without chunks, the end of a stream is that of its connection.
    if (httpVersion !== "1.1") response.shouldKeepAlive = false;
    if (!response.shouldKeepAlive) this.#closingSockets.add(socket);
    const listeners = this.#states.get(socket)?.leaveListeners;
    this.#states.set(socket, {
      newestResponse: response,
      leaveListeners: listeners ?? createLeaveListeners(socket),
    });
  }

  /**
   * Calls back when the caller leaves. A response that waits for those before
   * it does not hear of that itself. Returns a function that ends this.
   */
  onLeave({ socket }: IncomingMessage, listener: () => void): () => void {
    const listeners = this.#states.get(socket)?.leaveListeners;
    listeners?.add(listener);
    return () => listeners?.delete(listener);
  }

  /** Closes the connection after this answer, unless others are to follow. */
  closeAfter({ socket }: IncomingMessage, response: ServerResponse): void {
    const state = this.#states.get(socket);
    if (state?.newestResponse !== response || response.headersSent) return;
    response.shouldKeepAlive = false;
    this.#closingSockets.add(socket);
  }

  /**
   * Ends a connection whose further bytes can't be read, with the last of the
   * answers that are due. A request that is not complete gets the error.
   */
  closeAfterAnswers(socket: Duplex, error: Error): void {
    const isClosing = this.#closingSockets.has(socket);
    this.#closingSockets.add(socket);
    const response = this.#states.get(socket)?.newestResponse;
    if (response === undefined) return;
    if (!isClosing) {
      if (response.headersSent) response.once("finish", () => socket.end());
      else response.shouldKeepAlive = false;
    }
    const { req } = response;
    // A request that was refused before its body has nobody reading it.
    const isReading = req.listenerCount("error") > 0;
    if (!req.complete && isReading) req.emit("error", error);
  }

  /**
   * Waits until the last byte of an answer is sent, so that a slow reader gets
   * all of it even when the entry stops meanwhile.
   */
  async waitUntilSent(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { socket } = request;
    const isSent = response.closed || !response.writableEnded;
    if (isSent || socket.destroyed) return;
    await new Promise<void>((resolve) => {
      const settle = () => {
        response.off("close", settle);
        endLeave();
        resolve();
      };
      response.once("close", settle);
      const endLeave = this.onLeave(request, () => {
        if (socket.destroyed) settle();
      });
    });
  }

  /** Undefined until the first request is read. */
  getNewestResponse(socket: Duplex): ServerResponse | undefined {
    return this.#states.get(socket)?.newestResponse;
  }

  /** True while an answer is not yet sent. */
  isAnswering(socket: Duplex): boolean {
    const state = this.#states.get(socket);
    return state !== undefined && !state.newestResponse.writableFinished;
  }

  /** True while a request arrives, also one that has its answer already. */
  isReceiving(socket: Duplex): boolean {
    return this.#states.get(socket)?.newestResponse.req.complete === false;
  }
}

function createLeaveListeners(socket: Duplex): Set<() => void> {
  const listeners = new Set<() => void>();
  const report = () => {
    for (const listener of listeners) listener();
  };
  // "end" comes some turns of the event loop before "close".
  socket.once("end", report);
  socket.once("close", report);
  return listeners;
}
