/** Interface and HTTP client of services such as orders and stock. */

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

/** Reply with any status below 500 except 429, passed on to the caller. */
export interface ServiceReply {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  /** Differs for each start of the service; empty when it sends none. */
  readonly serviceStartId: string;
}

export interface ServiceFailure {
  readonly kind: /** No connection, so nothing was sent. */
    | "unavailable"
    /** The path or a header can't be sent. */
    | "invalid"
    /** Refused before it started: no capacity. */
    | "overloaded"
    /** The service answered that it failed; it may have taken effect. */
    | "failed"
    /** The connection broke before the reply was complete. */
    | "broken"
    | "timeout"
    | "aborted"
    | "too-large";
  /** Whether the call may have taken effect. */
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
        .mapErr(toServiceFailure)
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

function toServiceFailure(failure: TransportFailure): ServiceFailure {
  const { kind, ran, detail } = failure;
  return { kind: kind === "refused" ? "unavailable" : kind, ran, detail };
}
