/** Serves callers over HTTP: chat completions, model list, plain services. */

import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Duplex } from "node:stream";
import {
  createProblemDetails,
  formatRetryAfter,
  type Logger,
  openRequestMemory,
  parseTarget,
  readBody,
  sendJson,
  sendRefusal,
} from "../adapters/index.js";
import type { ConfigView } from "../configuration/config_view.js";
import { createRefusal, type Refusal } from "../core/index.js";
import type { ClientAccount } from "../schema/index.js";
import {
  EventStreamAnswerWriter,
  JsonAnswerWriter,
  ServiceAnswerWriter,
} from "./answer_writers.js";
import {
  authenticate,
  type CallerRequest,
  parseChatRequest,
  parseServiceRequest,
} from "./caller_requests.js";
import type { RequestSession } from "./pending_request.js";
import type { RequestRunner } from "./request_runner.js";

/** The session of a request; a request without one has no fields. */
export interface SessionResult extends RequestSession {
  readonly version?: string;
}

export interface CallerServerOptions {
  readonly config: ConfigView;
  readonly runner: Pick<RequestRunner, "run">;
  readonly log: Logger;
  readonly now: () => number;
  readonly bodyBytes: number;
  readonly headerBytes: number;
  /** Refuses new requests while the entry stops or its ledger is full. */
  readonly checkAdmission: () => Refusal | undefined;
  /** Resolves the version of the request's session. */
  readonly resolveSession: (
    request: CallerRequest,
    signal: AbortSignal,
  ) => Promise<SessionResult | Refusal>;
}

type ParseRequest = typeof parseChatRequest;

function isRefusal(value: object): value is Refusal {
  return "kind" in value && value.kind === "refusal";
}

/**
 * Creates a signal that aborts when the caller disconnects before its answer is
 * complete.
 */
function createCallerSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}

class CallerHandler {
  readonly #options: CallerServerOptions;

  constructor(options: CallerServerOptions) {
    this.#options = options;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const target = parseTarget(request);
    if (target === undefined) {
      const detail = `Cannot use target "${request.url}": expected a path`;
      this.#refuse(response, createRefusal("bad-request", detail));
      return;
    }
    const { pathname } = target;
    if (pathname === "/healthz") {
      this.#sendReadiness(response);
      return;
    }
    const account = authenticate(request, this.#options.config.state);
    if (account.isErr()) {
      // A missing configuration, as after a start, or an outdated one may lack
      // the account.
      const staleRefusal = this.#options.config.checkFreshness();
      this.#refuse(response, staleRefusal ?? account.error);
      return;
    }
    if (pathname === "/v1/models" && request.method === "GET") {
      this.#sendModels(response, account.value);
    } else if (
      pathname === "/v1/chat/completions" &&
      request.method === "POST"
    ) {
      await this.#run(request, response, {
        account: account.value,
        parse: parseChatRequest,
      });
    } else if (pathname.startsWith("/services/")) {
      await this.#run(request, response, {
        account: account.value,
        parse: parseServiceRequest,
      });
    } else {
      const detail = `No route ${request.method} "${pathname}"`;
      this.#refuse(response, createRefusal("not-found", detail));
    }
  }

  /** Tells the platform's load balancer whether to send new connections. */
  #sendReadiness(response: ServerResponse): void {
    const refusal =
      this.#options.checkAdmission() ?? this.#options.config.checkFreshness();
    if (refusal === undefined) sendJson(response, 200, { status: "ready" });
    else this.#refuse(response, refusal);
  }

  #sendModels(response: ServerResponse, account: ClientAccount): void {
    const { versions } = this.#options.config.state;
    const data = account.versions
      .filter((name) => versions[name]?.state === "active")
      .map((name) => ({
        id: name,
        object: "model",
        owned_by: versions[name]?.model ?? "",
      }));
    sendJson(response, 200, { object: "list", data });
  }

  async #run(
    request: IncomingMessage,
    response: ServerResponse,
    options: { account: ClientAccount; parse: ParseRequest },
  ): Promise<void> {
    const { runner, now, bodyBytes } = this.#options;
    const arrivedAtMs = now();
    const body = await readBody(
      request,
      bodyBytes,
      openRequestMemory(response),
    );
    if (!Buffer.isBuffer(body)) {
      this.#refuse(response, body);
      return;
    }
    const admissionRefusal =
      this.#options.checkAdmission() ?? this.#options.config.checkFreshness();
    if (admissionRefusal !== undefined) {
      this.#refuse(response, admissionRefusal);
      return;
    }
    const parsed = options.parse(request, options.account, {
      state: this.#options.config.state,
      nowMs: arrivedAtMs,
      body,
    });
    if (parsed.isErr()) {
      this.#refuse(response, parsed.error);
      return;
    }
    const signal = createCallerSignal(response);
    const session = await this.#options.resolveSession(parsed.value, signal);
    if (isRefusal(session)) {
      this.#refuse(response, session, parsed.value.route.id);
      return;
    }
    if (signal.aborted) return;
    const { route, payload } = parsed.value;
    const writer = this.#createWriter(parsed.value, response);
    const { version } = session;
    const sessionFields = version && {
      sessionVersion: version,
      candidates: [version],
    };
    await runner.run(
      { ...route, ...sessionFields },
      { payload, session, writer, signal },
    );
  }

  #createWriter(request: CallerRequest, response: ServerResponse) {
    if (request.route.kind === "service") {
      return new ServiceAnswerWriter(response);
    }
    return request.payload.stream
      ? new EventStreamAnswerWriter(response)
      : new JsonAnswerWriter(response);
  }

  #refuse(
    response: ServerResponse,
    refusal: Refusal,
    requestId: string = randomUUID(),
  ): void {
    this.#options.log.info("refused", {
      request: requestId,
      code: refusal.code,
      detail: refusal.detail,
    });
    sendRefusal(response, refusal, requestId);
  }
}

