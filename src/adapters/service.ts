/** Plain services (order, stock) as the program sees them; HTTP adapter. */

import { err, ok, type Result, type ResultAsync } from "neverthrow";
import type { Ran } from "../core/index.js";
import {
  HttpClient,
  type HttpReply,
  type HttpTarget,
  type TransportFailure,
} from "./http_client.js";

export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly body: string | Uint8Array;
  readonly contentType: string;
  readonly requestId?: string;
  readonly idempotencyKey?: string;
}

/** Any reply below 500 but 429, passed through to the caller. */
export interface ServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** New at each start of the service; empty when the service gives none. */
  readonly serviceStartId: string;
}

export interface ServiceFailure {
  readonly kind: /** No connection, so nothing was sent. */
    | "unavailable"
    /** The path or a header can't be sent. */
    | "invalid"
    /** Refused before it started: no room. */
    | "overloaded"
    /** The service answered that it failed; it may have taken effect. */
    | "failed"
    /** The connection broke before a whole reply came. */
    | "broken"
    | "timeout"
    | "aborted"
    | "too-large";
  /** Whether the call can have taken effect. */
  readonly ran: Ran;
  readonly detail: string;
  readonly status?: number;
}

export interface Service {
  /** Sends the call once; it never repeats it. */
  callService(
    call: ServiceCall,
    signal: AbortSignal,
  ): ResultAsync<ServiceReply, ServiceFailure>;
}

export function createHttpService(target: HttpTarget): Service {
  const client = new HttpClient(target);
  return {
    callService: (call, signal) =>
      client
        .send(
          {
            method: call.method,
            path: call.path,
            headers: createHeaders(call),
            body: call.body.length === 0 ? undefined : call.body,
          },
          signal,
        )
        .mapErr(toFailure)
        .andThen(readServiceReply),
  };
}

function createHeaders(call: ServiceCall): Record<string, string> {
  const { contentType, requestId, idempotencyKey } = call;
  return {
    ...(contentType && { "content-type": contentType }),
    ...(requestId && { "hornbeamrill-request": requestId }),
    ...(idempotencyKey && { "idempotency-key": idempotencyKey }),
  };
}

function readServiceReply(
  reply: HttpReply,
): Result<ServiceReply, ServiceFailure> {
  const { status, headers, body } = reply;
  const detail = `Service answered with status ${status}`;
  if (status === 429) {
    return err({ kind: "overloaded", ran: "no", detail, status });
  }
  if (status >= 500) {
    return err({ kind: "failed", ran: "unknown", detail, status });
  }
  const contentType = headers["content-type"] ?? "application/octet-stream";
  const serviceStartId = String(headers["start-id"] ?? "");
  return ok({ status, contentType, body, serviceStartId });
}

function toFailure(failure: TransportFailure): ServiceFailure {
  const { kind, ran, detail } = failure;
  return { kind: kind === "refused" ? "unavailable" : kind, ran, detail };
}
