/**
 * Runs one attempt at an endpoint's gate: checks the frames' order and turns
 * the stream into a few callbacks. A broken stream is resumed once.
 */

import {
  type ClientReadableStream,
  Metadata,
  type ServiceError,
} from "@grpc/grpc-js";
import {
  createRefusal,
  isRefusalCode,
  type Ran,
  type Refusal,
} from "../core/index.js";
import type {
  DispatchRequest,
  End,
  Frame,
  GateClient,
  RefusalFrame,
} from "../schema/index.js";

export interface AttemptHandlers {
  onChunk(chunk: Uint8Array): void;
  onEnd(end: End): void;
  /** `ran` in the refusal says whether the engine or service was reached. */
  onRefusal(refusal: Refusal, revision: number): void;
}

const RESUME_DELAY_MS = 200;
const MAX_RESUMES = 2;

function parseRan(text: string): Ran {
  return text === "no" || text === "yes" ? text : "unknown";
}

/** Turns a refusal frame into a typed refusal; an unknown code may have run. */
export function parseRefusalFrame(frame: RefusalFrame): Refusal {
  const code = isRefusalCode(frame.code) ? frame.code : "outcome-unknown";
  return createRefusal(code, frame.detail, {
    ran: parseRan(frame.ran),
    retryAfterMs: frame.retryAfterMs,
  });
}

/** Dispatches an attempt; `signal` cancels it. */
export class AttemptCall {
  readonly #client: GateClient;
  readonly #request: DispatchRequest;
  readonly #handlers: AttemptHandlers;
  readonly #signal: AbortSignal;
  #nextSequence = 0;
  #chunks = 0;
  #resumes = 0;
  #settled = false;

  constructor(
    client: GateClient,
    request: DispatchRequest,
    options: { handlers: AttemptHandlers; signal: AbortSignal },
  ) {
    this.#client = client;
    this.#request = request;
    this.#handlers = options.handlers;
    this.#signal = options.signal;
  }

  start(): void {
    const { requestId, attempt } = this.#request;
    this.#signal.addEventListener(
      "abort",
      () => {
        if (this.#settled) return;
        this.#client.cancel({ requestId, attempt }, () => {});
        // The caller of the attempt must not wait for ever.
        this.#fail("The attempt was cancelled");
      },
      { once: true },
    );
    this.#read(this.#client.dispatch(this.#request, new Metadata()));
  }

  #read(stream: ClientReadableStream<Frame>): void {
    const cancel = () => stream.cancel();
    this.#signal.addEventListener("abort", cancel, { once: true });
    stream.on("data", (frame: Frame) => this.#handleFrame(frame));
    let broken = false;
    const handleBreak = (detail: string) => {
      if (broken) return;
      broken = true;
      this.#signal.removeEventListener("abort", cancel);
      this.#handleBreak(detail);
    };
    stream.on("error", (error: ServiceError) => handleBreak(error.message));
    stream.on("end", () => handleBreak("Stream ended without its last frame"));
  }

  #handleFrame(frame: Frame): void {
    if (this.#settled) return;
    const { requestId, attempt } = this.#request;
    // A frame of another attempt, or one seen before a resume, is not ours.
    if (frame.requestId !== requestId || frame.attempt !== attempt) return;
    if (frame.sequence < this.#nextSequence) return;
    if (frame.sequence > this.#nextSequence) {
      this.#fail(`Frame ${this.#nextSequence} is missing`);
      return;
    }
    this.#nextSequence += 1;
    if (frame.chunk !== undefined) {
      this.#chunks += 1;
      this.#handlers.onChunk(frame.chunk.data);
    } else if (frame.end !== undefined) this.#handleEnd(frame.end);
    else if (frame.refusal !== undefined) this.#handleRefusal(frame.refusal);
  }

  #handleEnd(end: End): void {
    if (end.chunks !== this.#chunks) {
      this.#fail(`Got ${this.#chunks} of ${end.chunks} chunks`);
      return;
    }
    this.#settled = true;
    this.#handlers.onEnd(end);
  }

  #handleRefusal(frame: RefusalFrame): void {
    this.#settled = true;
    this.#handlers.onRefusal(parseRefusalFrame(frame), frame.revision);
  }

  #handleBreak(detail: string): void {
    if (this.#settled) return;
    if (this.#resumes >= MAX_RESUMES) {
      this.#fail(detail);
      return;
    }
    this.#resumes += 1;
    setTimeout(() => {
      if (this.#settled) return;
      const { requestId, attempt } = this.#request;
      const fromSequence = this.#nextSequence;
      this.#read(
        this.#client.resume(
          { requestId, attempt, fromSequence },
          new Metadata(),
        ),
      );
    }, RESUME_DELAY_MS);
  }

  #fail(detail: string): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#handlers.onRefusal(createRefusal("outcome-unknown", detail), 0);
  }
}
