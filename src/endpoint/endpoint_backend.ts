/** What the endpoint needs from its engine or plain service. */

import type { ResultAsync } from "neverthrow";
import {
  createRefusal,
  type Ran,
  type Refusal,
  type RunOutcome,
} from "../core/index.js";
import type { Priority } from "../schema/index.js";

export interface BackendRequest {
  readonly requestId: string;
  /** Version of a model call; empty for a plain service. */
  readonly version: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
  readonly contentType: string;
  readonly priority: Priority;
  readonly idempotent: boolean;
  readonly account: string;
  readonly session: string;
  readonly idempotencyKey: string;
}

/** The answer of a back end; a model's output went through `onChunk`. */
export interface BackendAnswer {
  readonly status: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly body: Uint8Array;
  readonly contentType: string;
  /** New at each start of the engine or service; absent when it gives none. */
  readonly startId?: string;
}

export interface BackendFailure {
  /**
   * "refused": the back end turned the call down; "not-loaded": it lacks the
   * version; "overloaded": it has no room; "broken": the call failed on the
   * way or at work; "too-large": the answer is over the limit; "aborted": the
   * signal ended the call.
   */
  readonly kind:
    | "refused"
    | "not-loaded"
    | "overloaded"
    | "broken"
    | "too-large"
    | "aborted";
  /** "no" only when the call certainly did not reach the back end. */
  readonly ran: Ran;
  readonly detail: string;
  readonly retryAfterMs?: number;
}

/** Runs one request on the engine or service. */
export type RunBackend = (
  request: BackendRequest,
  onChunk: (data: Uint8Array) => void,
  signal: AbortSignal,
) => ResultAsync<BackendAnswer, BackendFailure>;

const JSON_TYPE = "application/json";

export function createBackendRequest(request: BackendRequest): BackendRequest {
  const { requestId, version, service, method, path, body } = request;
  const { priority, idempotent, account, session, idempotencyKey } = request;
  return {
    requestId,
    version,
    service,
    method,
    path,
    body,
    contentType: request.contentType || JSON_TYPE,
    priority,
    idempotent,
    account,
    session,
    idempotencyKey,
  };
}

/** What the caller learns of a failure. */
function toRefusal(failure: BackendFailure, idempotent: boolean): Refusal {
  const { ran, detail, retryAfterMs } = failure;
  const options = { ran, retryAfterMs };
  if (!idempotent && ran !== "no") {
    return createRefusal("outcome-unknown", detail, {
      ...options,
      ran: "unknown",
    });
  }
  if (failure.kind === "overloaded") {
    return createRefusal("engine-overloaded", detail, options);
  }
  if (failure.kind === "refused") {
    return createRefusal("bad-request", detail, options);
  }
  if (failure.kind === "not-loaded") {
    return createRefusal("no-endpoint", detail, options);
  }
  return createRefusal("engine-failed", detail, options);
}

/** Runs the back end; an exception in an adapter counts as a broken call. */
export async function runBackend(
  backend: RunBackend,
  request: BackendRequest,
  options: { onChunk: (data: Uint8Array) => void; signal: AbortSignal },
): Promise<RunOutcome> {
  try {
    const result = await backend(request, options.onChunk, options.signal);
    if (result.isOk()) return { kind: "completed", ...result.value };
    const { kind } = result.error;
    return {
      kind: "failed",
      refusal: toRefusal(result.error, request.idempotent),
      isEngineFault: kind === "broken" || kind === "overloaded",
    };
  } catch (error) {
    const failure: BackendFailure = {
      kind: "broken",
      ran: "unknown",
      detail: `Back end adapter threw "${error}"`,
    };
    return {
      kind: "failed",
      refusal: toRefusal(failure, request.idempotent),
      isEngineFault: true,
    };
  }
}
