/** Runs requests on the engine or plain service of an endpoint. */

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

/** The answer of a back end; model output is passed to `onChunk` instead. */
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
   * "refused": the back end rejected the request; "not-loaded": it has not
   * loaded the version; "overloaded": it has no capacity; "broken": the
   * connection or the run failed; "too-large": the answer exceeds the limit;
   * "aborted": the signal ended the call.
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

/** Executes one request on the engine or service. */
export type RunBackend = (
  request: BackendRequest,
  onChunk: (data: Uint8Array) => void,
  signal: AbortSignal,
) => ResultAsync<BackendAnswer, BackendFailure>;

const JSON_CONTENT_TYPE = "application/json";

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
    contentType: request.contentType || JSON_CONTENT_TYPE,
    priority,
    idempotent,
    account,
    session,
    idempotencyKey,
  };
}

/** Maps a back end failure to the refusal that the caller receives. */
function createFailureRefusal(
  failure: BackendFailure,
  idempotent: boolean,
): Refusal {
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

/** Runs the back end; an adapter that throws counts as a broken call. */
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
      refusal: createFailureRefusal(result.error, request.idempotent),
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
      refusal: createFailureRefusal(failure, request.idempotent),
      isEngineFault: true,
    };
  }
}
