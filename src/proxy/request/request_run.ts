/**
 * Runs one request: chooses version, model and endpoint, tries again where
 * that is allowed, and delivers the answer or a refusal that is true.
 */

import { createRefusal } from "../../core/errors.js";
import {
  type Choice,
  chooseFirstModel,
  chooseNextModel,
  isSettled,
} from "../placing/index.js";
import { REPEAT } from "../types.js";
import {
  type AnswerSink,
  type StreamEnd,
  sendAnswer,
  sendStream,
} from "./answer.js";
import { readAnswerBody } from "./attempt.js";
import {
  type AnsweredAttempt,
  ATTEMPT_END,
  type AttemptOutcome,
  AttemptRunner,
  type FailureAnswer,
  type RunRequest,
  type RunServices,
} from "./attempt_runner.js";
import { DoubtedAnswer } from "./doubted_answer.js";
import { RequestPlacement } from "./request_placement.js";

/** Times the allowed pause after which a silent stream is continued elsewhere. */
const STALL_RATIO = 1.25;
/** An attempt with less time than this can't end, ms. */
const MIN_ATTEMPT_MS = 10;
/** Wait that a refusal for lack of capacity names, ms; callers spread over it. */
const RETRY_AFTER_MS = { least: 150, most: 600 } as const;

type RunOutcome = "answered" | "broken" | "refused";

export class RequestRun {
  readonly #services: RunServices;
  readonly #request: RunRequest;
  readonly #sink: AnswerSink;
  readonly #tried = new Set<string>();
  readonly #placement: RequestPlacement;
  readonly #attemptRunner: AttemptRunner;
  /** Attempts that count towards what the route allows. */
  #attempts = 0;
  #started = 0;
  /** An endpoint may have run the request. */
  #mayHaveRun = false;
  #lastFailure = "";
  /** Confidence of the first model in its answer. */
  #doubt: number | undefined;
  #sentFailure: FailureAnswer | undefined;

  constructor(services: RunServices, request: RunRequest, sink: AnswerSink) {
    this.#services = services;
    this.#request = request;
    this.#sink = sink;
    this.#placement = new RequestPlacement(services, request);
    this.#attemptRunner = new AttemptRunner(services, request, this.#placement);
  }

  /** Why the last attempt failed or none was made; empty when all went well. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  async run(): Promise<RunOutcome> {
    const { route, service } = this.#request;
    this.#services.budget.recordRequest(service.name, this.#services.now());
    let model = chooseFirstModel(route.models);
    let doubted: DoubtedAnswer | undefined;
    for (;;) {
      const attempt = await this.#tryNext(model);
      if (attempt === undefined) {
        const kept = doubted?.take();
        return kept ? await this.#deliver(kept) : this.#giveUp();
      }
      doubted?.drop();
      const next = this.#chooseNextModel(attempt);
      if (next === undefined) return await this.#deliver(attempt);
      // The doubted answer did run, whether it is delivered or not.
      this.#mayHaveRun = true;
      doubted = new DoubtedAnswer(attempt);
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
      this.#attempts++;
      this.#started++;
      this.#tried.add(choice.state.record.id);
      const outcome = await this.#attemptRunner.run({
        choice,
        model,
        number: this.#started,
        isLast: this.#attemptsLeft <= 0,
        lastEventId,
      });
      if (outcome.kind === ATTEMPT_END.answered) return outcome.attempt;
      this.#recordFailure(outcome);
      if (!this.#mayRepeat()) return undefined;
    }
  }

  #recordFailure(outcome: AttemptOutcome): void {
    if (outcome.kind === ATTEMPT_END.answered) return;
    const { kind, detail, answer } = outcome;
    const isUnsent =
      kind === ATTEMPT_END.notSent || kind === ATTEMPT_END.withheld;
    if (isUnsent) this.#attempts--;
    if (kind === ATTEMPT_END.unknown || kind === ATTEMPT_END.erred) {
      this.#mayHaveRun = true;
    }
    this.#lastFailure = detail;
    if (answer !== undefined) this.#sentFailure = answer;
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

  #chooseNextModel(attempt: AnsweredAttempt): string | undefined {
    const { route, service, startedAtMs } = this.#request;
    const { confidence } = attempt.head.facts;
    if (confidence === undefined || attempt.head.status >= 300) {
      return undefined;
    }
    const { budget, countEntries, now, doubts } = this.#services;
    const nowMs = now();
    const largest = route.models.at(-1) ?? "";
    const largerStartMs =
      attempt.model === largest
        ? 0
        : this.#placement.estimateStartMs(largest, nowMs);
    const key = `${service.name} ${route.models.join(" ")}`;
    if (this.#doubt !== undefined && attempt.model !== largest) {
      doubts.record(key, attempt.model, this.#doubt, isSettled(confidence));
    }
    this.#doubt ??= confidence;
    const doubt = this.#doubt;
    const next = chooseNextModel({
      getCost: (model) =>
        service.models.find(({ name }) => name === model)?.cost,
      estimateSettled: (model, guess) =>
        doubts.estimate(key, model, doubt, guess),
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
    const { head, stallMs } = attempt;
    const body = await readAnswerBody(head.message, stallMs);
    attempt.release();
    if (body.isOk()) {
      sendAnswer(this.#sink, this.#services.wire, head, body.value);
      return "answered";
    }
    this.#recordFailure(this.#attemptRunner.endFailed(attempt, body.error));
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
        mayGiveUp: () => this.#mayContinueElsewhere(),
        signal,
      });
      attempt.release();
      lastEventId = end.lastEventId;
      if (end.isComplete) {
        this.#sink.end();
        return "answered";
      }
      this.#lastFailure = signal.aborted
        ? "the caller left or its time was up"
        : (end.detail ?? "");
      this.#attemptRunner.endBroken(attempt, this.#lastFailure);
      const mayResume = route.repeat === REPEAT.resume && !signal.aborted;
      attempt = mayResume
        ? await this.#resume(attempt.model, lastEventId, now())
        : undefined;
    }
    this.#sink.destroy();
    return "broken";
  }

  /** True where another endpoint may go on with a stream. */
  #mayContinueElsewhere(): boolean {
    const { route, service } = this.#request;
    const { budget, countEntries, now } = this.#services;
    return (
      route.repeat === REPEAT.resume &&
      this.#attemptsLeft > 0 &&
      budget.getUse(service.name, countEntries(), now()) < 1
    );
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
    const spreadMs = least + random() * (most - least);
    const reopensMs = this.#placement.findReopeningMs(now()) ?? 0;
    const retryAfterMs = reopensMs + spreadMs;
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
