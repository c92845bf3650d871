/** Carries out the gate's decisions and passes frames to their readers. */

import { match } from "ts-pattern";
import type { ConfigView } from "../configuration/config_view.js";
import {
  createAttemptKey,
  createRefusal,
  createRefusalFrameBody,
  type Gate,
  type GateDecision,
  type GateEvent,
  InvariantError,
  type Refusal,
} from "../core/index.js";
import type {
  CancelRequest,
  DispatchRequest,
  Frame,
  LookUpAttemptReply,
  LookUpAttemptRequest,
  ResumeRequest,
} from "../schema/index.js";
import {
  createBackendRequest,
  type RunBackend,
  runBackend,
} from "./endpoint_backend.js";

/** The part of the log that the endpoint writes to. */
export interface EndpointLog {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Takes the frames of one attempt, such as a gRPC stream. */
export interface FrameReader {
  write(frame: Frame): void;
  end(): void;
}

interface Reader {
  readonly sink: FrameReader;
  nextSequence: number;
}

interface RunnerOptions {
  readonly gate: Gate;
  readonly config: ConfigView;
  readonly backend: RunBackend;
  readonly log: EndpointLog;
  readonly getNowMs: () => number;
}

/** Longest wait for a revision that a dispatch names. */
const MAX_FETCH_MS = 2_000;
/**
 * An entry resumes a broken stream within seconds. Idempotent work that no one
 * reads after this time only holds a slot.
 */
const ORPHAN_MS = 10_000;

/** Logs a fault; `property` names the promise when an invariant failed. */
export function reportFault(
  log: EndpointLog,
  source: string,
  error: unknown,
): void {
  const property = error instanceof InvariantError ? error.property : "";
  log.error({ source, property, error: `${error}` }, "gate fault");
}

export class EndpointRunner {
  readonly #options: RunnerOptions;
  readonly #requests = new Map<string, DispatchRequest>();
  readonly #readers = new Map<string, Set<Reader>>();
  readonly #aborts = new Map<string, AbortController>();
  /** Since when each attempt that has not ended is without a reader. */
  readonly #orphanedSinceMs = new Map<string, number>();

  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  handle(event: GateEvent): void {
    const { gate, getNowMs, log } = this.#options;
    try {
      this.#apply(gate.handle(event, getNowMs()));
    } catch (error) {
      reportFault(log, event.type, error);
    }
  }

  /** Called every `TICK_MS`. */
  tick(): void {
    this.handle({ type: "tick" });
    const oldestMs = this.#options.getNowMs() - ORPHAN_MS;
    for (const [key, sinceMs] of this.#orphanedSinceMs) {
      if (sinceMs > oldestMs) continue;
      this.#orphanedSinceMs.delete(key);
      this.handle({ type: "cancel", key });
    }
  }

  /** Starts a dispatch; gives the function that detaches its reader. */
  dispatch(request: DispatchRequest, sink: FrameReader): () => void {
    const { gate, getNowMs } = this.#options;
    const key = createAttemptKey(request.requestId, request.attempt);
    const decisions = gate.handle({ type: "dispatch", request }, getNowMs());
    const rejected = decisions.find((decision) => decision.type === "reject");
    if (rejected?.type === "reject") {
      this.#writeRefusal({ ...request, sequence: 0 }, rejected.refusal, sink);
      this.#apply(decisions);
      return () => undefined;
    }
    this.#requests.set(key, request);
    const detach = this.#addReader(key, 0, sink);
    this.#apply(decisions);
    return detach;
  }

  /** Sends the frames of an attempt again, from a sequence number on. */
  resume(request: ResumeRequest, sink: FrameReader): () => void {
    const { requestId, attempt, fromSequence } = request;
    const key = createAttemptKey(requestId, attempt);
    const frames = this.#options.gate.findAttempt(key)?.frames;
    if (frames?.listFrom(fromSequence) !== undefined) {
      return this.#addReader(key, fromSequence, sink);
    }
    const detail = `Frames of attempt "${key}" are not kept from ${fromSequence} on`;
    const refusal = createRefusal("outcome-unknown", detail);
    const place = { requestId, attempt, sequence: fromSequence };
    this.#writeRefusal(place, refusal, sink);
    return () => undefined;
  }

  cancel(request: CancelRequest): void {
    const key = createAttemptKey(request.requestId, request.attempt);
    this.handle({ type: "cancel", key });
  }

