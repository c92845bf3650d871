/**
 * The way of a request from the caller's connection to its run: read, find
 * route and account, and refuse at once what can't be served.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "../../adapters/http.js";
import { createRefusal, type Refusal } from "../../core/errors.js";
import { type Catalog, chooseService, type Freshness } from "../fleet/index.js";
import type { LoopDelay } from "../loop_delay.js";
import type { RawHeaders, RequestFacts, Route, Wire } from "../types.js";
import type { AnswerSink } from "./answer.js";
import type { RunRequest, RunServices } from "./attempt_runner.js";
import { waitForReads } from "./pending_reads.js";
import { RequestRun } from "./request_run.js";
import { SilenceTimer } from "./silence_timer.js";

/** Waits this long for the store's word when the view is old or missing, ms. */
const CONFIRM_WAIT_MS = 300;
/** Time to write a refusal before the caller's deadline or the timeout, ms. */
const ANSWER_MARGIN_MS = 20;
/** Wait that a refusal for lack of a configuration names, ms. */
const UNREADY_RETRY_MS = 500;
/** Another entry takes the request at once, ms. */
const STOPPING_RETRY_MS = 20;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

export interface PathOptions extends RunServices {
  /** Settles once the view of the fleet is whole, or after the time, ms. */
  readonly waitUntilLoaded: (waitMs: number) => Promise<void>;
  readonly freshness: Freshness;
  readonly loopDelay: LoopDelay;
  /** Oldest confirmation with which a request with a key may run, ms. */
  readonly maxConfigAgeMs: number;
  /** Oldest confirmation with which a key or route counts as unknown, ms. */
  readonly maxDenyAgeMs: number;
}

interface Admitted {
  readonly route: Route;
  readonly catalog: Catalog;
  readonly account?: string;
  readonly rank: number;
}

export class RequestPath {
  readonly #options: PathOptions;
  #open = 0;
  #unsent = 0;
  #isStopping = false;
  #isClosed = false;

  constructor(options: PathOptions) {
    this.#options = options;
  }

  get openCount(): number {
    return this.#open;
  }

  /** True while answers that are complete here wait for their callers. */
  get hasUnsent(): boolean {
    return this.#unsent > 0;
  }

  /** From now on each answer closes its connection. */
  stop(): void {
    this.#isStopping = true;
  }

  /** From now on each new request is refused. */
  close(): void {
    this.#isClosed = true;
  }

  async handle(request: IncomingMessage, response: ServerResponse) {
    this.#open++;
    try {
      await this.#handle(request, response);
    } catch (error) {
      this.#options.log.error("request-failed", { error: String(error) });
      response.destroy();
    }
    this.#unsent++;
    await waitUntilSent(request, response);
    this.#unsent--;
    this.#open--;
  }

