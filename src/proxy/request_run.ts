/**
 * Runs one request: chooses version, model and endpoint, tries again where
 * that is allowed, and delivers the answer or a refusal that is true.
 */

import type { Agent } from "node:http";
import type { Logger } from "../adapters/logs.js";
import { createRefusal } from "../core/errors.js";
import {
  type AnswerSink,
  type StreamEnd,
  sendAnswer,
  sendStream,
} from "./answer.js";
import {
  ATTEMPT_FAILURE,
  type AttemptFailure,
  type AttemptHead,
  readAnswerBody,
  startAttempt,
} from "./attempt.js";
import { chooseFirstModel, chooseNextModel } from "./cascade.js";
import type { Connections } from "./connections.js";
import { type Choice, estimateTokensToRead } from "./endpoint_choice.js";
import {
  ATTEMPT_RESULT,
  type AttemptResult,
  type EndpointState,
} from "./endpoint_state.js";
import type { FleetView } from "./fleet_view.js";
import type { ProxyMetrics } from "./metrics.js";
import type { RepeatBudget } from "./repeat_budget.js";
import { RequestPlacement } from "./request_placement.js";
import type { SessionVersions } from "./session_versions.js";
import {
  type RawHeaders,
  REPEAT,
  type RequestFacts,
  type Route,
  type Service,
  type Wire,
} from "./types.js";

/** Part of the target after which a silent endpoint is given up on. */
const PATIENCE_SHARE = 0.6;
/** Times the expected time to the answer that an endpoint is given. */
const PATIENCE_RATIO = 6;
/**
 * Times the usual time to an answer that an endpoint is given: giving up on
 * endpoints that are only busy would have them read the same prompts again.
 */
const USUAL_RATIO = 3;
/** Shortest time that an endpoint is given, ms. */
const MIN_PATIENCE_MS = 150;
/** Times the allowed pause after which a silent stream is continued elsewhere. */
const STALL_RATIO = 1.25;
/** An attempt with less time than this can't end, ms. */
const MIN_ATTEMPT_MS = 10;
/** Wait that a refusal for lack of capacity names, ms; callers spread over it. */
const RETRY_AFTER_MS = { least: 150, most: 600 } as const;
/** Connections of one entry to an endpoint, as a share of an equal split. */
const CONNECTION_SHARE = 0.8;

export interface RunServices {
  readonly wire: Wire;
  readonly log: Logger;
  readonly metrics: ProxyMetrics;
  readonly view: FleetView;
  readonly connections: Connections;
  readonly budget: RepeatBudget;
  readonly sessions: SessionVersions;
  /** Steady clock, ms. */
  readonly now: () => number;
  readonly random: () => number;
  /** Entries that share the endpoints. */
  readonly countEntries: () => number;
}

export interface RunRequest {
  readonly facts: RequestFacts;
  readonly method: string;
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: Service;
  readonly account?: string;
  readonly rank: number;
  readonly startedAtMs: number;
  /** When the caller stops waiting or the route's timeout ends. */
  readonly deadlineAtMs: number;
  /** Aborts when the caller leaves or the deadline passes. */
  readonly signal: AbortSignal;
}

type RunOutcome = "answered" | "broken" | "refused";

interface Attempt {
  /** Counts from 1, attempts that were not sent included. */
  readonly number: number;
  readonly state: EndpointState;
  readonly model: string;
  readonly startedAtMs: number;
  readonly expectedMs: number;
  readonly controller: AbortController;
  /** The endpoint has read the prompt. */
  readonly endReading: () => void;
  /** Ends the attempt's share of the endpoint's load. */
  readonly release: () => void;
}

interface AnsweredAttempt extends Attempt {
  readonly head: AttemptHead;
}

