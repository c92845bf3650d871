/** Helpers for HTTP servers on node:http. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createRefusal, type Refusal } from "../core/errors.js";
import {
  BODY_REFUSAL,
  type BodyRefusal,
  ChunkMeter,
  HeldMemory,
  MAX_BODY_MS,
  MAX_BODY_PAUSE_MS,
  MAX_IGNORED_BYTES,
  RECEIVED_REFUSAL,
  ReceivedBody,
  type ReceivedRefusal,
  SENDER,
  type Sender,
} from "./received/index.js";

const MS_PER_SECOND = 1_000;
/** Base URL for parsing relative request targets; never contacted. */
const BASE_URL = "http://entry";

/** Body of an error answer, as application/problem+json. */
export interface ProblemDetails {
  type: string;
  title: string;
  status: number;
  detail: string;
  code: string;
  ran: string;
  requestId: string;
  retryAfterMs: number;
}

export function createProblemDetails(
  refusal: Refusal,
  requestId: string,
): ProblemDetails {
  return {
    type: `https://hornbeamrill.invalid/problems/${refusal.code}`,
    title: refusal.code.replaceAll("-", " "),
    status: refusal.status,
    detail: refusal.detail,
    code: refusal.code,
    ran: refusal.ran,
    requestId,
    retryAfterMs: refusal.retryAfterMs,
  };
}

export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** `Retry-After` in whole seconds, rounded up. */
export function formatRetryAfter(
  problem: Pick<ProblemDetails, "retryAfterMs">,
): string {
  const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
  return String(Math.max(1, seconds));
}

/** Sends a problem with `Retry-After`. */
export function sendProblem(
  response: ServerResponse,
  problem: ProblemDetails,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const text = `${JSON.stringify(problem)}\n`;
  response.writeHead(problem.status, {
    "content-type": "application/problem+json",
    "content-length": Buffer.byteLength(text),
    "retry-after": formatRetryAfter(problem),
    "hornbeamrill-request": problem.requestId,
  });
  response.end(text);
}

export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
): void {
  sendProblem(response, createProblemDetails(refusal, requestId));
}

/** Time for the client to read a refusal before its connection is closed. */
export const DISCARD_TIMEOUT_MS = 1_000;

/**
 * Discards the rest of a body; disconnects when it does not end in time. No
 * more is read of one that goes on, or comes in too many small chunks.
 */
export function ignoreBody(
  request: IncomingMessage,
  disconnect = () => {
    request.destroy();
  },
): void {
  const meter = new ChunkMeter();
  let ignoredBytes = 0;
  request.resume();
  request.on("data", (chunk: Buffer) => {
    ignoredBytes += chunk.length;
    if (ignoredBytes > MAX_IGNORED_BYTES || !meter.take(chunk))
      pauseReading(request.socket);
  });
  const timer = setTimeout(disconnect, DISCARD_TIMEOUT_MS);
  request.once("close", () => clearTimeout(timer));
  request.once("end", () => clearTimeout(timer));
}

/**
 * Reads no more from a connection until it is resumed. What is already read
 * goes on to its requests; a paused request would keep the chunks.
 */
export function pauseReading(socket: Socket): void {
  // Node resumes the socket after each chunk and each request.
  socket.resume = () => socket;
  socket.pause();
}

export function startReading(socket: Socket): void {
  Reflect.deleteProperty(socket, "resume");
  socket.resume();
}

function createBodyRefusal(reason: BodyRefusal, maxBytes: number): Refusal {
  switch (reason) {
    case BODY_REFUSAL.tooLarge:
      return createRefusal("body-too-large", `Body exceeds ${maxBytes} bytes`);
    case BODY_REFUSAL.noMemory:
      return createRefusal("capacity", "No memory for the body");
    case BODY_REFUSAL.smallChunks:
      return createRefusal("capacity", "Too many small chunks come in");
  }
}

