/** Carries out the gate's decisions and sends frames to their subscribers. */

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
} from "./run_backend.js";

/** The part of the log that the endpoint writes to. */
export interface EndpointLog {
  info(fields: object, message: string): void;
  warn(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Receives the frames of one attempt, such as a gRPC stream. */
export interface FrameSink {
  write(frame: Frame): void;
  end(): void;
}

interface FrameSubscriber {
  readonly sink: FrameSink;
  nextSequence: number;
}

interface EndpointRunnerOptions {
  readonly gate: Gate;
  readonly config: ConfigView;
  readonly backend: RunBackend;
  readonly log: EndpointLog;
  readonly getNowMs: () => number;
}

/** Longest wait for a configuration revision that a dispatch requires. */
const MAX_REVISION_FETCH_MS = 2_000;
/**
 * Time without a subscriber after which an attempt is cancelled. An entry
 * resumes a broken stream within seconds; idempotent work that no one reads
 * after this time only occupies a slot.
 */
const ORPHAN_TIMEOUT_MS = 10_000;

/** Logs an error; `property` is the guarantee of a failed invariant check. */
export function reportFault(
  log: EndpointLog,
  source: string,
  error: unknown,
): void {
  const property = error instanceof InvariantError ? error.property : "";
  log.error({ source, property, error: `${error}` }, "gate fault");
}

export class EndpointRunner {
  readonly #options: EndpointRunnerOptions;
  /** Requests of the attempts that have not started yet. */
  readonly #requestsToStart = new Map<string, DispatchRequest>();
  readonly #subscribers = new Map<string, Set<FrameSubscriber>>();
  readonly #abortControllers = new Map<string, AbortController>();
  /** When each attempt that has not ended lost its last subscriber. */
  readonly #orphanedSinceMs = new Map<string, number>();

  constructor(options: EndpointRunnerOptions) {
    this.#options = options;
  }

  handle(event: GateEvent): void {
    const { gate, getNowMs, log } = this.#options;
    try {
      this.#applyDecisions(gate.handle(event, getNowMs()));
    } catch (error) {
      reportFault(log, event.type, error);
    }
  }

  /** Called every `TICK_MS`. */
  tick(): void {
    this.handle({ type: "tick" });
    const cutoffMs = this.#options.getNowMs() - ORPHAN_TIMEOUT_MS;
    for (const [key, sinceMs] of this.#orphanedSinceMs) {
      if (sinceMs > cutoffMs) continue;
      this.#orphanedSinceMs.delete(key);
      this.handle({ type: "cancel", key });
    }
  }

  /** Starts a dispatch; returns a function that detaches its subscriber. */
  dispatch(request: DispatchRequest, sink: FrameSink): () => void {
    const { gate, getNowMs } = this.#options;
    const key = createAttemptKey(request.requestId, request.attempt);
    const decisions = gate.handle({ type: "dispatch", request }, getNowMs());
    const rejection = decisions.find((decision) => decision.type === "reject");
    if (rejection?.type === "reject") {
      this.#writeRefusal({ ...request, sequence: 0 }, rejection.refusal, sink);
      this.#applyDecisions(decisions);
      return () => undefined;
    }
    this.#requestsToStart.set(key, request);
    const detach = this.#addSubscriber(key, 0, sink);
    this.#applyDecisions(decisions);
    return detach;
  }

  /** Sends the frames of an attempt again, starting at a sequence number. */
  resume(request: ResumeRequest, sink: FrameSink): () => void {
    const { requestId, attempt, fromSequence } = request;
    const key = createAttemptKey(requestId, attempt);
    const frames = this.#options.gate.findAttempt(key)?.frames;
    if (frames?.listFrom(fromSequence) !== undefined) {
      return this.#addSubscriber(key, fromSequence, sink);
    }
    const detail = `Frames of attempt "${key}" are not kept from ${fromSequence} on`;
    const refusal = createRefusal("outcome-unknown", detail);
    const position = { requestId, attempt, sequence: fromSequence };
    this.#writeRefusal(position, refusal, sink);
    return () => undefined;
  }

  cancel(request: CancelRequest): void {
    const key = createAttemptKey(request.requestId, request.attempt);
    this.handle({ type: "cancel", key });
  }

  lookUp(request: LookUpAttemptRequest): LookUpAttemptReply {
    const { gate, getNowMs } = this.#options;
    const { reply, decisions } = gate.lookUp(request, getNowMs());
    this.#applyDecisions(decisions);
    return reply;
  }

  /** Aborts running work at the end of a graceful shutdown. */
  abortAll(): void {
    for (const controller of this.#abortControllers.values())
      controller.abort();
  }

  #addSubscriber(
    key: string,
    fromSequence: number,
    sink: FrameSink,
  ): () => void {
    const subscriber: FrameSubscriber = { sink, nextSequence: fromSequence };
    const subscribers = this.#subscribers.get(key) ?? new Set();
    subscribers.add(subscriber);
    this.#subscribers.set(key, subscribers);
    this.#orphanedSinceMs.delete(key);
    const frames = this.#options.gate
      .findAttempt(key)
      ?.frames.listFrom(fromSequence);
    for (const frame of frames ?? []) this.#sendFrame(key, subscriber, frame);
    return () => this.#removeSubscriber(key, subscriber);
  }

  #removeSubscriber(key: string, subscriber: FrameSubscriber): void {
    const subscribers = this.#subscribers.get(key);
    if (subscribers?.delete(subscriber) !== true || subscribers.size > 0)
      return;
    this.#subscribers.delete(key);
    const { gate, getNowMs } = this.#options;
    const attempt = gate.findAttempt(key);
    if (attempt === undefined || attempt.state === "ended") return;
    this.#orphanedSinceMs.set(key, getNowMs());
  }

  #sendFrame(key: string, subscriber: FrameSubscriber, frame: Frame): void {
    if (frame.sequence !== subscriber.nextSequence) return;
    subscriber.nextSequence += 1;
    subscriber.sink.write(frame);
    if (frame.chunk !== undefined) return;
    subscriber.sink.end();
    this.#removeSubscriber(key, subscriber);
  }