function createParseRefusal(code: string | undefined): Refusal {
  if (code === "HPE_HEADER_OVERFLOW") {
    return createRefusal("headers-too-large", "Headers exceed the limit");
  }
  return code === "ERR_HTTP_REQUEST_TIMEOUT"
    ? createRefusal("bad-request", "The request did not arrive in time")
    : createRefusal("bad-request", "The request is not valid HTTP");
}

/** Answers what Node's HTTP parser rejected, such as too large headers. */
function answerParseError(error: NodeJS.ErrnoException, socket: Duplex): void {
  const refusal = createParseRefusal(error.code);
  const requestId = randomUUID();
  const body = JSON.stringify(createProblemDetails(refusal, requestId));
  socket.end(
    `HTTP/1.1 ${refusal.status} ${STATUS_CODES[refusal.status]}\r\n` +
      "content-type: application/problem+json\r\n" +
      `retry-after: ${formatRetryAfter(refusal)}\r\n` +
      `hornbeamrill-request: ${requestId}\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n` +
      `connection: close\r\n\r\n${body}`,
  );
}

export function createCallerServer(options: CallerServerOptions): Server {
  const handler = new CallerHandler(options);
  /** The latest response on each connection. */
  const responses = new WeakMap<Duplex, ServerResponse>();
  const server = createServer(
    { maxHeaderSize: options.headerBytes },
    (request, response) => {
      responses.set(request.socket, response);
      handler.handle(request, response).catch((error: unknown) => {
        if (response.destroyed) {
          options.log.info("caller-gone", { error: String(error) });
          return;
        }
        options.log.error("request-failed", { error: String(error) });
        const detail = "The entry failed while it handled the request";
        sendRefusal(
          response,
          createRefusal("outcome-unknown", detail),
          randomUUID(),
        );
      });
    },
  );
  // Node's default answer to an unknown Expect header has no problem details.
  server.on("checkExpectation", (_request, response) => {
    const refusal = createRefusal("bad-request", "Cannot meet header Expect");
    sendRefusal(response, refusal, randomUUID());
  });
  server.on("clientError", (error, socket) => {
    const response = responses.get(socket);
    // Within an unfinished answer, a refusal would be read as part of it.
    const isAnswering = response !== undefined && !response.writableFinished;
    if (isAnswering || !socket.writable) socket.destroy();
    else answerParseError(error, socket);
  });
  return server;
}
