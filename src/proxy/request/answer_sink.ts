/** Writes answers and refusals to callers. */

import {
  type ServerResponse,
  validateHeaderName,
  validateHeaderValue,
} from "node:http";
import { createRefusal, type Refusal } from "../../core/errors.js";
import type { RawHeaders, WireFormat } from "../types.js";
import type { AnswerSink } from "./send_answer.js";

/** Lowest status that Node sends. */
const MIN_STATUS = 100;

/**
 * Closes the connection of an answer that is not complete. Without chunks, as
 * for callers of HTTP/1.0, its end is that of the answer, unless it is reset.
 */
export function breakAnswer(response: ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}

/** Throws on what Node would refuse to send. */
function checkHead(status: number, headers: RawHeaders): void {
  if (status < MIN_STATUS) throw new RangeError(`Status ${status}`);
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] ?? "";
    validateHeaderName(name);
    validateHeaderValue(name, headers[i + 1] ?? "");
  }
}

export function createSink(
  response: ServerResponse,
  wire: WireFormat,
  requestId: string,
  prepareHead: () => void,
): AnswerSink {
  const refuse = (refusal: Refusal) => {
    prepareHead();
    sendRefusal(response, wire, requestId, refusal);
  };
  let pendingHead: { status: number; headers: RawHeaders } | undefined;
  const sendHead = () => {
    if (pendingHead === undefined) return;
    prepareHead();
    response.writeHead(pendingHead.status, pendingHead.headers);
    pendingHead = undefined;
  };
  return {
    // Sent with the first data: until then a failure can still be told.
    writeHead: (status: number, headers: RawHeaders) => {
      checkHead(status, headers);
      pendingHead = { status, headers };
    },
    write: (data: Buffer) => {
      if (response.destroyed) return true;
      sendHead();
      return response.write(data);
    },
    waitForDrain: (signal: AbortSignal) =>
      new Promise<void>((resolve) => {
        const settle = () => {
          response.off("drain", settle);
          response.off("close", settle);
          signal.removeEventListener("abort", settle);
          resolve();
        };
        response.once("drain", settle);
        response.once("close", settle);
        signal.addEventListener("abort", settle, { once: true });
      }),
    end: (data?: Buffer) => {
      if (response.destroyed) return;
      sendHead();
      response.end(data);
    },
    destroy: () => {
      if (pendingHead === undefined) return breakAnswer(response);
      const detail = "The answer broke off before its first event";
      refuse(createRefusal("outcome-unknown", detail));
    },
    refuse,
  };
}

export function sendRefusal(
  response: ServerResponse,
  wire: WireFormat,
  requestId: string,
  refusal: Refusal,
): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    breakAnswer(response);
    return;
  }
  const mayRetry = refusal.status === 429 || refusal.status === 503;
  const headers = wire.createRefusalHeaders(
    requestId,
    mayRetry ? refusal.retryAfterMs : undefined,
  );
  const body = Buffer.from(`${refusal.code}: ${refusal.detail}\n`);
  headers.push("Content-Type", "text/plain; charset=utf-8");
  headers.push("Content-Length", String(body.length));
  response.writeHead(refusal.status, headers);
  response.end(body);
}