  #broadcast(key: string, frame: Frame): void {
    if (frame.chunk === undefined) {
      this.#requestsToStart.delete(key);
      this.#orphanedSinceMs.delete(key);
    }
    for (const subscriber of [...(this.#subscribers.get(key) ?? [])]) {
      this.#sendFrame(key, subscriber, frame);
    }
  }

  #applyDecisions(decisions: readonly GateDecision[]): void {
    for (const decision of decisions) {
      match(decision)
        .with({ type: "start" }, ({ key }) => this.#startRun(key))
        .with({ type: "fetch" }, (fetch) => void this.#fetchRevision(fetch))
        .with({ type: "frame" }, ({ key, frame }) =>
          this.#broadcast(key, frame),
        )
        .with({ type: "abort" }, ({ key }) =>
          this.#abortControllers.get(key)?.abort(),
        )
        .with({ type: "reject" }, () => undefined)
        .exhaustive();
    }
  }

  #startRun(key: string): void {
    const { gate, backend } = this.#options;
    const request = this.#requestsToStart.get(key);
    const attempt = gate.findAttempt(key);
    if (request === undefined || attempt === undefined) return;
    this.#requestsToStart.delete(key);
    const controller = new AbortController();
    this.#abortControllers.set(key, controller);
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
        this.#abortControllers.delete(key);
        this.handle({ type: "finished", key, outcome });
      },
    );
  }

  async #fetchRevision(
    decision: GateDecision & { type: "fetch" },
  ): Promise<void> {
    const { config, log } = this.#options;
    const { key, revision } = decision;
    const waitMs = Math.max(
      1,
      Math.min(decision.remainingMs, MAX_REVISION_FETCH_MS),
    );
    try {
      await config.fetchRevision(revision, AbortSignal.timeout(waitMs));
    } catch (error) {
      log.warn({ revision, error: `${error}` }, "fetching a revision failed");
    }
    this.handle({ type: "fetched", key });
  }

  #writeRefusal(
    position: Pick<Frame, "requestId" | "attempt" | "sequence">,
    refusal: Refusal,
    sink: FrameSink,
  ): void {
    const { requestId, attempt, sequence } = position;
    const { revision } = this.#options.config.state;
    const body = createRefusalFrameBody(refusal, revision);
    sink.write({ requestId, attempt, sequence, ...body });
    sink.end();
  }
}
