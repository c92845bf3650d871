/**
 * HTTP calls to the outside systems, over kept-alive connections. A failure
 * says whether the call can have taken effect on the other side.
 */

import { setMaxListeners } from "node:events";
import {
  Agent,
  type ClientRequest,
  type IncomingHttpHeaders,
  type IncomingMessage,
  request as openRequest,
} from "node:http";
import { err, ok, type Result, ResultAsync } from "neverthrow";

export interface HttpTarget {
  /** IP number. */
  readonly address: string;
  readonly port: number;
  /** Longest time that a call takes, reply included. */
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
  /** Longest time without a byte from the other side. */
  readonly idleMs?: number;
}

export interface HttpReply {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** No whole reply came. */
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

/** Above any reply of the outside systems; bounds the memory of a call. */
const MAX_REPLY_BYTES = 16_000_000;

/**
 * A free connection is closed before the 5 s after which common servers close
 * theirs. A call sent as the server closes fails with an unknown outcome,
 * although it did not run.
 */
const FREE_SOCKET_MS = 4_000;

/** One connection pool to one outside system. */
export class HttpClient {
  readonly #target: HttpTarget;
  readonly #agent = new Agent({ keepAlive: true, timeout: FREE_SOCKET_MS });

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
   * Sends a call and hands the reply to `read` while it arrives. A failure of
   * the connection makes `read`'s iteration over the message throw.
   */
  stream<T>(
    call: HttpCall,
    read: (message: IncomingMessage) => Promise<T>,
    signal: AbortSignal,
  ): ResultAsync<T, TransportFailure> {
    return new ResultAsync(this.#exchange(call, read, signal));
  }

  async #exchange<T>(
    call: HttpCall,
    read: (message: IncomingMessage) => Promise<T>,
    signal: AbortSignal,
  ): Promise<Result<T, TransportFailure>> {
    let cause: TransportFailure["kind"] | undefined;
    let connected = false;
    if (signal.aborted) return err(createFailure(call, "aborted", "no"));
    let request: ClientRequest;
    try {
      request = this.#open(call, () => {
        connected = true;
      });
    } catch (error) {
      return err(createFailure(call, "invalid", "no", error));
    }
    const stop = (reason: "timeout" | "aborted") => {
      cause ??= reason;
      request.destroy();
    };
    const onAbort = () => stop("aborted");
    // Many calls share a process's signal; Node warns above 10 listeners.
    setMaxListeners(0, signal);
    signal.addEventListener("abort", onAbort, { once: true });
    const timeoutMs = call.timeoutMs ?? this.#target.timeoutMs;
    const timer = setTimeout(stop, timeoutMs, "timeout");
    if (call.idleMs !== undefined) {
      request.setTimeout(call.idleMs, () => stop("timeout"));
    }
    try {
      return ok(await readFrom(request, read));
    } catch (error) {
      if (!isTransportError(error)) throw error;
      if (error.code === TOO_LARGE) cause ??= "too-large";
      cause ??= connected ? "broken" : "refused";
      const ran = connected ? "unknown" : "no";
      return err(createFailure(call, cause, ran, error));
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
    const agent = this.#agent;
    return openRequest({ host: address, port, agent, method, path, headers })
      .once("socket", (socket) => {
        if (socket.connecting) socket.once("connect", onConnect);
        else onConnect();
      })
      .on("error", () => {
        // `readFrom` sees the error; this listener covers a later one.
      })
      .end(body);
  }
}

const TOO_LARGE = "REPLY_TOO_LARGE";

/** Node's errors carry a code; any other error is a fault of the reader. */
function isTransportError(error: unknown): error is NodeJS.ErrnoException {
  return error instanceof Error && "code" in error;
}

function createCodedError(code: string, message: string): Error {
  return Object.assign(new Error(message), { code });
}

function waitForReply(request: ClientRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    request.once("response", resolve).once("error", reject);
    // A request that ends in neither way would otherwise wait for ever.
    request.once("close", () =>
      reject(createCodedError("ECONNRESET", "Connection closed")),
    );
  });
}

async function readFrom<T>(
  request: ClientRequest,
  read: (message: IncomingMessage) => Promise<T>,
): Promise<T> {
  const message = await waitForReply(request);
  try {
    return await read(message);
  } finally {
    // Bytes left unread would block the connection's next call.
    if (message.complete) message.resume();
    else if (!message.readableFlowing) message.destroy();
  }
}

/** For the few bytes between a stream's end mark and the reply's end. */
const DRAIN_MS = 1_000;

/** Keeps the connection for reuse when a reply's rest does not matter. */
export function ignoreReply(message: IncomingMessage): void {
  message.resume();
  const timer = setTimeout(() => {
    if (!message.complete) message.destroy();
  }, DRAIN_MS);
  timer.unref();
  message.once("close", () => clearTimeout(timer));
}

/** Reads a whole reply; throws when it breaks off or is too large. */
export async function readReply(message: IncomingMessage): Promise<HttpReply> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of message) {
    size += part.length;
    if (size > MAX_REPLY_BYTES) {
      const message = `Reply exceeds ${MAX_REPLY_BYTES} bytes`;
      throw createCodedError(TOO_LARGE, message);
    }
    parts.push(part);
  }
  const { statusCode = 0, headers } = message;
  return { status: statusCode, headers, body: Buffer.concat(parts) };
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
