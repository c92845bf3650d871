/**
 * Runs one request: chooses version, model and endpoint, retries where that is
 * allowed, and delivers the answer, or a refusal that states correctly whether
 * the request may have run.
 */

import { createRefusal } from "../../core/errors.js";
import type { HeldParts } from "../fleet/index.js";
import {
  chooseFirstModel,
  chooseNextModel,
  type EndpointChoice,
} from "../placing/index.js";
import { RETRY_POLICY } from "../types.js";
import {
  type AnsweredAttempt,
  type AttemptOutcome,
  AttemptRunner,
  type ErrorAnswer,
  OUTCOME_KIND,
  type RunDependencies,
  type RunRequest,
} from "./attempt_runner.js";
import { EventSequence } from "./event_sequence.js";
import { createHeldRefusal } from "./held_refusal.js";
import { LowConfidenceAnswer } from "./low_confidence_answer.js";
import { RequestPlacement } from "./request_placement.js";
import {
  type AnswerSink,
  isEventStream,
  type StreamEnd,
  sendAnswer,
  sendStream,
} from "./send_answer.js";
import { type AttemptHead, readAnswerBody } from "./send_attempt.js";

/** Stall timeout of a stream, as a multiple of the route's target event gap. */
const STALL_TIMEOUT_PER_TARGET_GAP = 1.25;
/** Time left below which no attempt is made: it couldn't finish, ms. */
const MIN_ATTEMPT_MS = 10;
/** Random part of the retry delay for lack of capacity: spreads callers. */
const RETRY_AFTER_MS = { minMs: 150, maxMs: 600 } as const;
const STATUS_OK = 200;

type RunOutcome = "answered" | "broken" | "refused";

export class RequestRun {
  readonly #dependencies: RunDependencies;
  readonly #request: RunRequest;
  readonly #sink: AnswerSink;
  readonly #triedEndpointIds = new Set<string>();
  readonly #placement: RequestPlacement;
  readonly #attemptRunner: AttemptRunner;
  /** Attempts that count towards the route's limit. */
  #countedAttempts = 0;
  /** All attempts, including those that were not sent. */
  #startedAttempts = 0;
  /** An endpoint may have run the request. */
  #mayHaveRun = false;
  #lastFailure = "";
  /** What is held, so that no more attempts may be made. */
  #heldParts: HeldParts | undefined;
  /** Last error answer of an endpoint; passed on if no attempt succeeds. */
  #errorAnswer: ErrorAnswer | undefined;

