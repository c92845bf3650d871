/** HTTP server for tests that writes its answers twice, as a faulty one may. */

import type { Socket } from "node:net";
import type { TestContext } from "node:test";
import { startRawServer } from "./testing.js";

/** When an answer is written once more on its connection. */
export const REPEAT_TIMES = [
  "with the answer",
  "in part with the answer",
  "on the idle connection",
  "after the next call",
] as const;
export type RepeatTime = (typeof REPEAT_TIMES)[number];

/** Time after an answer at which it is repeated on the idle connection, ms. */
const REPEAT_DELAY_MS = 10;

export interface ReceivedCall {
  readonly method: string;
  readonly path: string;
  readonly body: string;
}

export interface RepeatingServerOptions {
  readonly repeatTime: RepeatTime;
  /** Returns the status and the body of the answer to a call. */
  readonly answer: (call: ReceivedCall) => readonly [number, string];
}

/** Starts the server on a free port; it closes after the test. */
export async function startRepeatingServer(
  context: TestContext,
  { repeatTime, answer }: RepeatingServerOptions,
): Promise<{ port: number }> {
  const sendAnswer = (socket: Socket, text: string, left: string): string => {
    const half = Math.floor(text.length / 2);
    if (repeatTime === "with the answer") socket.write(text + text);
    if (repeatTime === "in part with the answer") {
      socket.write(left + text + text.slice(0, half));
      return text.slice(half);
    }
    if (repeatTime === "on the idle connection") {
      socket.write(text);
      setTimeout(() => socket.write(text), REPEAT_DELAY_MS);
    }
    if (repeatTime === "after the next call") {
      socket.write(left + text);
      return text;
    }
    return "";
  };
  const server = await startRawServer((socket, firstData) => {
    let received = "";
    let left = "";
    const handleData = (data: Buffer) => {
      received += data.toString();
      const call = parseCall(received);
      if (call === undefined) return;
      received = "";
      const [status, body] = answer(call);
      left = sendAnswer(socket, formatAnswer(status, body), left);
    };
    handleData(firstData);
    socket.on("data", handleData);
  });
  context.after(() => server.close());
  return { port: server.port };
}

/** Parses a call; `undefined` until all of it has arrived. */
function parseCall(text: string): ReceivedCall | undefined {
  const [head = "", body] = text.split("\r\n\r\n", 2);
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  if (body === undefined || body.length < length) return undefined;
  const [method = "", path = ""] = head.split(" ", 2);
  return { method, path, body };
}

function formatAnswer(status: number, body: string): string {
  return `HTTP/1.1 ${status} X\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}
