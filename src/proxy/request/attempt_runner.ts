/**
 * One attempt of a request at one endpoint: sends it, gives up on silence, and
 * records what its end tells of the endpoint.
 */

import type { Agent } from "node:http";
import type { Logger } from "../../adapters/logs.js";
import type { ProxyMetrics } from "../metrics.js";
import {
  ATTEMPT_RESULT,
  type AttemptResult,
  type Choice,
  type EndpointState,
  estimateTokensToRead,
  type RepeatBudget,
} from "../placing/index.js";
import {
  type AnswerFacts,
  type RawHeaders,
  REPEAT,
  type RequestFacts,
  type Route,
  type Service,
  type Wire,
} from "../types.js";
import {
  ATTEMPT_FAILURE,
  type AttemptFailure,
  type AttemptHead,
  readAnswerBody,
  startAttempt,
} from "./attempt.js";
import type { Connections } from "./connections.js";
import type {
  PlacementOptions,
  RequestPlacement,
} from "./request_placement.js";
import { SilenceTimer } from "./silence_timer.js";

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
/** The endpoint is not the one that the request names. */
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
/** Connections of one entry to an endpoint, as a share of an equal split. */
const CONNECTION_SHARE = 0.8;

export interface RunServices extends PlacementOptions {
  readonly wire: Wire;
  readonly log: Logger;
  readonly metrics: ProxyMetrics;
  readonly connections: Connections;
  readonly budget: RepeatBudget;
  /** Steady clock, ms. */
  readonly now: () => number;
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

export interface Attempt {
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

export interface AnsweredAttempt extends Attempt {
  readonly head: AttemptHead;
  /** Pause in a whole answer after which another endpoint is asked, ms. */
  readonly stallMs?: number;
}

/** A failure of its own that an endpoint answered. */
export interface FailureAnswer {
  readonly head: AttemptHead;
  readonly body: Buffer;
}

export const ATTEMPT_END = {
  answered: "answered",
  /** The endpoint answered with a failure of its own. */
  erred: "erred",
  ...ATTEMPT_FAILURE,
} as const;

export type AttemptOutcome =
  | {
      readonly kind: typeof ATTEMPT_END.answered;
      readonly attempt: AnsweredAttempt;
    }
  | {
      readonly kind: Exclude<
        (typeof ATTEMPT_END)[keyof typeof ATTEMPT_END],
        typeof ATTEMPT_END.answered
      >;
      readonly detail: string;
      readonly answer?: FailureAnswer;
    };

export interface AttemptOrder {
  readonly choice: Choice;
  readonly model: string;
  /** Counts from 1, attempts that were not sent included. */
  readonly number: number;
  /** The route allows no attempt after this one. */
  readonly isLast: boolean;
  readonly lastEventId?: number;
}

export class AttemptRunner {
  readonly #services: RunServices;
  readonly #request: RunRequest;
  readonly #placement: RequestPlacement;

  constructor(
    services: RunServices,
    request: RunRequest,
    placement: RequestPlacement,
  ) {
    this.#services = services;
    this.#request = request;
    this.#placement = placement;
  }

  async run(order: AttemptOrder): Promise<AttemptOutcome> {
    const { model } = order;
    const attempt = this.#startAttempt(order);
    const { state } = attempt;
    const patienceMs = this.#computePatienceMs(attempt, order);
    const patience =
      patienceMs === undefined
        ? undefined
        : new SilenceTimer(() => attempt.controller.abort(), patienceMs);
    const result = await startAttempt({
      ...this.#createCall(attempt, order.lastEventId),
      signal: attempt.controller.signal,
    });
    patience?.cancel();
    attempt.endReading();
    if (result.isErr()) return this.endFailed(attempt, result.error);
    const head = result.value;
    const tookMs = this.#services.now() - attempt.startedAtMs;
    if (head.facts.load !== undefined) {
      state.recordLoad(head.facts.load, this.#services.now());
    }
    const answered = { ...attempt, head, stallMs: patienceMs };
    if (head.status >= 500) return await this.#endErred(answered);
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
    return { kind: ATTEMPT_END.answered, attempt: answered };
  }

  #startAttempt({ choice, model, number }: AttemptOrder): Attempt {
    const { service, route, signal } = this.#request;
    const { now, log, view } = this.#services;
    const { state } = choice;
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
      attempt: number,
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
      number,
      state,
      model,
      startedAtMs: now(),
      expectedMs: choice.startMs,
      controller,
      endReading,
      release,
    };
  }