  constructor(
    dependencies: RunDependencies,
    request: RunRequest,
    sink: AnswerSink,
  ) {
    this.#dependencies = dependencies;
    this.#request = request;
    this.#sink = sink;
    this.#placement = new RequestPlacement(dependencies, request);
    this.#attemptRunner = new AttemptRunner(
      dependencies,
      request,
      this.#placement,
    );
  }

  /** Why the last attempt failed or none was made; empty without a failure. */
  get lastFailure(): string {
    return this.#lastFailure;
  }

  async run(): Promise<RunOutcome> {
    const { route, service } = this.#request;
    this.#dependencies.retryBudget.recordRequest(
      service.name,
      this.#dependencies.now(),
    );
    let model = chooseFirstModel(route.models);
    let fallback: LowConfidenceAnswer | undefined;
    for (;;) {
      const attempt = await this.#runAttempts(model);
      if (attempt === undefined) {
        const fallbackAttempt = fallback?.take();
        return fallbackAttempt
          ? await this.#deliver(fallbackAttempt)
          : this.#sendFailure();
      }
      fallback?.discard();
      const next = this.#chooseNextModel(attempt);
      if (next === undefined) return await this.#deliver(attempt);
      // The model ran the request even if its answer is discarded later.
      this.#mayHaveRun = true;
      fallback = new LowConfidenceAnswer(
        attempt,
        () => void this.#attemptRunner.recordCrashWhileWaiting(attempt),
      );
      this.#triedEndpointIds.clear();
      model = next;
    }
  }

  /** Tries endpoints until one answers, or until no attempt is allowed. */
  async #runAttempts(
    model: string,
    lastEventId?: number,
  ): Promise<AnsweredAttempt | undefined> {
    for (;;) {
      const choice = this.#choose(model);
      if (choice === undefined) return undefined;
      this.#countedAttempts++;
      this.#startedAttempts++;
      this.#triedEndpointIds.add(choice.state.record.id);
      const outcome = await this.#attemptRunner.run({
        choice,
        model,
        number: this.#startedAttempts,
        isLast: this.#attemptsLeft <= 0,
        lastEventId,
      });
      if (outcome.kind === OUTCOME_KIND.answered) return outcome.attempt;
      this.#recordFailure(outcome);
      if (!this.#mayRetry()) return undefined;
    }
  }

  #recordFailure(outcome: AttemptOutcome): void {
    if (outcome.kind === OUTCOME_KIND.answered) return;
    const { kind, detail, answer } = outcome;
    const isUnsent =
      kind === OUTCOME_KIND.notSent || kind === OUTCOME_KIND.withheld;
    if (isUnsent) this.#countedAttempts--;
    if (kind === OUTCOME_KIND.unknown || kind === OUTCOME_KIND.erred) {
      this.#mayHaveRun = true;
    }
    this.#lastFailure = detail;
    if (answer !== undefined) this.#errorAnswer = answer;
  }

  #mayRetry(): boolean {
    const { route, signal } = this.#request;
    if (signal.aborted) return false;
    return route.retryPolicy !== RETRY_POLICY.once || !this.#mayHaveRun;
  }

  get #attemptsLeft(): number {
    return this.#request.route.maxAttempts - this.#countedAttempts;
  }

  #choose(model: string): EndpointChoice | undefined {
    const { service, signal, deadlineAtMs } = this.#request;
    const { now, countEntries, retryBudget, promptHolds } = this.#dependencies;
    const nowMs = now();
    if (signal.aborted || deadlineAtMs - nowMs < MIN_ATTEMPT_MS) {
      return this.#addFailure("no time is left");
    }
    if (this.#attemptsLeft <= 0)
      return this.#addFailure("no attempts are left");
    const { facts } = this.#request;
    this.#heldParts = promptHolds.find(facts);
    if (this.#heldParts !== undefined) {
      return this.#addFailure("the request or a part of it is held");
    }
    if (this.#countedAttempts > 0 && promptHolds.isSuspect(facts)) {
      return this.#addFailure("endpoints crashed under it");
    }
    const entryCount = countEntries();
    const choice = this.#placement.choose(model, this.#triedEndpointIds, nowMs);
    if (choice === undefined) return this.#addFailure("no endpoint is open");
    if (
      this.#countedAttempts > 0 &&
      !retryBudget.spend(service.name, entryCount, nowMs)
    ) {
      return this.#addFailure("the retry budget is spent");
    }
    if (choice.state.isCold(nowMs)) {
      choice.state.spendColdCredit(this.#placement.coldPerSecond, nowMs);
    }
    return choice;
  }

  /** Puts why no endpoint was chosen before the last failure. */
  #addFailure(reason: string): undefined {
    this.#lastFailure = this.#lastFailure
      ? `${reason}; ${this.#lastFailure}`
      : reason;
    return undefined;
  }

  /** The larger model to ask next; undefined to deliver this answer. */
  #chooseNextModel(attempt: AnsweredAttempt): string | undefined {
    const { route, service, startedAtMs } = this.#request;
    const { confidence } = attempt.head.facts;
    if (confidence === undefined || attempt.head.status >= 300) {
      return undefined;
    }
    const { retryBudget, countEntries, now } = this.#dependencies;
    const nowMs = now();
    const largest = route.models.at(-1) ?? "";
    const largerStartMs =
      attempt.model === largest
        ? 0
        : this.#placement.estimateHeadLatencyMs(largest, nowMs);
    const next = chooseNextModel({
      models: route.models,
      model: attempt.model,
      confidence,
      attemptsLeft: this.#attemptsLeft,
      budgetUsedShare: retryBudget.getUsedShare(
        service.name,
        countEntries(),
        nowMs,
      ),
      elapsedMs: nowMs - startedAtMs,
      largerStartMs,
      targetMs: route.targetMs,
    });
    this.#dependencies.log.info("answer-judged", {
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
      this.#dependencies.sessions.record(service.name, session, {
        version,
        atMs: this.#dependencies.now(),
      });
    }
    const { head } = attempt;
    return route.isStream && head.status < 300 && isEventStream(head)
      ? await this.#deliverStream(attempt)
      : await this.#deliverWhole(attempt);
  }

  async #deliverWhole(attempt: AnsweredAttempt): Promise<RunOutcome> {
    const { head, stallTimeoutMs } = attempt;
    const body = await readAnswerBody(head.message, stallTimeoutMs);
    attempt.release();
    if (body.isOk()) {
      this.#attemptRunner.recordBegin();
      sendAnswer(this.#sink, this.#dependencies.wire, head, body.value);
      return "answered";
    }
    const failure = await this.#attemptRunner.endFailed(attempt, body.error);
    this.#recordFailure(failure);
    if (!this.#mayRetry()) return this.#sendFailure();
    const nextAttempt = await this.#runAttempts(attempt.model);
    return nextAttempt === undefined
      ? this.#sendFailure()
      : await this.#deliver(nextAttempt);
  }

  async #deliverStream(first: AnsweredAttempt): Promise<RunOutcome> {
    const { route, facts, signal } = this.#request;
    const { wire, now } = this.#dependencies;
    let attempt: AnsweredAttempt | undefined = first;
    const sequence = new EventSequence(facts.lastEventId);
    this.#sink.writeHead(
      first.head.status,
      wire.createAnswerHeaders(first.head.headers),
    );
    while (attempt !== undefined) {
      const end: StreamEnd = await sendStream(this.#sink, {
        message: attempt.head.message,
        sequence,
        stallTimeoutMs: route.targetEventGapMs * STALL_TIMEOUT_PER_TARGET_GAP,
        canResumeElsewhere: () =>
          sequence.canResume && this.#canResumeElsewhere(),
        onBegin: () => this.#attemptRunner.recordBegin(),
        signal,
      });
      attempt.release();
      if (end.isComplete) {
        this.#sink.end();
        return "answered";
      }
      this.#lastFailure = signal.aborted
        ? "the caller left or its time was up"
        : (end.detail ?? "");
      if (!sequence.canResume) this.#addFailure("the last event has no id");
      await this.#attemptRunner.endBroken(attempt, {
        hasBegun: end.hasBegun,
        isCut: end.isCut,
        detail: this.#lastFailure,
      });
      const mayResume =
        route.retryPolicy === RETRY_POLICY.resume &&
        sequence.canResume &&
        !signal.aborted;
      attempt = mayResume
        ? await this.#resume(attempt.model, sequence.lastEventId, now())
        : undefined;
    }
    this.#sink.destroy();
    return "broken";
  }

  /** True where another endpoint may resume a stream that broke. */
  #canResumeElsewhere(): boolean {
    const { route, service } = this.#request;
    const { retryBudget, countEntries, now } = this.#dependencies;
    return (
      route.retryPolicy === RETRY_POLICY.resume &&
      this.#attemptsLeft > 0 &&
      retryBudget.getUsedShare(service.name, countEntries(), now()) < 1
    );
  }

  /** Finds an endpoint that goes on after `lastEventId` with events. */
  async #resume(
    model: string,
    lastEventId: number | undefined,
    nowMs: number,
  ): Promise<AnsweredAttempt | undefined> {
    for (;;) {
      const attempt = await this.#runAttempts(model, lastEventId);
      this.#dependencies.log.info("stream-resumed", {
        request: this.#request.facts.id,
        after: lastEventId,
        endpoint: attempt?.state.record.id ?? "none",
        ms: Math.round(this.#dependencies.now() - nowMs),
      });
      if (attempt === undefined || isStreamRest(attempt.head)) return attempt;
      attempt.release();
      this.#lastFailure = describeHead(attempt.head);
      await this.#attemptRunner.endBroken(attempt, {
        hasBegun: false,
        isCut: false,
        detail: this.#lastFailure,
      });
    }
  }

  /** Forwards an endpoint's error or refuses, telling if it may have run. */
  #sendFailure(): RunOutcome {
    const { signal, deadlineAtMs } = this.#request;
    const { now, random, wire, promptHolds } = this.#dependencies;
    if (this.#errorAnswer !== undefined) {
      const { head, body } = this.#errorAnswer;
      sendAnswer(this.#sink, wire, head, body);
      return "answered";
    }
    const detail = this.#lastFailure;
    const isOutOfTime = signal.aborted || deadlineAtMs - now() < MIN_ATTEMPT_MS;
    const { minMs, maxMs } = RETRY_AFTER_MS;
    const spreadMs = minMs + random() * (maxMs - minMs);
    if (isOutOfTime) {
      const ran = this.#mayHaveRun ? "unknown" : "no";
      this.#sink.refuse(createRefusal("deadline-exceeded", detail, { ran }));
    } else if (this.#mayHaveRun) {
      this.#sink.refuse(createRefusal("outcome-unknown", detail));
    } else if (this.#heldParts !== undefined) {
      this.#sink.refuse(
        createHeldRefusal(promptHolds, this.#heldParts, random),
      );
    } else {
      const reopensInMs = this.#placement.assignReturnDelay(now()) ?? 0;
      const retryAfterMs = reopensInMs + spreadMs;
      this.#sink.refuse(createRefusal("capacity", detail, { retryAfterMs }));
    }
    return "refused";
  }
}

/** True where the body may be the rest of a stream, by its head. */
function isStreamRest(head: AttemptHead): boolean {
  return head.status === STATUS_OK && isEventStream(head);
}

function describeHead({ status, message }: AttemptHead): string {
  const type = message.headers["content-type"] ?? "no type";
  return `Status ${status} with ${type} does not resume a stream`;
}
