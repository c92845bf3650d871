/** Helpers for Node's http on the serving side. */

import type { IncomingMessage, ServerResponse } from "node:http";
import { createRefusal, type Refusal } from "../core/index.js";

const MS_PER_SECOND = 1_000;

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

/** Sends a refusal with `Retry-After` in whole seconds, rounded up. */
export function sendRefusal(
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
): void {
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const text = `${JSON.stringify(createProblemDetails(refusal, requestId))}\n`;
  response.writeHead(refusal.status, {
    "content-type": "application/problem+json",
    "content-length": Buffer.byteLength(text),
    "retry-after": String(
      Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)),
    ),
    "hornbeamrill-request": requestId,
  });
  response.end(text);
}

/** Reads a body of at most `maxBytes`; a longer one gives a refusal. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | Refusal> {
  const tooLarge = createRefusal(
    "body-too-large",
    `Body exceeds ${maxBytes} bytes`,
  );
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    request.resume();
    return tooLarge;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.length;
    if (size <= maxBytes) chunks.push(chunk);
  }
  return size > maxBytes ? tooLarge : Buffer.concat(chunks);
}

export function getHeader(
  request: IncomingMessage,
  name: string,
): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** The token of `Authorization: Bearer TOKEN`. */
export function getBearerToken(request: IncomingMessage): string | undefined {
  const match = /^Bearer (\S+)$/i.exec(request.headers.authorization ?? "");
  return match?.[1];
}
