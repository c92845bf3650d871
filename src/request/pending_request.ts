/** State of a request that the entry has not answered yet, and its attempts. */

import type { RouteRequest } from "../core/index.js";
import type { End, ReceiptStep } from "../schema/index.js";
import type { AnswerWriter } from "./answer_writers.js";
import type { RequestPayload } from "./caller_requests.js";

/** The session of a request, as its answer reports it to the caller. */
export interface RequestSession {
  readonly token?: string;
  /** Present when the session had to leave its earlier version. */
  readonly moveReason?: string;
}

/** What the caller server passes on with a request's route. */
export interface RunOptions {
  readonly payload: RequestPayload;
  readonly session: RequestSession;
  readonly writer: AnswerWriter;
  /** Aborts when the caller disconnects. */
  readonly signal: AbortSignal;
}

export interface Attempt {
  readonly number: number;
  readonly endpoint: string;
  readonly version: string;
  /** True when the answer is not judged, so its chunks may be sent at once. */
  readonly isFinal: boolean;
  readonly controller: AbortController;
  readonly chunks: Uint8Array[];
  /** Present once the answer is complete. */
  end?: End;
}

export interface PendingRequest {
  readonly route: RouteRequest;
  readonly payload: RequestPayload;
  readonly session: RequestSession;
  readonly writer: AnswerWriter;
  readonly startedAtMs: number;
  readonly attempts: Map<number, Attempt>;
  readonly steps: ReceiptStep[];
  /** True once a part of the answer was sent to the caller. */
  hasWritten: boolean;
  /** When the first byte of the answer was sent. */
  firstByteAtMs?: number;
  /** Resolves the promise that `RequestRunner.run` returned. */
  settle: () => void;
}

/** Creates a request that has no attempt yet. */
export function createPendingRequest(
  fields: Omit<PendingRequest, "attempts" | "steps" | "hasWritten">,
): PendingRequest {
  return { ...fields, attempts: new Map(), steps: [], hasWritten: false };
}
