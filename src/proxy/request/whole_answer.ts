/** Tells whether the answer of an endpoint is complete. */

import type { ClientRequest, IncomingMessage } from "node:http";
import {
  hasLength,
  isWholeMessage,
  startEndCheck,
} from "../../adapters/answer_end.js";

/** Lowest status of an answer that is a failure. */
export const MIN_ERROR_STATUS = 400;
/** Successes that have no body, whatever their headers. */
const BODYLESS_STATUSES = [204, 304];
/** Answers of which an empty body is no proof that they are complete. */
const answersWithRequiredBody = new WeakSet<IncomingMessage>();

/**
 * True for a success that ends with its connection. Without a body it looks
 * like one whose endpoint stopped before the body and its length.
 */
function isBodyRequired(message: IncomingMessage, method: string): boolean {
  const { statusCode = 0 } = message;
  return (
    !hasLength(message) &&
    method !== "HEAD" &&
    statusCode < MIN_ERROR_STATUS &&
    !BODYLESS_STATUSES.includes(statusCode)
  );
}

/** To be called with the head of an answer, before `isWholeAnswer`. */
export function startAnswerCheck(
  outgoing: ClientRequest,
  message: IncomingMessage,
): void {
  startEndCheck(outgoing, message);
  if (isBodyRequired(message, outgoing.method))
    answersWithRequiredBody.add(message);
}

/** True when an answer that ended after `bodyBytes` is complete. */
export function isWholeAnswer(
  message: IncomingMessage,
  bodyBytes: number,
): boolean {
  if (bodyBytes === 0 && answersWithRequiredBody.has(message)) return false;
  return isWholeMessage(message);
}

/** Says why an answer that has ended is not complete. */
export function describeEarlyEnd(message: IncomingMessage): string {
  const reason = message.socket?.errored?.message ?? "its body is missing";
  return `Answer ended early: ${reason}`;
}
