/** Tells whether an answer is the rest of a stream that broke off. */

import { isEventStream } from "./send_answer.js";
import type { AttemptHead } from "./send_attempt.js";
import { type WaitOptions, waitForData } from "./wait_for_data.js";

const STATUS_OK = 200;

export interface ResumeFault {
  readonly detail: string;
  /** The connection ended before the answer was complete. */
  readonly isCut: boolean;
}

/** Says why an answer is not the rest of a stream, as far as can be told. */
export async function findResumeFault(
  head: AttemptHead,
  options: WaitOptions,
): Promise<ResumeFault | undefined> {
  const { status, message } = head;
  if (status !== STATUS_OK || !isEventStream(head)) {
    const type = message.headers["content-type"] ?? "no type";
    const detail = `Status ${status} with ${type} does not resume a stream`;
    return { detail, isCut: false };
  }
  if (await waitForData(message, options)) return undefined;
  // It may be empty for other reasons than that nothing is left to send.
  const detail = "The answer that resumes the stream is empty";
  return { detail, isCut: message.destroyed && !message.complete };
}
