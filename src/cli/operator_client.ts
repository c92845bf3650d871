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
  /** No connection was made, so nothing happened. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** The call was sent but no answer came. */
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

const TIMEOUT_MS = 30_000;
const HTTP_ERROR_STATUS = 400;

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toFailure(answer: RawAnswer): OperatorFailure {
  const body = parseBody(answer.text) as
    | { code?: string; detail?: string }
    | undefined;
  return {
    kind: "refused",
    status: answer.status,
    code: body?.code ?? "unreadable-answer",
    detail: body?.detail ?? answer.text.slice(0, 200),
  };
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
    method: string,
    path: string,
    body: string,
  ): ResultAsync<T, OperatorFailure> {
    return this.#send(method, path, body).andThen((answer) => {
      if (answer.status >= HTTP_ERROR_STATUS) return err(toFailure(answer));
      return ok(parseBody(answer.text) as T);
    });
  }

  #send(
    method: string,
    path: string,
    body: string,
  ): ResultAsync<RawAnswer, OperatorFailure> {
    let connected = false;
    const promise = new Promise<RawAnswer>((resolve, reject) => {
      const call = requestHttp(
        new URL(path, this.#options.entry),
        {
          method,
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
          response.on("end", () =>
            resolve({
              status: response.statusCode ?? 0,
              text: Buffer.concat(chunks).toString("utf8"),
            }),
          );
        },
      );
      call.on("socket", (socket) => {
        socket.on("connect", () => {
          connected = true;
        });
      });
      call.on("timeout", () => call.destroy(new Error("Call timed out")));
      call.on("error", reject);
      call.end(body);
    });
    return ResultAsync.fromPromise(promise, (error) => ({
      kind: connected ? ("outcome-unknown" as const) : ("unreachable" as const),
      detail: error instanceof Error ? error.message : String(error),
    }));
  }
}