export class RequestRun {
  readonly #services: RunServices;
  readonly #request: RunRequest;
  readonly #sink: AnswerSink;
  readonly #tried = new Set<string>();
  readonly #placement: RequestPlacement;
  /** Attempts that count towards what the route allows. */
  #attempts = 0;
  #started = 0;
  /** An endpoint may have run the request. */
  #mayHaveRun = false;
  #lastFailure = "";
  #sentFailure: { head: AttemptHead; body: Buffer } | undefined;

  constructor(services: RunServices, request: RunRequest, sink: AnswerSink) {
    this.#services = services;
    this.#request = request;
    this.#sink = sink;
    this.#placement = new RequestPlacement(services, request);
  }

  /** Why the last attempt failed or none was made; empty when all went well. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  async run(): Promise<RunOutcome> {
    const { route, service } = this.#request;
    this.#services.budget.recordRequest(service.name, this.#services.now());
    let model = chooseFirstModel(route.models);
    for (;;) {
      const attempt = await this.#tryNext(model);
      if (attempt === undefined) return this.#giveUp();
      const next = this.#chooseNextModel(attempt);
      if (next === undefined) return await this.#deliver(attempt);
      // The dropped answer did run.
      this.#mayHaveRun = true;
      attempt.controller.abort();
      attempt.release();
      this.#tried.clear();
      model = next;
    }
  }

  /** The next good head; undefined when no further attempt is allowed. */
  async #tryNext(
    model: string,
    lastEventId?: number,
  ): Promise<AnsweredAttempt | undefined> {
    for (;;) {
      const choice = this.#choose(model);
      if (choice === undefined) return undefined;
      const answered = await this.#runAttempt(choice, model, lastEventId);
      if (answered !== undefined) return answered;
      if (!this.#mayRepeat()) return undefined;
    }
  }

  #mayRepeat(): boolean {
    const { route, signal } = this.#request;
    if (signal.aborted) return false;
    return route.repeat !== REPEAT.once || !this.#mayHaveRun;
  }

  get #attemptsLeft(): number {
    return this.#request.route.attempts - this.#attempts;
  }

  #choose(model: string): Choice | undefined {
    const { service, signal, deadlineAtMs } = this.#request;
    const { now, countEntries, budget } = this.#services;
    const nowMs = now();
    if (signal.aborted || deadlineAtMs - nowMs < MIN_ATTEMPT_MS) {
      return this.#fail("no time is left");
    }
    if (this.#attemptsLeft <= 0) return this.#fail("no attempts are left");
    const entries = countEntries();
    const choice = this.#placement.choose(model, this.#tried, nowMs);
    if (choice === undefined) return this.#fail("no endpoint is open");
    if (this.#attempts > 0 && !budget.spend(service.name, entries, nowMs)) {
      return this.#fail("the repeat budget is spent");
    }
    if (choice.state.isCold(nowMs)) {
      choice.state.spendColdCredit(this.#placement.coldPerSecond, nowMs);
    }
    return choice;
  }

  #fail(reason: string): undefined {
    this.#lastFailure = this.#lastFailure
      ? `${reason}; ${this.#lastFailure}`
      : reason;
    return undefined;
  }

  async #runAttempt(
    choice: Choice,
    model: string,
    lastEventId?: number,
  ): Promise<AnsweredAttempt | undefined> {
    const attempt = this.#startAttempt(choice, model);
    const { state } = attempt;
    const patience = this.#startPatience(attempt, choice);
    const result = await startAttempt({
      ...this.#createCall(attempt, lastEventId),
      signal: attempt.controller.signal,
    });
    clearTimeout(patience);
    attempt.endReading();
    if (result.isErr()) {
      this.#endFailed(attempt, result.error);
      return undefined;
    }
    const head = result.value;
    const tookMs = this.#services.now() - attempt.startedAtMs;
    if (head.facts.load !== undefined) {
      state.recordLoad(head.facts.load, this.#services.now());
    }
    if (head.status >= 500) {
      await this.#endErred(attempt, head);
      return undefined;
    }
    this.#services.view.starts.record(
      this.#request.service.name,
      model,
      tookMs,
    );
    const pace = tookMs / Math.max(1, attempt.expectedMs);
    state.recordPace(pace * state.slowness);
    this.#recordResult(attempt, ATTEMPT_RESULT.answered, pace);
    if (this.#request.route.sharesPrompts) {
      state.kept.record(model, this.#request.facts.parts);
    }
    return { ...attempt, head };
  }

  #startAttempt(choice: Choice, model: string): Attempt {
    const { service, route, signal } = this.#request;
    const { now, log, view } = this.#services;
    const { state } = choice;
    this.#attempts++;
    this.#started++;
    this.#tried.add(state.record.id);
    const work = this.#placement.createWork(model);
    const toRead = estimateTokensToRead(state, work, []) * work.weight;
    state.inFlight++;
    state.pendingWork += toRead;
    const controller = new AbortController();
    const abort = () => controller.abort();
    signal.addEventListener("abort", abort, { once: true });
    let isReading = true;
    const endReading = () => {
      if (!isReading) return;
      isReading = false;
      state.pendingWork = Math.max(0, state.pendingWork - toRead);
    };
    let isHeld = true;
    const release = () => {
      if (!isHeld) return;
      isHeld = false;
      signal.removeEventListener("abort", abort);
      state.inFlight--;
      endReading();
    };
    log.info("endpoint-chosen", {
      request: this.#request.facts.id,
      attempt: this.#started,
      route: route.name,
      service: service.name,
      endpoint: state.record.id,
      version: state.record.version,
      model: model || undefined,
      candidates: choice.candidates,
      expectedMs: Math.round(choice.startMs),
      load: Math.round(state.estimateLoad(now())),
      config: view.catalog?.configuration.version,
    });
    return {
      number: this.#started,
      state,
      model,
      startedAtMs: now(),
      expectedMs: choice.startMs,
      controller,
      endReading,
      release,
    };
  }

  /** Gives up on a silent endpoint while another one can still be in time. */
  #startPatience(attempt: Attempt, choice: Choice): NodeJS.Timeout | undefined {
    const { route, service } = this.#request;
    const usualMs = this.#services.view.starts.getMs(
      service.name,
      attempt.model,
    );
    const isLast = this.#attemptsLeft <= 0 || choice.candidates <= 1;
    if (route.repeat === REPEAT.once || isLast) return undefined;
    const patienceMs = Math.max(
      MIN_PATIENCE_MS,
      PATIENCE_SHARE * route.targetMs,
      PATIENCE_RATIO * choice.startMs,
      USUAL_RATIO * usualMs,
    );
    return setTimeout(() => attempt.controller.abort(), patienceMs);
  }

  #createCall(attempt: Attempt, lastEventId?: number) {
    const { facts, method, headers, body, account, rank, deadlineAtMs } =
      this.#request;
    const { wire, connections, now } = this.#services;
    const { record } = attempt.state;
    const leftMs = Math.max(1, Math.floor(deadlineAtMs - now()));
    return {
      address: record.address,
      port: record.port,
      method,
      path: facts.path,
      headers: wire.createAttemptHeaders(headers, {
        endpoint: record,
        deadlineMs: leftMs,
        account,
        model: attempt.model || undefined,
        rank,
        lastEventId: lastEventId ?? facts.lastEventId,
        bodyBytes: body.length,
      }),
      body,
      requestId: facts.id,
      agent: this.#getAgent(connections, record.id),
      wire,
    };
  }

  #getAgent(connections: Connections, id: string): Agent {
    const { service } = this.#request;
    const entries = this.#services.countEntries();
    const most = (service.maxConnections * CONNECTION_SHARE) / entries;
    return connections.getAgent(id, Math.floor(most));
  }

  #endFailed(attempt: Attempt, failure: AttemptFailure): void {
    attempt.release();
    const { state } = attempt;
    const { kind, detail, facts } = failure;
    const nowMs = this.#services.now();
    if (facts?.load !== undefined) state.recordLoad(facts.load, nowMs);
    if (kind === ATTEMPT_FAILURE.notSent) this.#attempts--;
    if (kind === ATTEMPT_FAILURE.unknown) this.#mayHaveRun = true;
    this.#lastFailure = detail;
    // The caller left or the deadline passed: no fault of the endpoint.
    const isOwnEnd = this.#request.signal.aborted;
    if (!isOwnEnd) this.#recordResult(attempt, toAttemptResult(failure));
    this.#logEnd(attempt, kind, detail);
  }

  /** The endpoint answered with a failure of its own. */
  async #endErred(attempt: Attempt, head: AttemptHead): Promise<void> {
    const body = await readAnswerBody(head.message);
    attempt.release();
    this.#mayHaveRun = true;
    this.#lastFailure = `Status ${head.status} of the endpoint`;
    this.#recordResult(attempt, ATTEMPT_RESULT.erred);
    this.#logEnd(attempt, "erred", this.#lastFailure);
    if (body.isOk()) this.#sentFailure = { head, body: body.value };
  }

  #logEnd(attempt: Attempt, result: string, detail?: string): void {
    this.#services.log.info("attempt-ended", {
      request: this.#request.facts.id,
      attempt: attempt.number,
      endpoint: attempt.state.record.id,
      result,
      ms: Math.round(this.#services.now() - attempt.startedAtMs),
      detail,
    });
  }

  #recordResult(attempt: Attempt, result: AttemptResult, pace?: number): void {
    const { view, metrics, now } = this.#services;
    const { service, route } = this.#request;
    const { state } = attempt;
    metrics.attempts.inc({ service: service.name, result });
    const peers = view.endpoints
      .list(service.name)
      .filter((peer) => peer !== state && peer.answers > 0);
    const sum = peers.reduce((total, peer) => total + peer.failureShare, 0);
    const peerFailureShare = peers.length === 0 ? 0 : sum / peers.length;
    state.recordResult(result, { peerFailureShare, nowMs: now() });
    if (result === ATTEMPT_RESULT.refused) return;
    view.rollouts.record({
      service: service.name,
      version: state.record.version,
      route: route.name,
      endpoint: state.record.id,
      endpoints: view.endpoints
        .list(service.name)
        .filter(({ record }) => record.version === state.record.version).length,
      isGood: result === ATTEMPT_RESULT.answered,
      slowness: state.isWarm(now()) ? pace : undefined,
    });
  }

  #chooseNextModel(attempt: AnsweredAttempt): string | undefined {
    const { route, service, startedAtMs } = this.#request;
    const { confidence } = attempt.head.facts;
    if (confidence === undefined || attempt.head.status >= 300) {
      return undefined;
    }
    const { budget, countEntries, now } = this.#services;
    const nowMs = now();
    const largest = route.models.at(-1) ?? "";
    const largerStartMs =
      attempt.model === largest
        ? 0
        : this.#placement.estimateStartMs(largest, nowMs);
    const next = chooseNextModel({
      models: route.models,
      model: attempt.model,
      confidence,
      attemptsLeft: this.#attemptsLeft,
      budgetUse: budget.getUse(service.name, countEntries(), nowMs),
      spentMs: nowMs - startedAtMs,
      largerStartMs,
      targetMs: route.targetMs,
    });
    this.#services.log.info("answer-judged", {
      request: this.#request.facts.id,
      model: attempt.model,
      confidence,
      largerStartMs: Math.round(largerStartMs),
      next: next ?? "deliver",
    });
    return next;
  }

  async #deliver(attempt: AnsweredAttempt): Promise<RunOutcome> {
    const { route, facts, service } = this.#request;
    const { session } = facts;
    const { version } = attempt.state.record;
    if (session !== undefined) {
      this.#services.sessions.record(service.name, session, {
        version,
        atMs: this.#services.now(),
      });
    }
    return route.isStream && attempt.head.status < 300
      ? await this.#deliverStream(attempt)
      : await this.#deliverWhole(attempt);
  }

  async #deliverWhole(attempt: AnsweredAttempt): Promise<RunOutcome> {
    const body = await readAnswerBody(attempt.head.message);
    attempt.release();
    if (body.isOk()) {
      sendAnswer(this.#sink, this.#services.wire, attempt.head, body.value);
      return "answered";
    }
    this.#endFailed(attempt, body.error);
    if (!this.#mayRepeat()) return this.#giveUp();
    const again = await this.#tryNext(attempt.model);
    return again === undefined
      ? this.#giveUp()
      : await this.#deliverWhole(again);
  }

  async #deliverStream(first: AnsweredAttempt): Promise<RunOutcome> {
    const { route, facts, signal } = this.#request;
    const { wire, now } = this.#services;
    let attempt: AnsweredAttempt | undefined = first;
    let lastEventId = facts.lastEventId;
    this.#sink.writeHead(
      first.head.status,
      wire.createAnswerHeaders(first.head.headers),
    );
    while (attempt !== undefined) {
      const end: StreamEnd = await sendStream(this.#sink, {
        message: attempt.head.message,
        lastEventId,
        stallMs: route.pauseMs * STALL_RATIO,
        signal,
      });
      attempt.release();
      lastEventId = end.lastEventId;
      if (end.isComplete) {
        this.#sink.end();
        return "answered";
      }
      attempt.controller.abort();
      if (!signal.aborted) {
        this.#recordResult(attempt, ATTEMPT_RESULT.broken);
      }
      this.#lastFailure = signal.aborted
        ? "the caller left or its time was up"
        : (end.detail ?? "");
      this.#logEnd(attempt, "broken", this.#lastFailure);
      const mayResume = route.repeat === REPEAT.resume && !signal.aborted;
      attempt = mayResume
        ? await this.#resume(attempt.model, lastEventId, now())
        : undefined;
    }
    this.#sink.destroy();
    return "broken";
  }

  async #resume(
    model: string,
    lastEventId: number | undefined,
    nowMs: number,
  ): Promise<AnsweredAttempt | undefined> {
    const attempt = await this.#tryNext(model, lastEventId);
    this.#services.log.info("stream-resumed", {
      request: this.#request.facts.id,
      after: lastEventId,
      endpoint: attempt?.state.record.id ?? "none",
      ms: Math.round(this.#services.now() - nowMs),
    });
    if (attempt === undefined || attempt.head.status < 300) return attempt;
    attempt.controller.abort();
    attempt.release();
    return undefined;
  }

  /** Answers with what is true of the request: failed, or not run. */
  #giveUp(): RunOutcome {
    const { signal, deadlineAtMs } = this.#request;
    const { now, random, wire } = this.#services;
    if (this.#sentFailure !== undefined) {
      const { head, body } = this.#sentFailure;
      sendAnswer(this.#sink, wire, head, body);
      return "answered";
    }
    const detail = this.#lastFailure;
    const isOutOfTime = signal.aborted || deadlineAtMs - now() < MIN_ATTEMPT_MS;
    const { least, most } = RETRY_AFTER_MS;
    const retryAfterMs = least + random() * (most - least);
    if (isOutOfTime) {
      const ran = this.#mayHaveRun ? "unknown" : "no";
      this.#sink.refuse(createRefusal("deadline-exceeded", detail, { ran }));
    } else if (this.#mayHaveRun) {
      this.#sink.refuse(createRefusal("outcome-unknown", detail));
    } else {
      this.#sink.refuse(createRefusal("capacity", detail, { retryAfterMs }));
    }
    return "refused";
  }
}

function toAttemptResult(failure: AttemptFailure): AttemptResult {
  const { notRun, notSent } = ATTEMPT_FAILURE;
  if (failure.kind === notRun) return ATTEMPT_RESULT.refused;
  if (failure.kind === notSent) return ATTEMPT_RESULT.unreachable;
  return ATTEMPT_RESULT.broken;
}
