/** HTTP calls of the test bed to 127.0.0.1. */

import { type IncomingHttpHeaders, request } from "node:http";

export interface HttpCallSpec {
  readonly port: number;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs?: number;
  /** Closes the connection, as a caller that gives up does. */
  readonly signal?: AbortSignal;
}

export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly text: string;
}

/** The connection ended before the answer was complete. */
export class CallBrokenError extends Error {
  override readonly name = "CallBrokenError";
}

const DEFAULT_TIMEOUT_MS = 10_000;

/** Sends a call on a new connection and reads the whole answer. */
export function callHttp(spec: HttpCallSpec): Promise<HttpAnswer> {
  const text = spec.body === undefined ? "" : JSON.stringify(spec.body);
  return new Promise((resolve, reject) => {
    const fail = (detail: string) =>
      reject(new CallBrokenError(`${spec.method} ${spec.path}: ${detail}`));
    const call = request(
      {
        host: "127.0.0.1",
        port: spec.port,
        method: spec.method,
        path: spec.path,
        agent: false,
        timeout: spec.timeoutMs ?? DEFAULT_TIMEOUT_MS,
        signal: spec.signal,
        headers: {
          "content-type": "application/json",
          "content-length": String(Buffer.byteLength(text)),
          ...spec.headers,
        },
      },
      (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", (error) => fail(error.message));
        response.on("end", () => {
          if (!response.complete) {
            fail("the connection closed before the answer ended");
            return;
          }
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            text: Buffer.concat(chunks).toString("utf8"),
          });
        });
      },
    );
    call.on("timeout", () =>
      call.destroy(new Error("no data within the timeout")),
    );
    call.on("error", (error) => fail(error.message));
    call.end(text);
  });
}

/** Sends a call and parses the JSON answer; throws on an error status. */
export async function callJson(spec: HttpCallSpec): Promise<unknown> {
  const answer = await callHttp(spec);
  if (answer.status >= 400) {
    throw new Error(
      `${spec.method} ${spec.path}: status ${answer.status}: ${answer.text}`,
    );
  }
  return answer.text === "" ? undefined : JSON.parse(answer.text);
}
