/** A caller that writes its requests byte by byte, as no client library does. */

import { connect, type Socket } from "node:net";
import { API_KEY, HOST } from "./entry_fixtures_test.js";

export interface RawAnswer {
  readonly status: number;
  readonly requestId: string;
  readonly isLastOfConnection: boolean;
}

export interface RequestTextOptions {
  readonly path?: string;
  readonly method?: string;
  readonly httpVersion?: string;
  /** Further lines of the head. */
  readonly lines?: readonly string[];
  readonly body?: string;
  /** The `Content-Length`, where it is not that of the body. */
  readonly bodyBytes?: number;
}

export function createRequestText(
  id: string,
  options: RequestTextOptions = {},
): string {
  const { path = "/safe/a", method = "POST", body = "order" } = options;
  const { httpVersion = "1.1", lines = [], bodyBytes = body.length } = options;
  const head = [
    `${method} ${path} HTTP/${httpVersion}`,
    `Host: ${HOST}`,
    `Attempt-Id: ${id}`,
    `Authorization: Bearer ${API_KEY}`,
    "Deadline-Ms: 4000",
    `Content-Length: ${bodyBytes}`,
    ...lines,
  ];
  return `${head.join("\r\n")}\r\n\r\n${body}`;
}

/** Parses answers with a length; an incomplete one at the end is left out. */
export function parseAnswers(text: string): RawAnswer[] {
  const answers: RawAnswer[] = [];
  let rest = text;
  for (;;) {
    const headEnd = rest.indexOf("\r\n\r\n");
    if (headEnd < 0) return answers;
    const head = rest.slice(0, headEnd);
    if (!head.startsWith("HTTP/1.")) return answers;
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    if (rest.length < headEnd + 4 + length) return answers;
    answers.push({
      status: Number(/^HTTP\/1\.[01] (\d+) /.exec(head)?.[1]),
      requestId: /^attempt-id: (.*)$/im.exec(head)?.[1] ?? "",
      isLastOfConnection: /^connection: close$/im.test(head),
    });
    rest = rest.slice(headEnd + 4 + length);
  }
}

export class RawCaller {
  readonly socket: Socket;
  text = "";
  isClosed = false;
  /** The error of the connection, such as ECONNRESET. */
  error?: NodeJS.ErrnoException;

  constructor(port: number) {
    this.socket = connect(port, "127.0.0.1");
    this.socket.on("error", (error) => {
      this.error = error;
    });
    this.socket.on("data", (data) => {
      this.text += data.toString();
    });
    this.socket.once("close", () => {
      this.isClosed = true;
    });
  }

  get answers(): readonly RawAnswer[] {
    return parseAnswers(this.text);
  }

  write(text: string): void {
    this.socket.write(text);
  }

  close(): void {
    this.socket.destroy();
  }
}

/** Keeps this process from running timers and reading connections. */
export function blockEventLoop(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}
