/**
 * Sends one attempt to an endpoint's gate and reports its frames to callbacks.
 * Checks that no frame is missing; a broken stream is resumed up to
 * MAX_RESUMES times.
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
  /** `refusal.ran` says whether the engine or service may have run the call. */
  onRefusal(refusal: Refusal, revision: number): void;
}

const RESUME_DELAY_MS = 200;
const MAX_RESUMES = 2;

function parseRan(text: string): Ran {
  return text === "no" || text === "yes" ? text : "unknown";
}

/** Parses a refusal frame; an unknown code becomes `outcome-unknown`. */
export function parseRefusalFrame(frame: RefusalFrame): Refusal {
  const code = isRefusalCode(frame.code) ? frame.code : "outcome-unknown";
  return createRefusal(code, frame.detail, {
    ran: parseRan(frame.ran),
    retryAfterMs: frame.retryAfterMs,
  });
}

/** One dispatched attempt; `signal` cancels it. */
export class AttemptCall {
  readonly #client: GateClient;
  readonly #request: DispatchRequest;
  readonly #handlers: AttemptHandlers;
  readonly #signal: AbortSignal;
  #nextSequence = 0;
  #chunkCount = 0;
  #resumeCount = 0;
  #isSettled = false;

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
        if (this.#isSettled) return;
        this.#client.cancel({ requestId, attempt }, () => {});
        // No frame follows a cancel, so the outcome is reported here.
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
    let isBroken = false;
    const handleBrokenStream = (detail: string) => {
      if (isBroken) return;
      isBroken = true;
      this.#signal.removeEventListener("abort", cancel);
      this.#handleBrokenStream(detail);
    };
    stream.on("error", (error: ServiceError) =>
      handleBrokenStream(error.message),
    );
    stream.on("end", () =>
      handleBrokenStream("Stream ended without its last frame"),
    );
  }

  #handleFrame(frame: Frame): void {
    if (this.#isSettled) return;
    const { requestId, attempt } = this.#request;
    // Ignores frames of other attempts, and those read before a resume.
    if (frame.requestId !== requestId || frame.attempt !== attempt) return;
    if (frame.sequence < this.#nextSequence) return;
    if (frame.sequence > this.#nextSequence) {
      this.#fail(`Frame ${this.#nextSequence} is missing`);
      return;
    }
    this.#nextSequence += 1;
    if (frame.chunk !== undefined) {
      this.#chunkCount += 1;
      this.#handlers.onChunk(frame.chunk.data);
    } else if (frame.end !== undefined) this.#handleEnd(frame.end);
    else if (frame.refusal !== undefined) this.#handleRefusal(frame.refusal);
  }

  #handleEnd(end: End): void {
    if (end.chunks !== this.#chunkCount) {
      this.#fail(`Got ${this.#chunkCount} of ${end.chunks} chunks`);
      return;
    }
    this.#isSettled = true;
    this.#handlers.onEnd(end);
  }

  #handleRefusal(frame: RefusalFrame): void {
    this.#isSettled = true;
    this.#handlers.onRefusal(parseRefusalFrame(frame), frame.revision);
  }

  #handleBrokenStream(detail: string): void {
    if (this.#isSettled) return;
    if (this.#resumeCount >= MAX_RESUMES) {
      this.#fail(detail);
      return;
    }
    this.#resumeCount += 1;
    setTimeout(() => {
      if (this.#isSettled) return;
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
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#handlers.onRefusal(createRefusal("outcome-unknown", detail), 0);
  }
}
