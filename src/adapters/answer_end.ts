/**
 * Tells whether an answer over HTTP is complete. One without a length ends with
 * its connection, and Node reports it as complete however that has ended.
 */

import type { ClientRequest, IncomingMessage } from "node:http";

/** The only transfer coding that Node's parser decodes, if it is the last. */
const CHUNKED = "chunked";
/** Codings that leave the body as it is; an empty one counts as none. */
const IDENTITY_CODINGS = ["identity", ""];

/** Transfer codings, outermost last. */
function listTransferCodings({ headers }: IncomingMessage): string[] {
  return (headers["transfer-encoding"] ?? "")
    .split(",")
    .map((coding) => coding.trim().toLowerCase());
}

/** A transfer coding that Node's parser leaves in the body. */
export function findUndecodedCoding(
  message: IncomingMessage,
): string | undefined {
  const codings = listTransferCodings(message);
  const isChunked = codings.at(-1) === CHUNKED;
  return codings.find(
    (coding) =>
      !IDENTITY_CODINGS.includes(coding) && !(isChunked && coding === CHUNKED),
  );
}

/** True when the answer's own framing marks its end. */
export function hasLength(message: IncomingMessage): boolean {
  return (
    message.headers["content-length"] !== undefined ||
    listTransferCodings(message).at(-1) === CHUNKED
  );
}

/** HTTP servers ignore an empty line before a request. */
const EMPTY_LINE = "\r\n";

/**
 * To be called with the head of each answer; breaks the connection of one
 * without a length where its end does not prove that the answer is complete.
 *
 * When data and a reset arrive together, libuv reports the end of the stream
 * and the error never or later. A write at that point fails only if the
 * connection was reset. While the request is still being sent, such a write
 * would wait behind it, and even a regular end comes from a server that has not
 * had the whole request: one that crashes just after a read ends so too.
 */
export function startEndCheck(
  outgoing: ClientRequest,
  message: IncomingMessage,
): void {
  if (hasLength(message)) return;
  const { socket } = message;
  socket.allowHalfOpen = true;
  socket.prependOnceListener("end", () => {
    if (outgoing.writableFinished) socket.write(EMPTY_LINE);
    else socket.destroy(new Error("It ended before its request was sent"));
  });
}

/** True when an answer that has ended is complete. See `startEndCheck`. */
export function isWholeMessage(message: IncomingMessage): boolean {
  return (
    message.complete &&
    !message.socket?.errored &&
    findUndecodedCoding(message) === undefined
  );
}
