/** The numbered frames of one attempt, kept so that a reader can resume. */

import type { Frame } from "../schema/index.js";
import { assertInvariant, type Refusal } from "./errors.js";

export type FrameBody = Pick<Frame, "chunk" | "end" | "refusal">;

/** `revision` is the highest configuration revision that the sender knows. */
export function createRefusalFrameBody(
  refusal: Refusal,
  revision: number,
): FrameBody {
  const { code, ran, detail, retryAfterMs } = refusal;
  return { refusal: { code, ran, detail, retryAfterMs, revision } };
}

/** Most bytes kept per attempt; a request or answer body is at most 1 MB. */
export const MAX_FRAME_BYTES = 2_000_000;

/**
 * Heap memory of a frame, its chunk and its buffer in V8. Chunks are a few
 * bytes long, so counting only bodies would underestimate the memory about
 * fifty times.
 */
const FRAME_OVERHEAD_BYTES = 400;

/** Frames are numbered from 0; exactly one last frame closes the log. */
export class FrameLog {
  readonly #requestId: string;
  readonly #attempt: number;
  #frames: Frame[] = [];
  #nextSequence = 0;
  #bytes = 0;
  #lastFrame: Frame | undefined;

  constructor(requestId: string, attempt: number) {
    this.#requestId = requestId;
    this.#attempt = attempt;
  }

  get lastFrame(): Frame | undefined {
    return this.#lastFrame;
  }

  get nextSequence(): number {
    return this.#nextSequence;
  }

  /** Estimated memory of the frames that the log keeps. */
  get bytes(): number {
    return this.#bytes;
  }

  append(body: FrameBody): Frame {
    assertInvariant(
      this.#lastFrame === undefined,
      "wrongOrPartialAnswer",
      `attempt "${this.#requestId}/${this.#attempt}" has a frame after its last one`,
    );
    const frame: Frame = {
      requestId: this.#requestId,
      attempt: this.#attempt,
      sequence: this.#nextSequence,
      ...body,
    };
    this.#nextSequence += 1;
    this.#frames.push(frame);
    this.#bytes += estimateFrameBytes(frame);
    if (body.chunk === undefined) this.#lastFrame = frame;
    this.#dropOldest();
    return frame;
  }

  /**
   * Frames from a sequence number on; `undefined` when some of them are no
   * longer kept or the number is beyond the next frame.
   */
  listFrom(sequence: number): Frame[] | undefined {
    const firstKept = this.#nextSequence - this.#frames.length;
    if (sequence < firstKept || sequence > this.#nextSequence) return undefined;
    return this.#frames.slice(sequence - firstKept);
  }

  #dropOldest(): void {
    while (this.#bytes > MAX_FRAME_BYTES && this.#frames.length > 1) {
      const dropped = this.#frames.shift();
      if (dropped !== undefined) this.#bytes -= estimateFrameBytes(dropped);
    }
  }
}

function estimateFrameBytes(frame: Frame): number {
  const { chunk, end } = frame;
  const bodyBytes = (chunk?.data.length ?? 0) + (end?.body.length ?? 0);
  return FRAME_OVERHEAD_BYTES + bodyBytes;
}