  /**
   * Silence after which an endpoint is given up on, ms, while another one can
   * still be in time; undefined where there is none or it must not be asked.
   */
  #computePatienceMs(
    attempt: Attempt,
    order: AttemptOrder,
  ): number | undefined {
    const { route, service } = this.#request;
    const usualMs = this.#services.view.starts.getMs(
      service.name,
      attempt.model,
    );
    const { choice } = order;
    const isLast = order.isLast || choice.candidates <= 1;
    if (route.repeat === REPEAT.once || isLast) return undefined;
    return Math.max(
      MIN_PATIENCE_MS,
      PATIENCE_SHARE * route.targetMs,
      PATIENCE_RATIO * choice.startMs,
      USUAL_RATIO * usualMs,
    );
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
      isOpen: () => this.#services.view.isOpen(attempt.state, now()),
      onHead: (status: number, said: AnswerFacts) =>
        this.#recordWishes(attempt.state, status, said),
    };
  }

  /** The endpoint that speaks; another one may have the address by now. */
  #findSpeaker(
    asked: EndpointState,
    status: number,
    { endpointId }: AnswerFacts,
  ): EndpointState | undefined {
    if (endpointId === asked.record.id) return asked;
    if (endpointId !== undefined) {
      return this.#services.view.endpoints.get(endpointId);
    }
    return status === STATUS_MISDIRECTED ? undefined : asked;
  }

  /** What an endpoint asks of its senders beside its answer. */
  #recordWishes(state: EndpointState, status: number, said: AnswerFacts): void {
    // Bytes that nobody signed may be damaged.
    if (!said.isSigned && !said.isNotRun) return;
    const { log, now } = this.#services;
    const speaker = this.#findSpeaker(state, status, said);
    if (speaker === undefined) return;
    const endpoint = speaker.record.id;
    if (said.isLeaving && !speaker.isLeaving) {
      speaker.wishes.setLeaving();
      log.info("endpoint-leaving", { endpoint, source: "answer" });
    }
    if (status !== STATUS_UNAVAILABLE) return;
    const { retryAfterMs, unreadRetryAfter } = said;
    if (unreadRetryAfter !== undefined) {
      log.warn("retry-after-skipped", { endpoint, text: unreadRetryAfter });
    }
    if (retryAfterMs === undefined) return;
    speaker.wishes.closeFor(retryAfterMs, now());
    log.info("endpoint-closed", {
      endpoint,
      askedMs: Math.round(retryAfterMs),
    });
  }

  #getAgent(connections: Connections, id: string): Agent {
    const { service } = this.#request;
    const entries = this.#services.countEntries();
    const most = (service.maxConnections * CONNECTION_SHARE) / entries;
    return connections.getAgent(id, Math.floor(most));
  }

  /** Ends an attempt that broke, before or after its head. */
  endFailed(attempt: Attempt, failure: AttemptFailure): AttemptOutcome {
    attempt.release();
    const { state } = attempt;
    const { kind, detail, facts } = failure;
    const nowMs = this.#services.now();
    if (facts?.load !== undefined) state.recordLoad(facts.load, nowMs);
    // The caller left or the deadline passed: no fault of the endpoint.
    const isOwnEnd = this.#request.signal.aborted;
    const isFault = !isOwnEnd && kind !== ATTEMPT_FAILURE.withheld;
    if (isFault) this.#recordResult(attempt, toAttemptResult(failure));
    this.#logEnd(attempt, kind, detail);
    return { kind, detail };
  }

  /** Ends an attempt in the middle of its stream. */
  endBroken(attempt: Attempt, detail: string): void {
    attempt.controller.abort();
    if (!this.#request.signal.aborted) {
      this.#recordResult(attempt, ATTEMPT_RESULT.broken);
    }
    this.#logEnd(attempt, ATTEMPT_RESULT.broken, detail);
  }

  /** The endpoint answered with a failure of its own. */
  async #endErred(attempt: AnsweredAttempt): Promise<AttemptOutcome> {
    const { head, stallMs } = attempt;
    const body = await readAnswerBody(head.message, stallMs);
    attempt.release();
    const detail = `Status ${head.status} of the endpoint`;
    this.#recordResult(attempt, ATTEMPT_RESULT.erred);
    this.#logEnd(attempt, ATTEMPT_END.erred, detail);
    const answer = body.isOk() ? { head, body: body.value } : undefined;
    return { kind: ATTEMPT_END.erred, detail, answer };
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
    const all = view.endpoints.list(service.name);
    const peers = all.filter((peer) => peer !== state && peer.answers > 0);
    const sum = peers.reduce((total, peer) => total + peer.failureShare, 0);
    const peerFailureShare = peers.length === 0 ? 0 : sum / peers.length;
    state.recordResult(result, { peerFailureShare, nowMs: now() });
    if (result === ATTEMPT_RESULT.refused) return;
    view.rollouts.record({
      service: service.name,
      version: state.record.version,
      route: route.name,
      endpoint: state.record.id,
      endpoints: all.filter(
        ({ record }) => record.version === state.record.version,
      ).length,
      isGood: result === ATTEMPT_RESULT.answered,
      slowness: state.isWarm(now()) ? pace : undefined,
    });
  }
}

function toAttemptResult(failure: AttemptFailure): AttemptResult {
  const { notRun, notSent } = ATTEMPT_FAILURE;
  if (failure.kind === notRun) return ATTEMPT_RESULT.refused;
  if (failure.kind === notSent) return ATTEMPT_RESULT.unreachable;
  return ATTEMPT_RESULT.broken;
}
