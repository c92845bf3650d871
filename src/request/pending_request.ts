/** A request on its way through an entry, and its attempts. */

import type { RouteRequest } from "../core/index.js";
import type { End, ReceiptStep } from "../schema/index.js";
import type { AnswerWriter } from "./answers.js";
import type { RequestWork } from "./caller_requests.js";

export interface RequestSession {
  readonly token?: string;
  readonly moved?: string;
}

/** What the caller's server hands over with a request. */
export interface RunOptions {
  readonly work: RequestWork;
  readonly session: RequestSession;
  readonly writer: AnswerWriter;
  /** Aborts when the caller goes away. */
  readonly signal: AbortSignal;
}

export interface Attempt {
  readonly number: number;
  readonly endpoint: string;
  readonly version: string;
  /** True when no judge follows, so the answer may be streamed at once. */
  readonly isFinal: boolean;
  readonly controller: AbortController;
  readonly chunks: Uint8Array[];
  /** Present once the answer is whole. */
  end?: End;
}

export interface PendingRequest {
  readonly route: RouteRequest;
  readonly work: RequestWork;
  readonly session: RequestSession;
  readonly writer: AnswerWriter;
  readonly startedAtMs: number;
  readonly attempts: Map<number, Attempt>;
  readonly steps: ReceiptStep[];
  /** True once the caller has a part of the answer. */
  hasWritten: boolean;
  /** When the first byte of the answer was sent. */
  firstByteAtMs?: number;
  /** Ends `run` for the caller's server. */
  settle: () => void;
}

/** A request that has no attempt yet. */
export function createPendingRequest(
  parts: Omit<PendingRequest, "attempts" | "steps" | "hasWritten">,
): PendingRequest {
  return { ...parts, attempts: new Map(), steps: [], hasWritten: false };
}
