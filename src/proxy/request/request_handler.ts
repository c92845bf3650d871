/**
 * Handles HTTP requests of callers: reads a request, finds its route and
 * account, and runs it, or refuses at once what can't be served.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { ignoreBody, readBody } from "../../adapters/http_server.js";
import { createRefusal, type Refusal } from "../../core/errors.js";
import { type Catalog, chooseService, type Freshness } from "../fleet/index.js";
import type { LoopDelay } from "../loop_delay.js";
import type { RawHeaders, RequestFacts, Route, WireFormat } from "../types.js";
import type { RunDependencies, RunRequest } from "./attempt_runner.js";
import { createHeldRefusal } from "./held_refusal.js";
import { InactivityTimer } from "./inactivity_timer.js";
import { hashRequest } from "./request_fingerprint.js";
import { RequestRun } from "./request_run.js";
import type { AnswerSink } from "./send_answer.js";
import { waitForPendingReads } from "./wait_for_pending_reads.js";

/** Longest wait for the store to confirm an old or load a missing view, ms. */
const MAX_CONFIRM_WAIT_MS = 300;
/** Time reserved to write a refusal before the request's deadline, ms. */
const REFUSAL_MARGIN_MS = 20;
/** Retry delay in a refusal for a missing or outdated configuration, ms. */
const STALE_RETRY_AFTER_MS = 500;
/** Retry delay while stopping, ms: short, as another entry is available. */
const STOPPING_RETRY_AFTER_MS = 20;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

export interface RequestHandlerOptions extends RunDependencies {
  /** Resolves once the view of the fleet is loaded, or after `waitMs`. */
  readonly waitUntilLoaded: (waitMs: number) => Promise<void>;
  readonly freshness: Freshness;
  readonly loopDelay: LoopDelay;
  /**
   * Largest age of the configuration's last confirmation with which a request
   * of an account may run, ms.
   */
  readonly maxConfigAgeMs: number;
  /** Largest age with which a key or route may be refused as unknown, ms. */
  readonly maxDenyAgeMs: number;
}

interface AdmittedRequest {
  readonly route: Route;
  readonly catalog: Catalog;
  readonly account?: string;
  readonly rank: number;
}

