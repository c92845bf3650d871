/**
 * Answer texts of the engine stand-in. Each names its request and ends with
 * its chunk count and a checksum, so that a test can tell a whole and
 * uncrossed answer.
 */

import { createHash } from "node:crypto";

/** Stands in an answer that is not acceptable; the rating service looks for it. */
export const BAD_ANSWER_MARKER = "[unacceptable]";

export interface AnswerSpec {
  readonly requestId: string;
  readonly version: string;
  /** Chunks that the text is sent in, header and trailer included. */
  readonly chunks: number;
  readonly acceptable: boolean;
}

const WORDS = ["valve", "rotor", "flange", "strand", "gauge", "bearing"];
/** A header and a trailer. */
const MIN_CHUNKS = 2;

function sumText(text: string): string {
  return createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** Gives the chunks of an answer. */
export function createAnswer(spec: AnswerSpec): string[] {
  const count = Math.max(MIN_CHUNKS, spec.chunks);
  const mark = spec.acceptable ? "" : ` ${BAD_ANSWER_MARKER}`;
  const chunks = [`answer ${spec.requestId} version=${spec.version}${mark}`];
  while (chunks.length < count - 1) {
    chunks.push(` ${WORDS[chunks.length % WORDS.length]}${chunks.length}`);
  }
  chunks.push(` end chunks=${count} sha=${sumText(chunks.join(""))}`);
  return chunks;
}

export interface AnswerCheck {
  readonly whole: boolean;
  readonly requestId?: string;
  readonly version?: string;
  readonly chunks?: number;
  readonly acceptable: boolean;
}

/** Checks a text as a caller received it. */
export function checkAnswer(text: string): AnswerCheck {
  const acceptable = !text.includes(BAD_ANSWER_MARKER);
  const head = /^answer (\S+) version=(\S+)/.exec(text);
  const tail = / end chunks=(\d+) sha=([0-9a-f]{16})$/.exec(text);
  if (head === null || tail === null) return { whole: false, acceptable };
  const whole = sumText(text.slice(0, tail.index)) === tail[2];
  const [, requestId, version] = head;
  return { whole, requestId, version, chunks: Number(tail[1]), acceptable };
}