/** Memory for what a request brings, held until its answer is sent. */
export function openRequestMemory(response: ServerResponse): HeldMemory {
  const memory = new HeldMemory();
  response.once("close", () => memory.release());
  return memory;
}

export interface ReadBodyOptions {
  /** A caller unless set. */
  readonly sender?: Sender;
  /** Longest time that the whole body may take, ms. */
  readonly maxBodyMs?: number;
  /** Ends the connection of a refused body whose end does not come. */
  readonly disconnect?: () => void;
}

/**
 * Reads a body of at most `maxBytes`; a longer one, or one for which there is
 * no memory, is refused at once, and one that takes longer than `maxBodyMs` then.
 * Rejects when the client disconnects.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
  memory: HeldMemory,
  options: ReadBodyOptions = {},
): Promise<Buffer | Refusal> {
  const { sender = SENDER.caller, maxBodyMs = MAX_BODY_MS } = options;
  const { disconnect } = options;
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    ignoreBody(request, disconnect);
    return Promise.resolve(createBodyRefusal(BODY_REFUSAL.tooLarge, maxBytes));
  }
  return new Promise((resolve, reject) => {
    const body = new ReceivedBody({ sender, maxBytes, memory });
    let pauseTimer: NodeJS.Timeout | undefined;
    let bodyTimer: NodeJS.Timeout | undefined;
    // The request lives until the next one on its connection, or its close, and
    // with its listeners the body would.
    const stopReading = () => {
      arrival.end();
      clearTimeout(pauseTimer);
      clearTimeout(bodyTimer);
      request.off("data", addChunk);
      request.off("end", complete);
      request.off("error", fail);
      request.off("close", failIfOpen);
      request.on("error", ignoreError);
    };
    const refuse = (refusal: Refusal) => {
      stopReading();
      ignoreBody(request, disconnect);
      body.discard();
      resolve(refusal);
    };
    const refuseLate = (reason: ReceivedRefusal, detail: string) => {
      memory.report(sender, reason);
      refuse(createRefusal("capacity", detail));
    };
    const refusePaused = () =>
      refuseLate(RECEIVED_REFUSAL.paused, "The body stopped before its end");
    const arrival = memory.addArrival(() =>
      refuseLate(RECEIVED_REFUSAL.stopped, "The body stopped before its end"),
    );
    const refuseSlow = () =>
      refuseLate(RECEIVED_REFUSAL.slow, `The body takes over ${maxBodyMs} ms`);
    const addChunk = (chunk: Buffer) => {
      bodyTimer ??= setTimeout(refuseSlow, maxBodyMs);
      pauseTimer ??= setTimeout(refusePaused, MAX_BODY_PAUSE_MS);
      pauseTimer.refresh();
      arrival.addBytes(chunk.length);
      const reason = body.add(chunk);
      if (reason !== undefined) refuse(createBodyRefusal(reason, maxBytes));
    };
    const complete = () => {
      stopReading();
      resolve(body.data);
    };
    const fail = (error: Error) => {
      stopReading();
      body.discard();
      reject(error);
    };
    const failIfOpen = () => {
      if (!request.complete) fail(new Error("The client disconnected"));
    };
    request.on("data", addChunk);
    request.once("end", complete);
    request.once("error", fail);
    request.once("close", failIfOpen);
  });
}

/** An error after a body was read or refused is that of its connection. */
function ignoreError(): void {}

/** Parses the request's target; undefined when it is not a valid URL. */
export function parseTarget(request: IncomingMessage): URL | undefined {
  const target = request.url ?? "/";
  return URL.canParse(target, BASE_URL) ? new URL(target, BASE_URL) : undefined;
}

export function getHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Extracts the token of `Bearer TOKEN`, with one or more spaces between. */
export function parseBearerToken(authorization: string): string | undefined {
  return /^Bearer +(\S+)$/i.exec(authorization)?.[1];
}

export function getBearerToken(request: IncomingMessage): string | undefined {
  return parseBearerToken(request.headers.authorization ?? "");
}
