import type { IncomingMessage } from "node:http";

/** Resolves to whether an answer has data; its readers get all of it later. */
export function waitForData(message: IncomingMessage): Promise<boolean> {
  return new Promise((resolve) => {
    const settle = () => {
      message.off("readable", settle);
      message.off("close", settle);
      resolve(message.readableLength > 0);
    };
    message.once("readable", settle);
    message.once("close", settle);
    if (message.destroyed) settle();
  });
}