export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  #openRequests = 0;
  readonly #openResponses = new Set<ServerResponse>();
  #unsentAnswers = 0;
  #closesConnections = false;
  #refusesRequests = false;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  get openRequestCount(): number {
    return this.#openRequests;
  }

  /** True while complete answers have not yet been sent to their callers. */
  get hasUnsentAnswers(): boolean {
    return this.#unsentAnswers > 0;
  }

  /** From now on the connection is closed after each answer. */
  closeConnectionsAfterAnswers(): void {
    this.#closesConnections = true;
  }

  /** From now on new requests are refused. */
  refuseRequests(): void {
    this.#refusesRequests = true;
  }

  /** Breaks off the answers that are not complete when the time is over. */
  breakOpenAnswers(): void {
    for (const response of this.#openResponses) breakAnswer(response);
  }

  async handle(request: IncomingMessage, response: ServerResponse) {
    this.#openRequests++;
    this.#openResponses.add(response);
    try {
      await this.#handle(request, response);
    } catch (error) {
      this.#options.log.error("request-failed", { error: String(error) });
      breakAnswer(response);
    }
    this.#unsentAnswers++;
    await waitUntilSent(request, response);
    this.#unsentAnswers--;
    this.#openRequests--;
    this.#openResponses.delete(response);
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAtMs = this.#options.now();
    const { wire, view, log, loopDelay, random } = this.#options;
    if (this.#closesConnections || random() < loopDelay.closeShare) {
      response.shouldKeepAlive = false;
    }
    const method = incoming.method ?? "GET";
    const target = incoming.url ?? "/";
    const headers = incoming.rawHeaders;
    const facts = wire.parseRequest(method, target, headers);
    const sink = createSink(response, wire, facts?.id ?? "");
    const { promptHolds } = this.#options;
    const held = facts === undefined ? undefined : promptHolds.admit(facts);
    if (facts !== undefined && held !== undefined) {
      ignoreBody(incoming);
      this.#refuse(sink, facts, createHeldRefusal(promptHolds, held, random));
      return;
    }
    const limit =
      view.catalog?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readBody(incoming, limit).catch((error: Error) => {
      log.info("request-aborted", {
        request: facts?.id,
        reason: error.message,
      });
    });
    if (body === undefined) return;
    // The close of a caller that has already left is read after its body.
    await waitForPendingReads();
    if (hasCallerLeft(incoming, response)) return this.#logCallerLeft(facts);
    if (facts === undefined) {
      const detail = "The request has no id or no host";
      sink.refuse(createRefusal("bad-request", detail));
      return;
    }
    if (!Buffer.isBuffer(body)) {
      this.#refuse(sink, facts, body);
      return;
    }
    const admitted = await this.#admit(facts);
    if ("kind" in admitted) {
      this.#refuse(sink, facts, admitted);
      return;
    }
    const { host, path } = facts;
    const caller = admitted.account ?? facts.apiKey ?? "";
    const fingerprint = hashRequest({ caller, method, host, path, body });
    const wholeFacts = { ...facts, fingerprint };
    const heldWhole = promptHolds.admit(wholeFacts);
    if (heldWhole !== undefined) {
      const refusal = createHeldRefusal(promptHolds, heldWhole, random);
      this.#refuse(sink, facts, refusal);
      return;
    }
    await this.#run(
      {
        ...admitted,
        facts: wholeFacts,
        method,
        headers,
        body,
        startedAtMs,
      },
      response,
      sink,
    );
  }

  #logCallerLeft(facts: RequestFacts | undefined): void {
    this.#options.log.info("request-aborted", {
      request: facts?.id,
      reason: "the caller had left before the request was read",
    });
  }

  #refuse(sink: AnswerSink, facts: RequestFacts, refusal: Refusal): void {
    this.#options.metrics.requests.inc({ route: "-", outcome: refusal.code });
    this.#options.log.info("request-refused", {
      request: facts.id,
      host: facts.host,
      path: facts.path,
      code: refusal.code,
      detail: refusal.detail,
      configAgeMs: Math.round(this.#options.freshness.ageMs),
    });
    sink.refuse(refusal);
  }

  /** Finds the request's route and account, or the refusal to answer with. */
  async #admit(facts: RequestFacts): Promise<AdmittedRequest | Refusal> {
    const { view, freshness, maxConfigAgeMs, maxDenyAgeMs, waitUntilLoaded } =
      this.#options;
    if (this.#refusesRequests) {
      const retryAfterMs = STOPPING_RETRY_AFTER_MS;
      return createRefusal("stopping", "The entry stops", { retryAfterMs });
    }
    await waitUntilLoaded(MAX_CONFIRM_WAIT_MS);
    if (view.catalog === undefined) {
      return createStaleRefusal("No configuration has been read yet");
    }
    const isFresh = await freshness.waitUntilFresh(
      maxConfigAgeMs,
      MAX_CONFIRM_WAIT_MS,
    );
    const found = findRouteAndAccount(view.catalog, facts);
    if (typeof found === "object") {
      if (found.account === undefined || isFresh) return found;
      return createStaleRefusal("The configuration may be outdated");
    }
    // The store may already hold a new route or key that is missing here.
    if (!(await freshness.waitUntilFresh(maxDenyAgeMs, MAX_CONFIRM_WAIT_MS))) {
      return createStaleRefusal(
        "The configuration may lack new routes and keys",
      );
    }
    const confirmed = findRouteAndAccount(view.catalog, facts);
    if (typeof confirmed === "object") return confirmed;
    return confirmed === "no-route"
      ? createRefusal("not-found", `No route for "${facts.path}"`)
      : createRefusal("unauthorized", "The API key is unknown");
  }

  async #run(
    admitted: AdmittedRequest &
      Pick<RunRequest, "facts" | "method" | "headers" | "body" | "startedAtMs">,
    response: ServerResponse,
    sink: AnswerSink,
  ): Promise<void> {
    const { random, log, metrics, now } = this.#options;
    const { catalog, facts, startedAtMs, ...rest } = admitted;
    const { route } = rest;
    const service = catalog.findService(chooseService(route, random));
    if (service === undefined) {
      const refusal = createRefusal(
        "unknown-service",
        "The service is unknown",
      );
      this.#refuse(sink, facts, refusal);
      return;
    }
    const allowedMs = Math.min(
      facts.deadlineMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    const deadlineAtMs = startedAtMs + allowedMs - REFUSAL_MARGIN_MS;
    const controller = new AbortController();
    const abort = () => controller.abort();
    // Pending data is read first: a caller whose answer is in time gets it.
    const deadlineTimer = new InactivityTimer(
      abort,
      Math.max(0, deadlineAtMs - now()),
    );
    response.once("close", abort);
    // "end" comes some turns of the event loop before "close".
    const { socket } = response;
    socket?.once("end", abort);
    const run = new RequestRun(
      this.#options,
      {
        ...rest,
        facts,
        service,
        startedAtMs,
        deadlineAtMs,
        signal: controller.signal,
      },
      sink,
    );
    const outcome = await run.run();
    deadlineTimer.cancel();
    response.off("close", abort);
    socket?.off("end", abort);
    // Cancels attempts that still run because their answers were discarded.
    abort();
    const totalMs = now() - startedAtMs;
    const isCallerGone = response.destroyed && !response.writableFinished;
    const result =
      outcome === "refused" && isCallerGone ? "caller-left" : outcome;
    metrics.requests.inc({ route: route.name, outcome: result });
    metrics.answerSeconds.observe({ route: route.name }, totalMs / 1_000);
    log.info("request-ended", {
      request: facts.id,
      route: route.name,
      account: rest.account,
      outcome: result,
      status: response.headersSent ? response.statusCode : undefined,
      ms: Math.round(totalMs),
      allowedMs,
      detail: outcome === "answered" ? undefined : run.lastFailure,
      config: catalog.configuration.version,
    });
  }
}