  async #handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAtMs = this.#options.now();
    const { wire, view, log, loopDelay, random } = this.#options;
    if (this.#isStopping || random() < loopDelay.closeShare) {
      response.shouldKeepAlive = false;
    }
    const method = incoming.method ?? "GET";
    const target = incoming.url ?? "/";
    const headers = incoming.rawHeaders;
    const facts = wire.parseRequest(method, target, headers);
    const sink = createSink(response, wire, facts?.id ?? "");
    const limit =
      view.catalog?.configuration.limits.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const body = await readBody(incoming, limit).catch((error: Error) => {
      log.info("request-aborted", {
        request: facts?.id,
        reason: error.message,
      });
    });
    if (body === undefined) return;
    // Where the caller has left already, its close comes just after.
    await waitForReads();
    if (hasLeft(incoming, response)) return this.#logLeft(facts);
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
    await this.#run(
      { ...admitted, facts, method, headers, body, startedAtMs },
      response,
      sink,
    );
  }

  #logLeft(facts: RequestFacts | undefined): void {
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

  /** Route and account of the request, or why it isn't served. */
  async #admit(facts: RequestFacts): Promise<Admitted | Refusal> {
    const { view, freshness, maxConfigAgeMs, maxDenyAgeMs, waitUntilLoaded } =
      this.#options;
    if (this.#isClosed) {
      const retryAfterMs = STOPPING_RETRY_MS;
      return createRefusal("stopping", "The entry stops", { retryAfterMs });
    }
    await waitUntilLoaded(CONFIRM_WAIT_MS);
    if (view.catalog === undefined) {
      return createUnready("No configuration has been read yet");
    }
    const isFresh = await freshness.isFresh(maxConfigAgeMs, CONFIRM_WAIT_MS);
    const found = findAdmitted(view.catalog, facts);
    if (typeof found === "object") {
      if (found.account === undefined || isFresh) return found;
      return createUnready("The configuration may be outdated");
    }
    // A new route or key may be known to the store already.
    if (!(await freshness.isFresh(maxDenyAgeMs, CONFIRM_WAIT_MS))) {
      return createUnready("The configuration may lack new routes and keys");
    }
    const again = findAdmitted(view.catalog, facts);
    if (typeof again === "object") return again;
    return again === "no-route"
      ? createRefusal("not-found", `No route for "${facts.path}"`)
      : createRefusal("unauthorized", "The API key is unknown");
  }

  async #run(
    admitted: Admitted &
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
    const deadlineAtMs = startedAtMs + allowedMs - ANSWER_MARGIN_MS;
    const controller = new AbortController();
    const abort = () => controller.abort();
    const timer = new SilenceTimer(abort, Math.max(0, deadlineAtMs - now()));
    response.once("close", abort);
    // The end is read some turns of the event loop before the close.
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
    timer.cancel();
    response.off("close", abort);
    socket?.off("end", abort);
    // Attempts whose answers were dropped end with the request.
    abort();
    const totalMs = now() - startedAtMs;
    const isGone = response.destroyed && !response.writableFinished;
    const result = outcome === "refused" && isGone ? "caller-left" : outcome;
    metrics.requests.inc({ route: route.name, outcome: result });
    metrics.totalSeconds.observe({ route: route.name }, totalMs / 1_000);
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
 * Waits until the last byte of an answer has left: a caller that reads slowly
 * must get the rest also when the entry stops meanwhile.
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

/** Callers close only whole connections: the end of one says that it left. */
function hasLeft(incoming: IncomingMessage, response: ServerResponse): boolean {
  return response.destroyed || incoming.socket.readableEnded;
}

/** Looks route and account up in one configuration. */
function findAdmitted(
  catalog: Catalog,
  facts: RequestFacts,
): Admitted | "no-route" | "no-account" {
  const route = catalog.findRoute(facts.host, facts.path);
  if (route === undefined) return "no-route";
  if (!route.needsKey || !catalog.hasAccounts) {
    return { route, catalog, rank: route.rank };
  }
  const account = catalog.findAccount(facts.apiKey ?? "");
  if (account === undefined) return "no-account";
  const rank = account.rank ?? route.rank;
  return { route, catalog, account: account.name, rank };
}

function createUnready(detail: string): Refusal {
  const retryAfterMs = UNREADY_RETRY_MS;
  return createRefusal("stale-revision", detail, { retryAfterMs });
}

function createSink(
  response: ServerResponse,
  wire: Wire,
  requestId: string,
): AnswerSink {
  return {
    writeHead: (status: number, headers: RawHeaders) => {
      if (response.destroyed) return;
      response.writeHead(status, headers);
    },
    write: (data: Buffer) => response.destroyed || response.write(data),
    waitDrain: (signal: AbortSignal) =>
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
    destroy: () => response.destroy(),
    refuse: (refusal: Refusal) =>
      sendRefusal(response, wire, requestId, refusal),
  };
}

function sendRefusal(
  response: ServerResponse,
  wire: Wire,
  requestId: string,
  refusal: Refusal,
): void {
  if (response.destroyed) return;
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const mayReturn = refusal.status === 429 || refusal.status === 503;
  const headers = wire.createRefusalHeaders(
    requestId,
    mayReturn ? refusal.retryAfterMs : undefined,
  );
  const body = Buffer.from(`${refusal.code}: ${refusal.detail}\n`);
  headers.push("Content-Type", "text/plain; charset=utf-8");
  headers.push("Content-Length", String(body.length));
  response.writeHead(refusal.status, headers);
  response.end(body);
}
