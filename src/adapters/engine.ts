/** Model engine as the program sees it, and its HTTP adapter. */

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

/** A piece of the answer, in the order of the stream. */
export interface CompletionChunk {
  /** The event's JSON as the engine sent it. */
  readonly data: string;
  /** Text that the piece adds to the answer; may be empty. */
  readonly text: string;
}

/** Awaited before the next chunk is read, so that a slow reader holds the stream. */
export type ChunkListener = (chunk: CompletionChunk) => void | Promise<void>;

/** Given only for a whole answer. */
export interface Completion {
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Chunks that were handed on. */
  readonly chunks: number;
  /** New at each start of the engine. */
  readonly engineStartId: string;
}

export interface EngineFailure {
  readonly kind: /** No connection, so nothing was sent. */
    | "unavailable"
    /** Refused before it started: no room. */
    | "overloaded"
    /** Refused before it started: the version is not loaded. */
    | "version-not-loaded"
    /** Refused before it started: the body or the call is not valid. */
    | "bad-request"
    /** Order refused for its old fencing number. */
    | "old-fence"
    /** The engine reported that it failed. */
    | "failed"
    /** The stream ended or broke before the answer's end. */
    | "truncated"
    | "malformed"
    | "timeout"
    | "aborted";
  /** Whether the call can have taken effect. */
  readonly ran: Ran;
  readonly detail: string;
  /** Chunks that were handed on before the failure. */
  readonly chunks: number;
  /** Absent when no reply began. */
  readonly engineStartId?: string;
}

export interface EngineLoad {
  readonly startId: string;
  readonly running: number;
  readonly queued: number;
  readonly slots: number;
  readonly cold: boolean;
  readonly versions: string[];
  /** Versions that an order is loading. */
  readonly loading: string[];
}

export interface EngineOrder {
  readonly kind: "load" | "unload";
  readonly version: string;
  readonly fence: number;
}

export interface Engine {
  /** Runs a request; a whole answer only when the stream came to its end. */
  complete(
    request: CompletionRequest,
    onChunk: ChunkListener,
    signal: AbortSignal,
  ): ResultAsync<Completion, EngineFailure>;
  /** Reports lag behind what the engine does. */
  readLoad(signal: AbortSignal): ResultAsync<EngineLoad, EngineFailure>;
  /** Accepted at once; `readLoad` shows when the version is loaded. */
  order(
    order: EngineOrder,
    signal: AbortSignal,
  ): ResultAsync<{ engineStartId: string }, EngineFailure>;
}
