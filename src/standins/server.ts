/** Minimal JSON server shared by the stand-ins. */

import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

export interface Call {
  readonly method: string;
  /** Decoded path segments. */
  readonly path: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

const NOT_MODIFIED_STATUS = 304;

export interface Reply {
  readonly status: number;
  readonly body: unknown;
  readonly headers?: Record<string, string>;
  /** Sent in place of `body`, also if it is not JSON. */
  readonly text?: string;
}

/** Returns undefined if the handler answered or disconnected by itself. */
export type Handler = (call: Call) => Promise<Reply | undefined>;

/** Thrown by a handler to answer with an error status. */
export class ReplyError extends Error {
  override readonly name = "ReplyError";
  readonly status: number;
  readonly code: string;
  readonly headers?: Record<string, string>;

  constructor(
    status: number,
    code: string,
    headers: Record<string, string> = {},
  ) {
    super(code);
    this.status = status;
    this.code = code;
    this.headers = headers;
  }
}

/** Above the store's value limit, so that the store refuses large values. */
const MAX_BODY_BYTES = 8_000_000;
/** Above any pause of a test, so that a reused connection is not reset. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

export function parseJson(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      return value as Record<string, unknown>;
    }
  } catch {
    // Refused below, like any other body that is not a JSON object.
  }
  throw new ReplyError(400, "bad-request");
}

export function sendReply(response: ServerResponse, reply: Reply): void {
  if (response.headersSent || response.destroyed) return;
  if (reply.status === NOT_MODIFIED_STATUS) {
    response.writeHead(reply.status, reply.headers).end();
    return;
  }
  const text = reply.text ?? JSON.stringify(reply.body ?? {});
  response.writeHead(reply.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...reply.headers,
  });
  response.end(text);
}

async function readBody(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  for await (const part of request) {
    sizeBytes += part.length;
    if (sizeBytes > MAX_BODY_BYTES) throw new ReplyError(413, "too-large");
    parts.push(part);
  }
  return Buffer.concat(parts).toString("utf8");
}

async function answerCall(
  handle: Handler,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const url = new URL(request.url ?? "/", "http://standin");
    const path = url.pathname.slice(1).split("/").map(decodeURIComponent);
    const reply = await handle({
      method: request.method ?? "GET",
      path,
      query: url.searchParams,
      headers: request.headers,
      text: await readBody(request),
      request,
      response,
    });
    if (reply !== undefined) sendReply(response, reply);
  } catch (error) {
    const failure =
      error instanceof ReplyError ? error : new ReplyError(500, String(error));
    sendReply(response, {
      status: failure.status,
      body: { code: failure.code },
      headers: failure.headers,
    });
  }
}

export interface RunningServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Listens on 127.0.0.1; port 0 selects a free one. */
export async function startServer(
  handle: Handler,
  port: number,
): Promise<RunningServer> {
  const server: Server = createServer((request, response) => {
    void answerCall(handle, request, response);
  });
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
