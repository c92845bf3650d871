/** HTTP client of a model engine with an OpenAI-compatible API. */

import type { IncomingMessage } from "node:http";
import { err, errAsync, type Result, type ResultAsync } from "neverthrow";
import type {
  ChunkListener,
  Completion,
  CompletionRequest,
  Engine,
  EngineFailure,
  EngineLoad,
  EngineOrder,
} from "./engine.js";
import {
  HttpClient,
  type HttpReply,
  type HttpTarget,
  ignoreReply,
  readReply,
  type TransportFailure,
} from "./http_client.js";
import { createJsonParser, readErrorCode } from "./json_parser.js";
import { readCompletion } from "./read_completion.js";

export interface EngineTarget extends HttpTarget {
  /** Limit on gaps in an answer's stream, and on the wait for its start. */
  readonly idleTimeoutMs?: number;
  /** Limit on the time of an answer; `timeoutMs` limits the other calls. */
  readonly answerTimeoutMs?: number;
}

const DEFAULT_ANSWER_TIMEOUT_MS = 300_000;
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

const parseLoad = createJsonParser<EngineLoad>({
  type: "object",
  required: [
    "startId",
    "running",
    "queued",
    "slots",
    "cold",
    "versions",
    "loading",
  ],
  properties: {
    startId: { type: "string", minLength: 1 },
    running: { type: "integer", minimum: 0 },
    queued: { type: "integer", minimum: 0 },
    slots: { type: "integer", minimum: 0 },
    cold: { type: "boolean" },
    versions: { type: "array", items: { type: "string" } },
    loading: { type: "array", items: { type: "string" } },
  },
});
const parseOrderReply = createJsonParser<{ startId: string }>({
  type: "object",
  required: ["startId"],
  properties: { startId: { type: "string", minLength: 1 } },
});
const parseRequestBody = createJsonParser<Record<string, unknown>>({
  type: "object",
});

export function createHttpEngine(target: EngineTarget): Engine {
  return new HttpEngine(target);
}

class HttpEngine implements Engine {
  readonly #client: HttpClient;
  readonly #answerTimeoutMs: number;
  readonly #idleTimeoutMs: number;

  constructor(target: EngineTarget) {
    this.#client = new HttpClient(target);
    this.#answerTimeoutMs = target.answerTimeoutMs ?? DEFAULT_ANSWER_TIMEOUT_MS;
    this.#idleTimeoutMs = target.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
  }

  complete(
    request: CompletionRequest,
    onChunk: ChunkListener,
    signal: AbortSignal,
  ): ResultAsync<Completion, EngineFailure> {
    const body = createBody(request);
    if (body.isErr()) return errAsync(body.error);
    const progress = { chunks: 0, engineStartId: undefined };
    const call = {
      method: "POST",
      path: "/v1/chat/completions",
      headers: createHeaders(request),
      body: body.value,
      timeoutMs: this.#answerTimeoutMs,
      idleTimeoutMs: this.#idleTimeoutMs,
    };
    const read = (message: IncomingMessage) =>
      readAnswer(message, progress, onChunk);
    return this.#client
      .stream(call, read, signal)
      .mapErr((failure) => toEngineFailure(failure, progress))
      .andThen((result) => result);
  }

  readLoad(signal: AbortSignal): ResultAsync<EngineLoad, EngineFailure> {
    return this.#client
      .send({ method: "GET", path: "/load" }, signal)
      .mapErr((failure) => toEngineFailure({ ...failure, ran: "no" }))
      .andThen((reply) =>
        reply.status === 200
          ? parseLoad(reply.body).mapErr(({ detail }) =>
              createFailure("malformed", "no", detail),
            )
          : err(toRefusal(reply.status, reply.body)),
      );
  }

  sendOrder(order: EngineOrder, signal: AbortSignal) {
    return this.#client
      .send(
        { method: "POST", path: "/orders", body: JSON.stringify(order) },
        signal,
      )
      .mapErr((failure) => toEngineFailure(failure))
      .andThen(readOrderReply);
  }
}

/** What had arrived when a stream failed. */
interface StreamProgress {
  chunks: number;
  engineStartId: string | undefined;
}

async function readAnswer(
  message: IncomingMessage,
  progress: StreamProgress,
  onChunk: ChunkListener,
): Promise<Result<Completion, EngineFailure>> {
  const { statusCode = 0, headers } = message;
  if (statusCode !== 200) {
    const { body } = await readReply(message);
    return err(toRefusal(statusCode, body));
  }
  const startId = headers["engine-start-id"];
  if (typeof startId === "string") progress.engineStartId = startId;
  const stream = message.iterator({ destroyOnReturn: false });
  const answer = await readCompletion(stream, async (chunk) => {
    progress.chunks += 1;
    await onChunk(chunk);
  });
  if (answer.isOk()) ignoreReply(message);
  const { chunks, engineStartId = "" } = progress;
  return answer
    .map((usage) => ({ ...usage, chunks, engineStartId }))
    .mapErr(({ kind, detail }) => ({
      ...createFailure(kind, "yes", detail),
      ...progress,
    }));
}

function createBody(request: CompletionRequest): Result<string, EngineFailure> {
  return parseRequestBody(Buffer.from(request.body))
    .map((body) =>
      JSON.stringify({
        ...body,
        model: request.version,
        stream: true,
        stream_options: { include_usage: true },
      }),
    )
    .mapErr(() =>
      createFailure("bad-request", "no", "Body is not a JSON object"),
    );
}

function createHeaders(request: CompletionRequest): Record<string, string> {
  const { requestId, priority, account, session } = request;
  return {
    "content-type": "application/json",
    "hornbeamrill-request": requestId,
    "hornbeamrill-priority": priority,
    ...(account && { "hornbeamrill-account": account }),
    ...(session && { "hornbeamrill-session": session }),
  };
}

function readOrderReply(reply: HttpReply) {
  if (reply.status !== 202) return err(toRefusal(reply.status, reply.body));
  return parseOrderReply(reply.body)
    .map(({ startId }) => ({ engineStartId: startId }))
    .mapErr(({ detail }) => createFailure("malformed", "unknown", detail));
}

function createFailure(
  kind: EngineFailure["kind"],
  ran: EngineFailure["ran"],
  detail: string,
): EngineFailure {
  return { kind, ran, detail, chunks: 0 };
}

function toRefusal(status: number, body: Buffer): EngineFailure {
  const code = readErrorCode(body);
  const detail = `Engine answered with status ${status} "${code}"`;
  if (status === 429) return createFailure("overloaded", "no", detail);
  if (status === 409) return createFailure("old-fence", "no", detail);
  if (status === 404 && code === "version-not-loaded") {
    return createFailure("version-not-loaded", "no", detail);
  }
  if (status >= 400 && status < 500) {
    return createFailure("bad-request", "no", detail);
  }
  return createFailure("failed", "unknown", detail);
}

const ENGINE_FAILURE_KINDS = {
  refused: "unavailable",
  invalid: "bad-request",
  broken: "truncated",
  "too-large": "malformed",
  timeout: "timeout",
  aborted: "aborted",
} as const satisfies Record<TransportFailure["kind"], EngineFailure["kind"]>;

function toEngineFailure(
  failure: TransportFailure,
  progress?: StreamProgress,
): EngineFailure {
  const { kind, ran, detail } = failure;
  const hasStarted = progress?.engineStartId !== undefined;
  return {
    ...createFailure(
      ENGINE_FAILURE_KINDS[kind],
      hasStarted ? "yes" : ran,
      detail,
    ),
    ...progress,
  };
}
