/** Failures of calls to external systems that are safe to retry. */

import { err, ok, type Result } from "neverthrow";
import type { Ran } from "../core/index.js";
import type { HttpReply, TransportFailure } from "./http_client.js";

export interface CallFailure {
  readonly kind: "unavailable" | "timeout" | "aborted" | "malformed";
  /** Whether the call may have taken effect. */
  readonly ran: Ran;
  readonly detail: string;
}

export function toCallFailure(failure: TransportFailure): CallFailure {
  const { kind, ran, detail } = failure;
  if (kind === "timeout" || kind === "aborted") return { kind, ran, detail };
  return {
    kind: kind === "too-large" ? "malformed" : "unavailable",
    ran,
    detail,
  };
}

export function toMalformedFailure(failure: { detail: string }): CallFailure {
  return { kind: "malformed", ran: "yes", detail: failure.detail };
}

/** Returns a 2xx reply. A status below 500, or 503, says that nothing ran. */
export function checkStatus(reply: HttpReply): Result<HttpReply, CallFailure> {
  const { status } = reply;
  if (status >= 200 && status < 300) return ok(reply);
  const ran = status === 503 || status < 500 ? "no" : "unknown";
  const detail = `Service answered with status ${status}`;
  return err({ kind: "unavailable", ran, detail });
}