  lookUp(request: LookUpAttemptRequest): LookUpAttemptReply {
    const { gate, getNowMs } = this.#options;
    const { reply, decisions } = gate.lookUp(request, getNowMs());
    this.#apply(decisions);
    return reply;
  }

  /** Ends running work at the end of a graceful shutdown. */
  abortAll(): void {
    for (const controller of this.#aborts.values()) controller.abort();
  }

  #addReader(key: string, from: number, sink: FrameReader): () => void {
    const reader: Reader = { sink, nextSequence: from };
    const readers = this.#readers.get(key) ?? new Set();
    readers.add(reader);
    this.#readers.set(key, readers);
    this.#orphanedSinceMs.delete(key);
    const frames = this.#options.gate.findAttempt(key)?.frames.listFrom(from);
    for (const frame of frames ?? []) this.#send(key, reader, frame);
    return () => this.#removeReader(key, reader);
  }

  #removeReader(key: string, reader: Reader): void {
    const readers = this.#readers.get(key);
    if (readers?.delete(reader) !== true || readers.size > 0) return;
    this.#readers.delete(key);
    const { gate, getNowMs } = this.#options;
    const attempt = gate.findAttempt(key);
    if (attempt === undefined || attempt.state === "ended") return;
    this.#orphanedSinceMs.set(key, getNowMs());
  }

  #send(key: string, reader: Reader, frame: Frame): void {
    if (frame.sequence !== reader.nextSequence) return;
    reader.nextSequence += 1;
    reader.sink.write(frame);
    if (frame.chunk !== undefined) return;
    reader.sink.end();
    this.#removeReader(key, reader);
  }

  #broadcast(key: string, frame: Frame): void {
    if (frame.chunk === undefined) {
      this.#requests.delete(key);
      this.#orphanedSinceMs.delete(key);
    }
    for (const reader of [...(this.#readers.get(key) ?? [])]) {
      this.#send(key, reader, frame);
    }
  }

  #apply(decisions: readonly GateDecision[]): void {
    for (const decision of decisions) {
      match(decision)
        .with({ type: "start" }, ({ key }) => this.#start(key))
        .with({ type: "fetch" }, (fetch) => void this.#fetch(fetch))
        .with({ type: "frame" }, ({ key, frame }) =>
          this.#broadcast(key, frame),
        )
        .with({ type: "abort" }, ({ key }) => this.#aborts.get(key)?.abort())
        .with({ type: "reject" }, () => undefined)
        .exhaustive();
    }
  }

  #start(key: string): void {
    const { gate, backend } = this.#options;
    const request = this.#requests.get(key);
    const attempt = gate.findAttempt(key);
    if (request === undefined || attempt === undefined) return;
    this.#requests.delete(key);
    const controller = new AbortController();
    this.#aborts.set(key, controller);
    const backendRequest = createBackendRequest({
      ...request,
      priority: attempt.request.priority,
      idempotent: attempt.idempotent,
    });
    const onChunk = (data: Uint8Array) => {
      const frame = gate.appendChunk(key, data);
      if (frame !== undefined) this.#broadcast(key, frame);
    };
    const { signal } = controller;
    void runBackend(backend, backendRequest, { onChunk, signal }).then(
      (outcome) => {
        this.#aborts.delete(key);
        this.handle({ type: "finished", key, outcome });
      },
    );
  }

  async #fetch(decision: GateDecision & { type: "fetch" }): Promise<void> {
    const { config, log } = this.#options;
    const { key, revision } = decision;
    const waitMs = Math.max(1, Math.min(decision.remainingMs, MAX_FETCH_MS));
    try {
      await config.fetchRevision(revision, AbortSignal.timeout(waitMs));
    } catch (error) {
      log.warn({ revision, error: `${error}` }, "fetch of a revision failed");
    }
    this.handle({ type: "fetched", key });
  }

  #writeRefusal(
    place: Pick<Frame, "requestId" | "attempt" | "sequence">,
    refusal: Refusal,
    sink: FrameReader,
  ): void {
    const { requestId, attempt, sequence } = place;
    const { revision } = this.#options.config.state;
    const body = createRefusalFrameBody(refusal, revision);
    sink.write({ requestId, attempt, sequence, ...body });
    sink.end();
  }
}
