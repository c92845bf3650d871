/**
 * Tells an endpoint's flood from an answer. A flood is bytes that bring nothing
 * of an answer, such as blank lines, informational heads, padding, comments, or
 * the framing of chunks of one byte.
 */

import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Bytes that need bring nothing; a head has 16,384 at most. */
const MAX_EXTRA_BYTES = 32_768;
/** Bytes for each that is used; a word of text in a chunk of its own needs 2. */
const MAX_RATIO = 3;

/** The answer was given up as a flood. */
export class FloodError extends Error {
  constructor(receivedBytes: number, bodyBytes: number) {
    super(`Flood: ${receivedBytes} bytes brought ${bodyBytes} of an answer`);
  }
}

/** True when an endpoint sent more bytes than those of use can explain. */
export function isFlood(receivedBytes: number, usedBytes: number): boolean {
  return receivedBytes > MAX_EXTRA_BYTES + MAX_RATIO * usedBytes;
}

/** Destroys a request, or its answer, when its connection is flooded. */
export function startFloodCheck(outgoing: ClientRequest, socket: Socket): void {
  let receivedBytes = 0;
  let readBytes = 0;
  let message: IncomingMessage | undefined;
  const check = (bytes: Buffer) => {
    receivedBytes += bytes.length;
    const bodyBytes = readBytes + (message?.readableLength ?? 0);
    if (!isFlood(receivedBytes, bodyBytes)) return;
    socket.off("data", check);
    const error = new FloodError(receivedBytes, bodyBytes);
    // The head may have come with these bytes, so nobody listens to it yet.
    setImmediate(() => (message ?? outgoing).destroy(error));
  };
  socket.on("data", check);
  outgoing.once("close", () => socket.off("data", check));
  outgoing.once("response", (answer) => {
    message = answer;
    // Unlike `on`, this does not start to read.
    answer.prependListener("data", (chunk: Buffer) => {
      readBytes += chunk.length;
    });
  });
}
