/** Carries out the gate's decisions and passes frames to their readers. */

import { match } from "ts-pattern";
import {
  createAttemptKey,
  type Gate,
  type GateDecision,
  type GateEvent,
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
import type { ConfigView } from "./config_view.js";
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

export class EndpointRunner {
  readonly #options: RunnerOptions;
  readonly #requests = new Map<string, DispatchRequest>();
  readonly #readers = new Map<string, Set<Reader>>();
  readonly #aborts = new Map<string, AbortController>();

  constructor(options: RunnerOptions) {
    this.#options = options;
  }

  handle(event: GateEvent): void {
    this.#apply(this.#options.gate.handle(event, this.#options.getNowMs()));
  }

  /** Starts a dispatch; gives the function that detaches its reader. */
  dispatch(request: DispatchRequest, sink: FrameReader): () => void {
    const { gate, getNowMs } = this.#options;
    const key = createAttemptKey(request.requestId, request.attempt);
    const decisions = gate.handle({ type: "dispatch", request }, getNowMs());
    const rejected = decisions.find((decision) => decision.type === "reject");
    if (rejected?.type === "reject") {
      this.#writeRefusal(request, rejected.refusal, sink);
      return () => undefined;
    }
    this.#requests.set(key, request);
    const detach = this.#addReader(key, 0, sink);
    this.#apply(decisions);
    return detach;
  }

  /** Sends frames from a sequence number on; `undefined` when not possible. */
  resume(request: ResumeRequest, sink: FrameReader): (() => void) | undefined {
    const key = createAttemptKey(request.requestId, request.attempt);
    const attempt = this.#options.gate.findAttempt(key);
    const frames = attempt?.frames.listFrom(request.fromSequence);
    if (frames === undefined) return undefined;
    return this.#addReader(key, request.fromSequence, sink);
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
    const frames = this.#options.gate.findAttempt(key)?.frames.listFrom(from);
    for (const frame of frames ?? []) this.#send(key, reader, frame);
    return () => this.#removeReader(key, reader);
  }

  #removeReader(key: string, reader: Reader): void {
    const readers = this.#readers.get(key);
    readers?.delete(reader);
    if (readers?.size === 0) this.#readers.delete(key);
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
    if (frame.chunk === undefined) this.#requests.delete(key);
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
    request: DispatchRequest,
    refusal: Refusal,
    sink: FrameReader,
  ): void {
    const { code, ran, detail, retryAfterMs } = refusal;
    const { revision } = this.#options.config.state;
    const { requestId, attempt } = request;
    sink.write({
      requestId,
      attempt,
      sequence: 0,
      refusal: { code, ran, detail, retryAfterMs, revision },
    });
    sink.end();
  }
}