/**
 * Waits until the last byte of an answer is sent, so that a slow reader gets
 * all of it even when the entry stops meanwhile.
 */
async function waitUntilSent(
  { socket }: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const isSent = response.closed || !response.writableEnded;
  if (isSent || socket.destroyed) return;
  await new Promise<void>((resolve) => {
    const settle = () => {
      response.off("close", settle);
      socket.off("close", settle);
      resolve();
    };
    response.once("close", settle);
    socket.once("close", settle);
  });
}

/** Callers never half-close: the end of the stream means that one has left. */
function hasCallerLeft(
  incoming: IncomingMessage,
  response: ServerResponse,
): boolean {
  return response.destroyed || incoming.socket.readableEnded;
}

/** Looks up route and account in one version of the configuration. */
function findRouteAndAccount(
  catalog: Catalog,
  facts: RequestFacts,
): AdmittedRequest | "no-route" | "no-account" {
  const route = catalog.findRoute(facts.host, facts.path);
  if (route === undefined) return "no-route";
  if (!route.needsApiKey || !catalog.hasAccounts) {
    return { route, catalog, rank: route.rank };
  }
  const account = catalog.findAccount(facts.apiKey ?? "");
  if (account === undefined) return "no-account";
  const rank = account.rank ?? route.rank;
  return { route, catalog, account: account.name, rank };
}

function createStaleRefusal(detail: string): Refusal {
  const retryAfterMs = STALE_RETRY_AFTER_MS;
  return createRefusal("stale-revision", detail, { retryAfterMs });
}

/**
 * Closes the connection of an answer that is not complete. Without chunks, as
 * for callers of HTTP/1.0, its end is that of the answer, unless it is reset.
 */
function breakAnswer(response: ServerResponse): void {
  if (response.headersSent && !response.chunkedEncoding) {
    response.socket?.resetAndDestroy();
  }
  response.destroy();
}

function createSink(
  response: ServerResponse,
  wire: WireFormat,
  requestId: string,
): AnswerSink {
  return {
    writeHead: (status: number, headers: RawHeaders) => {
      if (response.destroyed) return;
      response.writeHead(status, headers);
    },
    write: (data: Buffer) => response.destroyed || response.write(data),
    waitForDrain: (signal: AbortSignal) =>
      new Promise<void>((resolve) => {
        const settle = () => {
          response.off("drain", settle);
          response.off("close", settle);
          signal.removeEventListener("abort", settle);
          resolve();
        };
        response.once("drain", settle);
        response.once("close", settle);
        signal.addEventListener("abort", settle, { once: true });
      }),
    end: (data?: Buffer) => {
      if (!response.destroyed) response.end(data);
    },
    destroy: () => breakAnswer(response),
    refuse: (refusal: Refusal) =>
      sendRefusal(response, wire, requestId, refusal),
  };
}

function sendRefusal(
  response: ServerResponse,
  wire: WireFormat,
  requestId: string,
  refusal: Refusal,
): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    breakAnswer(response);
    return;
  }
  const mayRetry = refusal.status === 429 || refusal.status === 503;
  const headers = wire.createRefusalHeaders(
    requestId,
    mayRetry ? refusal.retryAfterMs : undefined,
  );
  const body = Buffer.from(`${refusal.code}: ${refusal.detail}\n`);
  headers.push("Content-Type", "text/plain; charset=utf-8");
  headers.push("Content-Length", String(body.length));
  response.writeHead(refusal.status, headers);
  response.end(body);
}
