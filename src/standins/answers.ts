/**
 * Answer texts of the engine stand-in. Each names its request and ends with
 * its chunk count and a checksum, so that a test can detect an answer that is
 * incomplete, changed or belongs to another request.
 */

import { hashSha256 } from "../core/canonical.js";

/** Marks an answer as not acceptable; the rating service looks for it. */
export const BAD_ANSWER_MARKER = "[unacceptable]";

export interface AnswerSpec {
  readonly requestId: string;
  readonly version: string;
  /** Number of chunks of the text, header and trailer included. */
  readonly chunks: number;
  readonly acceptable: boolean;
}

const FILLER_WORDS = ["valve", "rotor", "flange", "strand", "gauge", "bearing"];
/** A header and a trailer. */
const MIN_CHUNKS = 2;

function hashText(text: string): string {
  return hashSha256(text).slice(0, 16);
}

/** Returns the chunks of an answer. */
export function createAnswer(spec: AnswerSpec): string[] {
  const count = Math.max(MIN_CHUNKS, spec.chunks);
  const marker = spec.acceptable ? "" : ` ${BAD_ANSWER_MARKER}`;
  const chunks = [`answer ${spec.requestId} version=${spec.version}${marker}`];
  while (chunks.length < count - 1) {
    chunks.push(
      ` ${FILLER_WORDS[chunks.length % FILLER_WORDS.length]}${chunks.length}`,
    );
  }
  chunks.push(` end chunks=${count} sha=${hashText(chunks.join(""))}`);
  return chunks;
}

export interface AnswerCheck {
  /** False when the text is incomplete or its checksum doesn't match. */
  readonly isWhole: boolean;
  readonly requestId?: string;
  readonly version?: string;
  readonly chunks?: number;
  readonly acceptable: boolean;
}

/** Checks the text that a caller received. */
export function checkAnswer(text: string): AnswerCheck {
  const acceptable = !text.includes(BAD_ANSWER_MARKER);
  const header = /^answer (\S+) version=(\S+)/.exec(text);
  const trailer = / end chunks=(\d+) sha=([0-9a-f]{16})$/.exec(text);
  if (header === null || trailer === null)
    return { isWhole: false, acceptable };
  const isWhole = hashText(text.slice(0, trailer.index)) === trailer[2];
  const [, requestId, version] = header;
  return {
    isWhole,
    requestId,
    version,
    chunks: Number(trailer[1]),
    acceptable,
  };
}
