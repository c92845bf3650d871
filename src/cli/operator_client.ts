/** Calls the operator API of an entry. */

import { request as requestHttp } from "node:http";
import { err, ok, ResultAsync } from "neverthrow";

export type OperatorFailure =
  /** The entry answered with an error. */
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly code: string;
      readonly detail: string;
    }
  /** No answer came, and nothing can have changed. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** A change was sent, and no answer says whether it took effect. */
  | { readonly kind: "outcome-unknown"; readonly detail: string };

export interface OperatorClientOptions {
  /** Operator listener of an entry, such as http://10.0.0.4:7003. */
  entry: string;
  token: string;
}

interface RawAnswer {
  status: number;
  text: string;
}

type Method = "GET" | "POST";

const TIMEOUT_MS = 30_000;
const MAX_DETAIL_CHARS = 200;
const HTTP_ERROR_STATUS = 400;

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function createFailure(method: Method, answer: RawAnswer): OperatorFailure {
  const { status, text } = answer;
  const body = parseBody(text) as
    | { code?: string; detail?: string }
    | undefined
    | null;
  const code = body?.code ?? "unreadable-answer";
  const detail = body?.detail ?? text.slice(0, MAX_DETAIL_CHARS);
  // Something between here and the entry may have answered in its place.
  const isOpen = code === "outcome-unknown" || code === "unreadable-answer";
  return method === "POST" && isOpen
    ? { kind: "outcome-unknown", detail: `status ${status}: ${detail}` }
    : { kind: "refused", status, code, detail };
}

/** A call that only reads can't leave its outcome open. */
function createCallFailure(
  method: Method,
  call: { connected: boolean; detail: string },
): OperatorFailure {
  const { connected, detail } = call;
  return method === "POST" && connected
    ? { kind: "outcome-unknown", detail }
    : { kind: "unreachable", detail };
}

export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  get<T>(path: string): ResultAsync<T, OperatorFailure> {
    return this.#call<T>("GET", path, "");
  }

  post<T>(path: string, body: string): ResultAsync<T, OperatorFailure> {
    return this.#call<T>("POST", path, body);
  }

  #call<T>(
    method: Method,
    path: string,
    body: string,
  ): ResultAsync<T, OperatorFailure> {
    return this.#send(method, path, body).andThen((answer) => {
      const body = parseBody(answer.text);
      return answer.status >= HTTP_ERROR_STATUS || body === undefined
        ? err(createFailure(method, answer))
        : ok(body as T);
    });
  }

  #send(
    method: Method,
    path: string,
    body: string,
  ): ResultAsync<RawAnswer, OperatorFailure> {
    let connected = false;
    const promise = new Promise<RawAnswer>((resolve, reject) => {
      const call = requestHttp(
        new URL(path, this.#options.entry),
        {
          method,
          agent: false,
          timeout: TIMEOUT_MS,
          headers: {
            authorization: `Bearer ${this.#options.token}`,
            "content-type": "application/json",
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          response.on("data", (chunk) => chunks.push(chunk));
          response.on("error", reject);
          response.on("end", () => {
            const text = Buffer.concat(chunks).toString("utf8");
            if (response.complete) {
              resolve({ status: response.statusCode ?? 0, text });
            } else reject(new Error("The answer was cut"));
          });
        },
      );
      call.on("socket", (socket) => {
        socket.once("connect", () => {
          connected = true;
        });
      });
      call.on("timeout", () => call.destroy(new Error("Call timed out")));
      call.on("error", reject);
      call.end(body);
    });
    return ResultAsync.fromPromise(promise, (error) => {
      const detail = error instanceof Error ? error.message : String(error);
      return createCallFailure(method, { connected, detail });
    });
  }
}
