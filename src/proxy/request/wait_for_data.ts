import type { IncomingMessage } from "node:http";
import { StallTimer } from "./stall_timer.js";

export interface WaitOptions {
  /** Time after which the endpoint is silent, ms; unlimited if missing. */
  readonly stallTimeoutMs?: number;
  /** The endpoint is silent; called again for as long as it stays so. */
  readonly onStall: () => void;
}

/** Resolves to whether an answer has data; its readers get all of it later. */
export function waitForData(
  message: IncomingMessage,
  { stallTimeoutMs, onStall }: WaitOptions,
): Promise<boolean> {
  return new Promise((resolve) => {
    const stallTimer = new StallTimer(onStall, stallTimeoutMs);
    const settle = () => {
      stallTimer.cancel();
      message.off("readable", settle);
      message.off("close", settle);
      resolve(message.readableLength > 0);
    };
    message.once("readable", settle);
    message.once("close", settle);
    if (message.destroyed) settle();
  });
}
