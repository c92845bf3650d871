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
  newestResponse: ServerResponse;
  /** The newest response closes the connection. */
  isClosing: boolean;
}

export class CallerConnections {
  readonly #states = new WeakMap<Duplex, ConnectionState>();

  /** False where an earlier answer closes the connection: it must not run. */
  addRequest(
    { socket, httpVersion }: IncomingMessage,
    response: ServerResponse,
  ): boolean {
    const state = this.#states.get(socket);
    if (state?.isClosing) return false;
    // Without chunks, the end of a stream is that of its connection.
    if (httpVersion !== "1.1") response.shouldKeepAlive = false;
    this.#states.set(socket, {
      newestResponse: response,
      isClosing: !response.shouldKeepAlive,
    });
    return true;
  }

  /** Closes the connection after this answer, unless others are to follow. */
  closeAfter({ socket }: IncomingMessage, response: ServerResponse): void {
    const state = this.#states.get(socket);
    if (state?.newestResponse !== response || response.headersSent) return;
    response.shouldKeepAlive = false;
    state.isClosing = true;
  }

  /** True while an answer is not yet sent. */
  isAnswering(socket: Duplex): boolean {
    const state = this.#states.get(socket);
    return state !== undefined && !state.newestResponse.writableFinished;
  }
}
