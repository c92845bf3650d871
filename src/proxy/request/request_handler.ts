/**
 * Handles HTTP requests of callers: reads a request, finds its route and
 * account, and runs it, or refuses at once what can't be served.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import {
  DISCARD_TIMEOUT_MS,
  ignoreBody,
  readBody,
} from "../../adapters/http_server.js";
import {
  BODY_REFUSAL,
  HeldMemory,
  SENDER,
} from "../../adapters/received/index.js";
import { RepeatLog } from "../../adapters/repeat_log.js";
import { createRefusal, type Refusal } from "../../core/errors.js";
import { chooseService, type Freshness } from "../fleet/index.js";
import type { LoopDelay } from "../loop_delay.js";
import { listSharedPartIds } from "../placing/index.js";
import {
  ConnectionLimit,
  ConnectionReads,
  getConnectionUse,
  PipeliningLimit,
} from "../reading/index.js";
import type { Shutdown } from "../shutdown.js";
import type { RequestFacts } from "../types.js";
import { breakAnswer, createSink, sendRefusal } from "./answer_sink.js";
import type { RunDependencies, RunRequest } from "./attempt_runner.js";
import { CallerConnections } from "./caller_connections.js";
import {
  countHeadBytes,
  getRequestLimits,
  takeHeadMemory,
} from "./caller_limits.js";
import { createHeldRefusal } from "./held_refusal.js";
import { InactivityTimer } from "./inactivity_timer.js";
import { hashRequest } from "./request_fingerprint.js";
import { RequestRun } from "./request_run.js";
import {
  type AdmittedRequest,
  createDenial,
  createStaleRefusal,
  findRouteAndAccount,
} from "./route_lookup.js";
import type { AnswerSink } from "./send_answer.js";
import { createStoppingRefusal } from "./stopping_refusal.js";
import { UnreadResponses } from "./unread_responses.js";
import { waitForPendingReads } from "./wait_for_pending_reads.js";

/** Longest wait for the store to confirm an old or load a missing view, ms. */
const MAX_CONFIRM_WAIT_MS = 300;
/** Time reserved to write a refusal before the request's deadline, ms. */
export const REFUSAL_MARGIN_MS = 20;

/** Why a request ends without a whole answer. */
const UNANSWERED_REASON = {
  /** It came behind a request whose answer closes the connection. */
  behindClosingAnswer: "behind-closing-answer",
  callerLeft: "caller-left",
  /** No memory for its head. */
  noMemory: "no-memory",
  /** A stream that no endpoint could continue. */
  broken: "broken",
  /** The answer was whole, but its connection ended before it was sent. */
  answerUnsent: "answer-unsent",
} as const;

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
  /** Most open connections of callers. */
  readonly maxCallerConnections: number;
  /** Largest age with which a key or route may be refused as unknown, ms. */
  readonly maxDenyAgeMs: number;
}

