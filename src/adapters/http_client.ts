/**
 * HTTP client for external systems, with a connection for each call. A failure
 * says whether the call may have taken effect on the server.
 */

import { setMaxListeners } from "node:events";
import {
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as openRequest,
} from "node:http";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import { isWholeMessage, startEndCheck } from "./answer_end.js";

export interface HttpTarget {
  /** IP address. */
  readonly address: string;
  readonly port: number;
  /** Limit on the time of a call, including the reply. */
  readonly timeoutMs: number;
}

export interface HttpCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Uint8Array;
  /** Overrides the target's timeout. */
  readonly timeoutMs?: number;
  /** Limit on the time without a byte from the server. */
  readonly idleTimeoutMs?: number;
}

export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Failure of a call that got no complete reply. */
export interface TransportFailure {
  readonly kind:
    | "refused"
    /** Node can't send the path or a header. */
    | "invalid"
    | "timeout"
    | "aborted"
    | "broken"
    | "too-large";
  /** "no" when the connection was never made, so nothing was sent. */
  readonly ran: "no" | "unknown";
  readonly detail: string;
}

/** Larger than any reply of the external systems; bounds memory per call. */
const MAX_REPLY_BYTES = 16_000_000;

/**
 * Calls one external system. Its replies don't name their call: on a kept
 * connection, a second copy of a reply would be taken for the reply to the next
 * call, which may then count as not run although it ran.
 */
export class HttpClient {
  readonly #target: HttpTarget;

  constructor(target: HttpTarget) {
    this.#target = target;
  }

  /** Sends a call and reads the whole reply. */
  send(
    call: HttpCall,
    signal: AbortSignal,
  ): ResultAsync<HttpReply, TransportFailure> {
    return this.stream(call, readReply, signal);
  }

  /**
   * Sends a call and passes the reply to `read` while it arrives. When the
   * connection fails, `read`'s iteration over the message throws.
   */
  stream<T>(
    call: HttpCall,
    read: (message: IncomingMessage) => Promise<T>,
    signal: AbortSignal,
  ): ResultAsync<T, TransportFailure> {
    return new ResultAsync(this.#execute(call, read, signal));
  }

  async #execute<T>(
    call: HttpCall,
    read: (message: IncomingMessage) => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, TransportFailure>> {
    let failureKind: TransportFailure["kind"] | undefined;
    let isConnected = false;
    if (signal.aborted) return err(createFailure(call, "aborted", "no"));
    let request: ClientRequest;
    try {
      request = this.#open(call, () => {
        isConnected = true;
      });
    } catch (error) {
      return err(createFailure(call, "invalid", "no", error));
    }
    const stop = (reason: "timeout" | "aborted") => {
      failureKind ??= reason;
      request.destroy();
    };
    const onAbort = () => stop("aborted");
    // Many calls share a process's signal; Node warns above 10 listeners.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", onAbort, { once: true });
    const timeoutMs = call.timeoutMs ?? this.#target.timeoutMs;
    const timer = setTimeout(stop, timeoutMs, "timeout");
    if (call.idleTimeoutMs !== undefined) {
      request.setTimeout(call.idleTimeoutMs, () => stop("timeout"));
    }
    try {
      return ok(await readResponse(request, read));
    } catch (error) {
      if (!isTransportError(error)) throw error;
      if (error.code === REPLY_TOO_LARGE_CODE) failureKind ??= "too-large";
      failureKind ??= isConnected ? "broken" : "refused";
      const ran = isConnected ? "unknown" : "no";
      return err(createFailure(call, failureKind, ran, error));
    } finally {
      clearTimeout(timer);
      signal.removeEventListener("abort", onAbort);
    }
  }

  #open(call: HttpCall, onConnect: () => void): ClientRequest {
    const { address, port } = this.#target;
    const { method, path, body } = call;
    const headers: Record<string, string> = { ...call.headers };
    if (body !== undefined) {
      headers["content-length"] = String(Buffer.byteLength(body));
    }
    const agent = false;
    return openRequest({ host: address, port, agent, method, path, headers })
      .once("socket", (socket) => {
        if (socket.connecting) socket.once("connect", onConnect);
        else onConnect();
      })
      .on("error", () => {
        // `readResponse` handles the error; without a listener a later one
        // would end the process.
      })
      .end(body);
  }
}

const REPLY_TOO_LARGE_CODE = "REPLY_TOO_LARGE";

/** Node's errors have a code; any other error is a bug in the reader. */
function isTransportError(error: unknown): error is NodeJS.ErrnoException {
  return error instanceof Error && "code" in error;
}

function createCodedError(code: string, message: string): Error {
  return Object.assign(new Error(message), { code });
}

function waitForReply(request: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once("error", reject);
    request.once("response", (message) => {
      startEndCheck(request, message);
      resolve(message);
    });
    // Without this, a request closed without either event would never settle.
    request.once("close", () =>
      reject(createCodedError("ECONNRESET", "Connection closed")),
    );
  });
}

async function readResponse<T>(
  request: ClientRequest,
  read: (message: IncomingMessage) => Promise<T>,
): Promise<T> {
  const message = await waitForReply(request);
  try {
    return await read(message);
  } finally {
    // Bytes left unread would keep the connection open.
    if (message.complete) message.resume();
    else if (!message.readableFlowing) message.destroy();
  }
}

/** Time for the few bytes between a stream's `[DONE]` and the reply's end. */
const DRAIN_TIMEOUT_MS = 1_000;

/** Discards the rest of a reply; to the server a close would be a cancel. */
export function ignoreReply(message: IncomingMessage): void {
  message.resume();
  const timer = setTimeout(() => {
    if (!message.complete) message.destroy();
  }, DRAIN_TIMEOUT_MS);
  timer.unref();
  message.once("close", () => clearTimeout(timer));
}

/** Reads a whole reply; throws when it is cut off or too large. */
export async function readReply(message: IncomingMessage): Promise<HttpReply> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of message) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_REPLY_BYTES) {
      const message = `Reply exceeds ${MAX_REPLY_BYTES} bytes`;
      throw createCodedError(REPLY_TOO_LARGE_CODE, message);
    }
    chunks.push(chunk);
  }
  if (!isWholeMessage(message)) {
    throw createCodedError("ECONNRESET", "Connection closed within the reply");
  }
  const { statusCode = 0, headers } = message;
  return { status: statusCode, headers, body: Buffer.concat(chunks) };
}

function createFailure(
  call: HttpCall,
  kind: TransportFailure["kind"],
  ran: TransportFailure["ran"],
  error?: unknown,
): TransportFailure {
  const path = call.path.split("?")[0];
  const reason = error instanceof Error ? error.message : kind;
  return { kind, ran, detail: `${call.method} "${path}" failed: ${reason}` };
}
