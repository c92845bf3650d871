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
  /** No answer came, and nothing has changed. */
  | { readonly kind: "unreachable"; readonly detail: string }
  /** A change may have been sent, and no answer says whether it took effect. */
  | { readonly kind: "outcome-unknown"; readonly detail: string };

export interface OperatorClientOptions {
  /** URL of an entry's operator listener, such as http://10.0.0.4:7003. */
  entryUrl: string;
  token: string;
}

interface HttpAnswer {
  status: number;
  text: string;
}

interface Call {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly body: string;
  /** False where the outcome is never unknown, since nothing is changed. */
  readonly isChange: boolean;
}

const CALL_TIMEOUT_MS = 30_000;
/** Far above the reports and the explanations of some thousand endpoints. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024;
const MAX_DETAIL_CHARS = 200;
const MIN_ERROR_STATUS = 400;

/** The value of a JSON text; undefined when it is invalid. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Failure for an error status or an answer that is not JSON. */
function createAnswerFailure(
  { isChange }: Call,
  answer: HttpAnswer,
): OperatorFailure {
  const { status, text } = answer;
  const parsedBody = parseJson(text) as
    | { code?: string; detail?: string }
    | undefined
    | null;
  const code = parsedBody?.code ?? "unreadable-answer";
  const detail = parsedBody?.detail ?? text.slice(0, MAX_DETAIL_CHARS);
  // An intermediary may have answered although the entry got the request.
  const isOutcomeUnknown =
    code === "outcome-unknown" || code === "unreadable-answer";
  return isChange && isOutcomeUnknown
    ? { kind: "outcome-unknown", detail: `status ${status}: ${detail}` }
    : { kind: "refused", status, code, detail };
}

/** Failure of a call without a whole answer. */
function createNoAnswerFailure(
  { isChange }: Call,
  { connected, detail }: { connected: boolean; detail: string },
): OperatorFailure {
  return isChange && connected
    ? { kind: "outcome-unknown", detail }
    : { kind: "unreachable", detail };
}

export class OperatorClient {
  readonly #options: OperatorClientOptions;

  constructor(options: OperatorClientOptions) {
    this.#options = options;
  }

  get<T>(path: string): ResultAsync<T, OperatorFailure> {
    return this.#call({ method: "GET", path, body: "", isChange: false });
  }

  post<T>(path: string, body: string): ResultAsync<T, OperatorFailure> {
    return this.#call({ method: "POST", path, body, isChange: true });
  }

  /** Asks a question that needs a body; nothing is changed. */
  query<T>(path: string, body: string): ResultAsync<T, OperatorFailure> {
    return this.#call({ method: "POST", path, body, isChange: false });
  }

  #call<T>(call: Call): ResultAsync<T, OperatorFailure> {
    return this.#send(call).andThen((answer) => {
      const parsedBody = parseJson(answer.text);
      return answer.status >= MIN_ERROR_STATUS || parsedBody === undefined
        ? err(createAnswerFailure(call, answer))
        : ok(parsedBody as T);
    });
  }

  #send(call: Call): ResultAsync<HttpAnswer, OperatorFailure> {
    const { method, path, body } = call;
    let connected = false;
    const promise = new Promise<HttpAnswer>((resolve, reject) => {
      const httpRequest = requestHttp(
        new URL(path, this.#options.entryUrl),
        {
          method,
          agent: false,
          timeout: CALL_TIMEOUT_MS,
          headers: {
            authorization: `Bearer ${this.#options.token}`,
            "content-type": "application/json",
          },
        },
        (response) => {
          const chunks: Buffer[] = [];
          let bytes = 0;
          response.on("data", (chunk: Buffer) => {
            chunks.push(chunk);
            bytes += chunk.length;
            if (bytes > MAX_ANSWER_BYTES) {
              response.destroy(new Error("The answer is too large"));
            }
          });
          response.on("error", reject);
          response.on("end", () => {
            const text = Buffer.concat(chunks).toString("utf8");
            if (response.complete) {
              resolve({ status: response.statusCode ?? 0, text });
            } else
              reject(
                new Error("The connection closed before the end of the answer"),
              );
          });
        },
      );
      httpRequest.on("socket", (socket) => {
        socket.once("connect", () => {
          connected = true;
        });
      });
      httpRequest.on("timeout", () =>
        httpRequest.destroy(new Error("Call timed out")),
      );
      httpRequest.on("error", reject);
      httpRequest.end(body);
    });
    return ResultAsync.fromPromise(promise, (error) => {
      const detail = error instanceof Error ? error.message : String(error);
      return createNoAnswerFailure(call, { connected, detail });
    });
  }
}
