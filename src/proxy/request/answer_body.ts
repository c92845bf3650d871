/** What answers of endpoints may hold in memory while they arrive. */

import type { IncomingMessage } from "node:http";
import {
  type HeldMemory,
  MAX_ANSWER_BYTES,
  MAX_ANSWER_PAUSE_MS,
  RECEIVED_REFUSAL,
  ReceivedBody,
  SENDER,
  SMALL_BODY_BYTES,
} from "../../adapters/received/index.js";
import { InactivityTimer } from "./inactivity_timer.js";

/** Opens the body of an answer, which counts as held by its endpoint. */
export function openAnswerBody(
  { socket }: IncomingMessage,
  memory: HeldMemory,
): ReceivedBody {
  // Without a port, the connection has closed already.
  const port = socket?.remotePort;
  return new ReceivedBody({
    sender: SENDER.endpoint,
    maxBytes: MAX_ANSWER_BYTES,
    memory,
    endpoint:
      port === undefined ? undefined : `${socket.remoteAddress}:${port}`,
  });
}

/**
 * Gives up an answer that holds memory and stopped short of its end. A small one
 * may pause for as long as its caller waits.
 */
export function startPauseCheck(
  message: IncomingMessage,
  body: ReceivedBody,
  memory: HeldMemory,
  abandon: (detail: string) => void,
): void {
  const timer = new InactivityTimer(() => {
    if (body.sizeBytes <= SMALL_BODY_BYTES) return;
    memory.report(SENDER.endpoint, RECEIVED_REFUSAL.paused);
    abandon(`Nothing of a large answer for ${MAX_ANSWER_PAUSE_MS} ms`);
  }, MAX_ANSWER_PAUSE_MS);
  message.on("data", () => timer.refresh());
  message.once("close", () => timer.cancel());
}
