/** Interface of a model engine; `createHttpEngine` implements it. */

import type { ResultAsync } from "neverthrow";
import type { Ran } from "../core/index.js";
import type { Priority } from "../schema/index.js";

export interface CompletionRequest {
  readonly requestId: string;
  readonly version: string;
  /** The caller's JSON body; `model` and the stream options are replaced. */
  readonly body: string | Uint8Array;
  readonly priority: Priority;
  readonly account?: string;
  readonly session?: string;
}

/** One event of a streamed answer. */
export interface CompletionChunk {
  /** The event's JSON as the engine sent it. */
  readonly data: string;
  /** Text that the chunk adds to the answer; may be empty. */
  readonly text: string;
}

/** Awaited before the next chunk is read, which gives backpressure. */
export type ChunkListener = (chunk: CompletionChunk) => void | Promise<void>;

/** Result of an answer that arrived complete. */
export interface Completion {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Chunks passed to the listener. */
  readonly chunks: number;
  /** Differs for each start of the engine. */
  readonly engineStartId: string;
}

export interface EngineFailure {
  readonly kind: /** No connection, so nothing was sent. */
    | "unavailable"
    /** Refused before it started: no capacity. */
    | "overloaded"
    /** Refused before it started: the version is not loaded. */
    | "version-not-loaded"
    /** Refused before it started: the body or the call is not valid. */
    | "bad-request"
    /** Order refused: the engine has seen a newer fencing number. */
    | "old-fence"
    /** The engine reported that it failed. */
    | "failed"
    /** The stream ended or broke before the answer was complete. */
    | "truncated"
    | "malformed"
    | "timeout"
    | "aborted";
  /** Whether the call may have taken effect. */
  readonly ran: Ran;
  readonly detail: string;
  /** Chunks passed to the listener before the failure. */
  readonly chunks: number;
  /** Absent when no reply started. */
  readonly engineStartId?: string;
}

export interface EngineLoad {
  readonly startId: string;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly cold: boolean;
  readonly versions: string[];
  /** Versions that the engine is loading after an order. */
  readonly loading: string[];
}

export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly version: string;
  readonly fence: number;
}

export interface Engine {
  /** Runs a request; succeeds only when the answer arrived complete. */
  complete(
    request: CompletionRequest,
    onChunk: ChunkListener,
    signal: AbortSignal,
  ): ResultAsync<Completion, EngineFailure>;
  /** Reads the reported load, which lags behind the actual one. */
  readLoad(signal: AbortSignal): ResultAsync<EngineLoad, EngineFailure>;
  /** Resolves on acceptance; `readLoad` shows when the version is loaded. */
  sendOrder(
    order: EngineOrder,
    signal: AbortSignal,
  ): ResultAsync<{ engineStartId: string }, EngineFailure>;
}