export class RequestHandler {
  readonly #options: RequestHandlerOptions;
  #openRequests = 0;
  readonly #openResponses = new Set<ServerResponse>();
  readonly callerConnections = new CallerConnections();
  readonly callerReads: ConnectionReads;
  readonly #unreadResponses: UnreadResponses;
  readonly #connectionLimit: ConnectionLimit;
  readonly #pipelining = new PipeliningLimit((socket) =>
    this.callerReads.goOn(socket),
  );
  /** Responses to requests of which an attempt may have been sent. */
  readonly #startedResponses = new WeakSet<ServerResponse>();
  #unsentAnswers = 0;
  #closesConnections = false;
  #refusesRequests = false;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
    const { now, log, metrics } = options;
    this.callerReads = new ConnectionReads({
      now,
      getNewestResponse: (socket) =>
        this.callerConnections.getNewestResponse(socket),
      mayBegin: (socket) => this.#pipelining.mayBegin(socket),
      onConnection: (socket) => this.#connectionLimit.add(socket),
    });
    const repeatLog = new RepeatLog({ log, now });
    this.#connectionLimit = new ConnectionLimit({
      maxConnections: options.maxCallerConnections,
      getUse: (socket) =>
        getConnectionUse(this.callerConnections.getNewestResponse(socket)),
      close: (socket, use) => {
        const reason = "too-many-connections";
        metrics.closedConnections.inc({ reason });
        repeatLog.warn(reason, "connection-closed", { reason, use });
        socket.destroy();
      },
    });
    this.#unreadResponses = new UnreadResponses({
      now,
      onClose: (socket, unreadMs) => {
        const reason = "response-unread";
        const caller = socket.remoteAddress;
        metrics.closedConnections.inc({ reason });
        log.warn("connection-closed", { reason, caller, unreadMs });
      },
    });
  }

  /** Open connections of callers. */
  get connectionCount(): number {
    return this.#connectionLimit.size;
  }

  get openRequestCount(): number {
    return this.#openRequests;
  }

  /** True while complete answers have not yet been sent to their callers. */
  get hasUnsentAnswers(): boolean {
    return this.#unsentAnswers > 0;
  }

  /** From now on connections are closed after the last of their answers. */
  closeConnectionsAfterAnswers(): void {
    this.#closesConnections = true;
  }

  /** From now on new requests are refused. */
  refuseRequests(): void {
    this.#refusesRequests = true;
  }

  get isRefusingRequests(): boolean {
    return this.#refusesRequests;
  }

  /** Breaks off the answers of which not all bytes could be sent. */
  breakOpenAnswers(): void {
    for (const response of this.#openResponses) breakAnswer(response);
  }

  async handle(request: IncomingMessage, response: ServerResponse) {
    const { socket } = request;
    if (this.callerConnections.isClosing(socket)) {
      request.on("error", () => {}).resume();
      this.callerReads.discardRest(socket);
      this.#reportUnanswered(request, UNANSWERED_REASON.behindClosingAnswer);
      return;
    }
    const memory = new HeldMemory();
    if (!takeHeadMemory(request, memory)) {
      memory.report(SENDER.callerHead, BODY_REFUSAL.noMemory);
      this.#refuseHead(request, response);
      return;
    }
    const openRequest = this.#pipelining.add(socket);
    this.callerConnections.addRequest(request, response);
    this.#connectionLimit.recordUse(socket);
    this.#unreadResponses.add(socket);
    this.#openRequests++;
    this.#openResponses.add(response);
    try {
      await this.#handle(request, response, memory);
    } catch (error) {
      this.#refuseFailed(response, error);
    }
    this.#unsentAnswers++;
    await this.callerConnections.waitUntilSent(request, response);
    this.#unsentAnswers--;
    this.#unreadResponses.remove(socket);
    memory.release();
    openRequest.end();
    this.#connectionLimit.recordUse(socket);
    if (response.writableEnded && !response.writableFinished) {
      this.#reportUnanswered(request, UNANSWERED_REASON.answerUnsent);
    }
    this.#openRequests--;
    this.#openResponses.delete(response);
  }

  /** Refuses a request for whose head there is no memory. */
  #refuseHead(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    if (this.callerConnections.isAnswering(socket) || socket.destroyed) {
      this.#refuseBehindOthers(request);
      return;
    }
    request.on("error", () => {}).resume();
    this.callerConnections.addRequest(request, response);
    this.callerConnections.closeAfter(request, response);
    this.callerReads.discardRest(socket);
    const { wire } = this.#options;
    const { method = "GET", url = "/", rawHeaders } = request;
    const id = wire.parseRequest(method, url, rawHeaders)?.id ?? "";
    const refusal = createRefusal("capacity", "No memory for the head");
    sendRefusal(response, wire, id, refusal);
  }

  /** Takes no more requests from a connection; what runs is answered. */
  #refuseBehindOthers(request: IncomingMessage): void {
    const { socket } = request;
    // The rest of what was read from a connection that is already closed.
    if (socket.destroyed) return;
    request.on("error", () => {}).resume();
    const error = new Error("No room for further requests");
    this.callerConnections.closeAfterAnswers(socket, error);
    this.callerReads.discardRest(socket);
    this.#reportUnanswered(request, UNANSWERED_REASON.noMemory);
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
    memory: HeldMemory,
  ): Promise<void> {
    const startedAtMs = this.#options.now();
    const { wire, view, loopDelay, random, shutdown } = this.#options;
    const method = incoming.method ?? "GET";
    const target = incoming.url ?? "/";
    const headers = incoming.rawHeaders;
    const facts = wire.parseRequest(method, target, headers);
    const prepareHead = () => {
      const isLate = random() < loopDelay.closeShare;
      if (!this.#closesConnections && !isLate) return;
      this.callerConnections.closeAfter(incoming, response);
    };
    const sink = createSink(response, wire, facts?.id ?? "", prepareHead);
    const { maxHeaderBytes, maxBodyBytes, maxBodyMs } = getRequestLimits(
      view.catalog?.configuration,
    );
    const refuseHead = (refusal: Refusal) => {
      this.callerConnections.closeAfter(incoming, response);
      incoming.on("error", () => {}).resume();
      this.callerReads.discardRest(incoming.socket);
      this.#refuse(sink, facts, refusal);
    };
    if (countHeadBytes(incoming) > maxHeaderBytes) {
      const detail = `Head exceeds ${maxHeaderBytes} bytes`;
      refuseHead(createRefusal("headers-too-large", detail));
      return;
    }
    // No client of this protocol sent it, so nothing better follows.
    if (facts === undefined) {
      const detail = "The request has no id or no host";
      refuseHead(createRefusal("bad-request", detail));
      return;
    }
    const { promptHolds } = this.#options;
    const held = promptHolds.admit(facts);
    const disconnect = () => closeOnceAnswered(response);
    if (held !== undefined) {
      ignoreBody(incoming, disconnect);
      this.#refuse(sink, facts, createHeldRefusal(promptHolds, held, random));
      return;
    }
    const body = await refuseAtEnd(
      readBody(incoming, maxBodyBytes, memory, { maxBodyMs, disconnect }),
      shutdown,
    ).catch((error: Error) =>
      createRefusal("bad-request", `The body can't be read: ${error.message}`),
    );
    // The close of a caller that has already left is read after its body.
    await waitForPendingReads();
    if (hasCallerLeft(incoming, response)) {
      this.#reportUnanswered(incoming, UNANSWERED_REASON.callerLeft);
      incoming.socket.destroy();
      return;
    }
    if (!Buffer.isBuffer(body)) {
      this.#refuse(sink, facts, body);
      return;
    }
    const admitted = await refuseAtEnd(this.#admit(facts), shutdown);
    if ("kind" in admitted) {
      this.#refuse(sink, facts, admitted);
      return;
    }
    const { host, path } = facts;
    const caller = admitted.account ?? facts.apiKey ?? "";
    const parts = listSharedPartIds(facts.parts);
    const identity = { caller, method, host, path, parts, body };
    const fingerprint = hashRequest(identity);
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
        memory,
        startedAtMs,
      },
      response,
      sink,
    );
  }

  /** Tells the caller of an error in the handling, if no answer has begun. */
  #refuseFailed(response: ServerResponse, error: unknown): void {
    const { wire, log } = this.#options;
    const { method = "GET", url = "/", rawHeaders } = response.req;
    try {
      const id = wire.parseRequest(method, url, rawHeaders)?.id;
      log.error("request-failed", { request: id, error: String(error) });
      const mayHaveRun = this.#startedResponses.has(response);
      const code = mayHaveRun ? "outcome-unknown" : "capacity";
      const refusal = createRefusal(code, "The request's handling failed");
      sendRefusal(response, wire, id ?? "", refusal);
    } catch (refusalError) {
      log.error("request-failed", { error: String(refusalError) });
      breakAnswer(response);
    }
  }

  /** Logs and counts a request that ends without a whole answer. */
  #reportUnanswered(request: IncomingMessage, reason: string): void {
    const { wire, log, metrics } = this.#options;
    const { method = "GET", url = "/", rawHeaders } = request;
    const id = wire.parseRequest(method, url, rawHeaders)?.id;
    metrics.unansweredRequests.inc({ reason });
    log.info("request-unanswered", { request: id, reason });
  }

  #refuse(
    sink: AnswerSink,
    facts: RequestFacts | undefined,
    refusal: Refusal,
  ): void {
    this.#options.metrics.requests.inc({ route: "-", outcome: refusal.code });
    this.#options.log.info("request-refused", {
      request: facts?.id,
      host: facts?.host,
      path: facts?.path,
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
    if (this.#refusesRequests) return createStoppingRefusal("The entry stops");
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
    return createDenial(confirmed, facts);
  }

  async #run(
    admitted: AdmittedRequest &
      Pick<
        RunRequest,
        "facts" | "method" | "headers" | "body" | "memory" | "startedAtMs"
      >,
    response: ServerResponse,
    sink: AnswerSink,
  ): Promise<void> {
    const { random, log, metrics, now, shutdown } = this.#options;
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
    shutdown.signal.addEventListener("abort", abort, { once: true });
    if (shutdown.signal.aborted) abort();
    response.once("close", abort);
    const { req } = response;
    let hasLeft = false;
    const endLeave = this.callerConnections.onLeave(req, () => {
      hasLeft = true;
      abort();
    });
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
    this.#startedResponses.add(response);
    const outcome = await run.run().finally(() => {
      deadlineTimer.cancel();
      shutdown.signal.removeEventListener("abort", abort);
      response.off("close", abort);
      endLeave();
      // Cancels attempts that still run because their answers were discarded.
      abort();
    });
    const totalMs = now() - startedAtMs;
    const isClosed = response.destroyed || req.socket.destroyed;
    const isCallerGone = isClosed && !response.writableFinished;
    const result =
      outcome === "refused" && isCallerGone ? "caller-left" : outcome;
    if (result === "caller-left" || (result === "broken" && hasLeft)) {
      this.#reportUnanswered(req, UNANSWERED_REASON.callerLeft);
    } else if (result === "broken") {
      this.#reportUnanswered(req, UNANSWERED_REASON.broken);
    }
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
 * Resolves to the result of work that comes before a request runs, or to a
 * refusal if the stop of the entry ends first.
 */
function refuseAtEnd<T>(
  work: Promise<T>,
  { signal }: Shutdown,
): Promise<T | Refusal> {
  return new Promise((resolve, reject) => {
    const refuse = () => resolve(createStoppingRefusal("The entry stops"));
    if (signal.aborted) refuse();
    signal.addEventListener("abort", refuse, { once: true });
    const settle = () => signal.removeEventListener("abort", refuse);
    work.then(resolve, reject).finally(settle);
  });
}

/**
 * Disconnects a caller whose refused body does not end. Answers to requests
 * before it are sent first, and there is time to read them.
 */
function closeOnceAnswered(response: ServerResponse): void {
  const { socket } = response.req;
  const disconnect = () => socket.destroy();
  if (response.writableFinished) disconnect();
  else {
    response.once("finish", () => setTimeout(disconnect, DISCARD_TIMEOUT_MS));
  }
}

/** Callers never half-close: the end of the stream means that one has left. */
function hasCallerLeft(
  incoming: IncomingMessage,
  response: ServerResponse,
): boolean {
  const { readableEnded, destroyed } = incoming.socket;
  return response.destroyed || destroyed || readableEnded;
}
