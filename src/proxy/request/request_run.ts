/**
 * Runs one request: chooses version, model and endpoint, retries where that is
 * allowed, and delivers the answer, or a refusal that states correctly whether
 * the request may have run.
 */

import { err, ok, type Result } from "neverthrow";
import type { HeldParts } from "../fleet/index.js";
import {
  chooseFirstModel,
  chooseNextModel,
  type EndpointChoice,
} from "../placing/index.js";
import { RETRY_POLICY } from "../types.js";
import { AttemptRace, RACE_EVENT } from "./attempt_race.js";
import {
  type AnsweredAttempt,
  AttemptRunner,
  type ErrorAnswer,
  type FailedOutcome,
  OUTCOME_KIND,
  type RunDependencies,
  type RunRequest,
} from "./attempt_runner.js";
import { EventSequence } from "./event_sequence.js";
import { createFailureRefusal } from "./failure_refusal.js";
import { LowConfidenceAnswer } from "./low_confidence_answer.js";
import { ReplacementSearch, type SearchHooks } from "./replacement_search.js";
import { RequestPlacement } from "./request_placement.js";
import { findResumeFault } from "./resume_fault.js";
import {
  type AnswerSink,
  isEventStream,
  type StreamEnd,
  sendAnswer,
  sendStream,
} from "./send_answer.js";
import { isSuccess, readAnswerBody } from "./send_attempt.js";
import {
  decideOverlap,
  isWorthKeeping,
  OVERLAP_DECISION,
  type OverlapDecision,
} from "./silence_decision.js";

/** Stall timeout of a stream, as a multiple of the route's target event gap. */
const STALL_TIMEOUT_PER_TARGET_GAP = 1.25;
/** Time left below which no attempt is made: it couldn't finish, ms. */
export const MIN_ATTEMPT_MS = 10;

type RunOutcome = "answered" | "broken" | "refused";

interface AttemptsOptions {
  readonly model: string;
  /** The last event that the caller has of a stream to resume. */
  readonly lastEventId?: number;
  /** The caller has a part of the stream; only an answer with the rest counts. */
  readonly isResumed?: boolean;
  /** Where another endpoint is silent with the request meanwhile. */
  readonly hooks?: SearchHooks;
}

export class RequestRun {
  readonly #dependencies: RunDependencies;
  readonly #request: RunRequest;
  readonly #sink: AnswerSink;
  readonly #triedEndpointIds = new Set<string>();
  /** Endpoints that were late beside a silent one; others are preferred. */
  readonly #lateEndpointIds = new Set<string>();
  readonly #placement: RequestPlacement;
  readonly #attemptRunner: AttemptRunner;
  /** Attempts that count towards the route's limit. */
  #countedAttempts = 0;
  /** All attempts, including those that were not sent. */
  #startedAttempts = 0;
  /** An endpoint may have run the request. */
  #mayHaveRun = false;
  /** The entry stops before an endpoint would have answered. */
  #isTooLate = false;
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
      const attempt = await this.#runAttempts({ model });
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
      this.#lateEndpointIds.clear();
      model = next;
    }
  }

  /**
   * Tries endpoints until one answers, or until no attempt is allowed. While one
   * is silent, another is tried beside it.
   */
  async #runAttempts(
    options: AttemptsOptions,
  ): Promise<AnsweredAttempt | undefined> {
    const { hooks } = options;
    const race = new AttemptRace({
      onFailed: (outcome) => {
        this.#recordFailure(outcome);
        if (race.runningCount === 0) hooks?.onFailed();
      },
      discard: (attempt) => this.#discard(attempt),
    });
    const close = () => race.close();
    hooks?.signal.addEventListener("abort", close, { once: true });
    try {
      return await this.#runRace(race, options);
    } finally {
      hooks?.signal.removeEventListener("abort", close);
      race.close();
    }
  }

  async #runRace(
    race: AttemptRace,
    options: AttemptsOptions,
  ): Promise<AnsweredAttempt | undefined> {
    const { hooks } = options;
    let mayStart = true;
    for (;;) {
      const silentMs = hooks?.getSilentMs() ?? race.oldestRunMs;
      const choice = mayStart
        ? this.#choose(options.model, silentMs)
        : undefined;
      if (choice?.isOk()) this.#startAttempt(race, choice.value, options);
      else if (choice?.isErr() && race.runningCount === 0) {
        this.#addFailure(choice.error);
        return undefined;
      }
      const event = await race.next();
      if (event === undefined) return undefined;
      if (event.kind === RACE_EVENT.answered) {
        this.#mayHaveRun = true;
        return event.attempt;
      }
      const isStalled = event.kind === RACE_EVENT.stalled;
      // Beside an endpoint that still has the request, one other is enough.
      mayStart = isStalled
        ? hooks?.getSilentMs() === undefined
        : this.#mayRetry();
    }
  }

  #startAttempt(
    race: AttemptRace,
    choice: EndpointChoice,
    { model, lastEventId, isResumed, hooks }: AttemptsOptions,
  ): void {
    this.#countedAttempts++;
    this.#startedAttempts++;
    const { id } = choice.state.record;
    this.#triedEndpointIds.add(id);
    const spec = {
      choice,
      model,
      number: this.#startedAttempts,
      isLast: this.#attemptsLeft <= 0,
      isRepeat: this.#mayHaveRun || race.runningCount > 0,
      lastEventId,
    };
    const decide = (silentMs: number) =>
      this.#decideOverlap(choice, model, silentMs);
    race.start(async (raceHooks) => {
      const outcome = await this.#attemptRunner.run({
        ...spec,
        hooks: {
          ...raceHooks,
          onSent: () => {
            raceHooks.onSent();
            hooks?.onSent(decide);
          },
          onErred: () => {
            raceHooks.onErred();
            hooks?.onFailed();
          },
        },
      });
      if (outcome.kind !== OUTCOME_KIND.answered) {
        if (outcome.isSuperseded) this.#triedEndpointIds.delete(id);
        return outcome;
      }
      if (!isResumed) return outcome;
      const { attempt } = outcome;
      const { onStall, signal } = raceHooks;
      const { stallTimeoutMs } = attempt;
      const waitOptions = { stallTimeoutMs, onStall };
      const fault = await findResumeFault(attempt.head, waitOptions);
      if (fault === undefined) return outcome;
      if (signal.aborted) return this.#discard(attempt);
      attempt.release();
      const { detail } = fault;
      const end = { ...fault, hasBegun: false };
      await this.#attemptRunner.endBroken(attempt, end);
      return { kind: OUTCOME_KIND.unknown, detail };
    }, decide);
  }

  #decideOverlap(
    choice: EndpointChoice,
    model: string,
    silentMs: number,
  ): OverlapDecision {
    const { deadlineAtMs, facts } = this.#request;
    const { now, log } = this.#dependencies;
    const { id } = choice.state.record;
    const silence = { silentMs, timeLeftMs: deadlineAtMs - now() };
    const expectedMs = this.#attemptRunner.computeHeadMs(
      choice.expectedMs,
      model,
    );
    const decision = decideOverlap(silence, expectedMs);
    if (decision === OVERLAP_DECISION.keepEarlier)
      this.#lateEndpointIds.add(id);
    log.info("overlap-ended", {
      request: facts.id,
      endpoint: id,
      decision,
      silentMs: Math.round(silentMs),
      expectedMs: Math.round(expectedMs),
    });
    return decision;
  }

  /** Ends an attempt whose answer is not needed any more. */
  #discard(attempt: AnsweredAttempt): FailedOutcome {
    this.#triedEndpointIds.delete(attempt.state.record.id);
    return this.#attemptRunner.endSuperseded(attempt);
  }

  #recordFailure({ kind, detail, answer }: FailedOutcome): void {
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

  /** Prefers endpoints that were not late beside a silent one. */
  #chooseEndpoint(model: string, nowMs: number): EndpointChoice | undefined {
    const triedIds = this.#triedEndpointIds;
    const lateIds = this.#lateEndpointIds;
    const askedIds = new Set([...triedIds, ...lateIds]);
    return (
      this.#placement.choose(model, askedIds, nowMs) ??
      this.#placement.choose(model, triedIds, nowMs)
    );
  }

  /**
   * Chooses an endpoint, or says why there is none. `silentMs` is the silence
   * of the one that has the request, if any.
   */
  #choose(
    model: string,
    silentMs: number | undefined,
  ): Result<EndpointChoice, string> {
    const { service, signal, deadlineAtMs, facts } = this.#request;
    const { now, retryBudget, promptHolds } = this.#dependencies;
    const nowMs = now();
    if (signal.aborted || deadlineAtMs - nowMs < MIN_ATTEMPT_MS) {
      return err("no time is left");
    }
    if (this.#attemptsLeft <= 0) return err("no attempts are left");
    const isLastKept =
      silentMs !== undefined &&
      this.#attemptsLeft === 1 &&
      this.#lateEndpointIds.size > 0;
    if (
      isLastKept &&
      isWorthKeeping({ silentMs, timeLeftMs: deadlineAtMs - nowMs })
    ) {
      return err("the last attempt is kept while an endpoint may go on");
    }
    this.#heldParts = promptHolds.find(facts);
    if (this.#heldParts !== undefined) {
      return err("the request or a part of it is held");
    }
    if (this.#countedAttempts > 0 && promptHolds.isSuspect(facts)) {
      return err("endpoints crashed under it");
    }
    const choice = this.#chooseEndpoint(model, nowMs);
    if (choice === undefined) return err("no endpoint is open");
    // Where it may have run, the caller gains nothing by an earlier failure.
    const isInTime = this.#attemptRunner.isInTime(choice.expectedMs, model);
    if (!this.#mayHaveRun && !isInTime) {
      this.#isTooLate = true;
      return err("the entry stops before an answer is expected");
    }
    if (this.#countedAttempts > 0 && !retryBudget.spend(service.name, nowMs)) {
      return err("the retry budget is spent");
    }
    if (choice.state.isCold(nowMs)) {
      const { id } = choice.state.record;
      const perSecond = this.#placement.getColdPerSecond(id);
      choice.state.spendColdCredit(perSecond, nowMs);
    }
    return ok(choice);
  }

  /** Puts why no endpoint was chosen before the last failure. */
  #addFailure(reason: string): void {
    this.#lastFailure = this.#lastFailure
      ? `${reason}; ${this.#lastFailure}`
      : reason;
  }

  /** The larger model to ask next; undefined to deliver this answer. */
  #chooseNextModel(attempt: AnsweredAttempt): string | undefined {
    const { route, service, startedAtMs } = this.#request;
    const { confidence } = attempt.head.facts;
    if (confidence === undefined || !isSuccess(attempt.head)) {
      return undefined;
    }
    const { retryBudget, now } = this.#dependencies;
    const nowMs = now();
    const largest = route.models.at(-1) ?? "";
    const largerStartMs =
      attempt.model === largest
        ? 0
        : this.#estimateLargerStartMs(largest, nowMs);
    const next = chooseNextModel({
      models: route.models,
      model: attempt.model,
      confidence,
      attemptsLeft: this.#attemptsLeft,
      budgetUsedShare: retryBudget.getUsedShare(service.name, nowMs),
      elapsedMs: nowMs - startedAtMs,
      largerStartMs,
      targetMs: route.targetMs,
      isLoadShared: service.isLoadShared,
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

  #estimateLargerStartMs(model: string, nowMs: number): number {
    const expectedMs = this.#placement.estimateHeadLatencyMs(model, nowMs);
    return this.#request.service.isLoadShared
      ? this.#attemptRunner.computeHeadMs(expectedMs, model)
      : expectedMs;
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
    return route.isStream && isSuccess(head) && isEventStream(head)
      ? await this.#deliverStream(attempt)
      : await this.#deliverWhole(attempt);
  }

  async #deliverWhole(attempt: AnsweredAttempt): Promise<RunOutcome> {
    const { head, model, stallTimeoutMs } = attempt;
    const search = this.#createSearch(stallTimeoutMs ?? 0, (hooks) =>
      this.#runAttempts({ model, hooks }),
    );
    const body = await readAnswerBody(head.message, {
      memory: this.#request.memory,
      stallTimeoutMs,
      onStall: () => search.start(),
      onData: () => search.cancel(),
      abandonSignal: search.abandonSignal,
    });
    search.setEnded();
    attempt.release();
    if (body.isOk()) {
      search.cancel();
      this.#attemptRunner.recordBegin();
      sendAnswer(this.#sink, this.#dependencies.wire, head, body.value);
      return "answered";
    }
    const failure = await this.#attemptRunner.endFailed(attempt, body.error);
    this.#recordFailure(failure);
    if (!this.#mayRetry()) {
      search.cancel();
      return this.#sendFailure();
    }
    const nextAttempt =
      (await search.take()) ?? (await this.#runAttempts({ model }));
    return nextAttempt === undefined
      ? this.#sendFailure()
      : await this.#deliver(nextAttempt);
  }

  async #deliverStream(first: AnsweredAttempt): Promise<RunOutcome> {
    const { route, facts, signal } = this.#request;
    let attempt: AnsweredAttempt | undefined = first;
    const sequence = new EventSequence(facts.lastEventId);
    const stallTimeoutMs =
      route.targetEventGapMs * STALL_TIMEOUT_PER_TARGET_GAP;
    this.#sink.writeHead(
      first.head.status,
      this.#dependencies.wire.createAnswerHeaders(first.head.headers),
    );
    while (attempt !== undefined) {
      const current: AnsweredAttempt = attempt;
      const search = this.#createSearch(stallTimeoutMs, (hooks) =>
        this.#resume(current.model, sequence.lastEventId, hooks),
      );
      const mayResume = () =>
        route.retryPolicy === RETRY_POLICY.resume &&
        sequence.canResume &&
        !signal.aborted;
      const end: StreamEnd = await sendStream(this.#sink, {
        message: current.head.message,
        sequence,
        stallTimeoutMs,
        onStall: () => {
          if (!mayResume()) return;
          this.#attemptRunner.logSilence(current);
          search.start();
        },
        onEvent: () => search.cancel(),
        abandonSignal: search.abandonSignal,
        onBegin: () => this.#attemptRunner.recordBegin(),
        signal,
      });
      search.setEnded();
      current.release();
      if (end.isComplete) {
        search.cancel();
        this.#sink.end();
        return "answered";
      }
      await this.#recordBrokenStream(current, end, sequence);
      attempt = mayResume()
        ? ((await search.take()) ??
          (await this.#resume(current.model, sequence.lastEventId)))
        : undefined;
      if (attempt === undefined) search.cancel();
    }
    this.#sink.destroy();
    return "broken";
  }

  #createSearch(
    stallTimeoutMs: number,
    find: (hooks: SearchHooks) => Promise<AnsweredAttempt | undefined>,
  ): ReplacementSearch {
    const { log } = this.#dependencies;
    return new ReplacementSearch({
      stallTimeoutMs,
      // The silent endpoint may go on, so an error must not end the request.
      find: (hooks) =>
        find(hooks).catch((error: unknown) => {
          const request = this.#request.facts.id;
          log.error("replacement-search-failed", {
            request,
            error: `${error}`,
          });
          return undefined;
        }),
      discard: (attempt) => {
        this.#recordFailure(this.#discard(attempt));
      },
    });
  }

  async #recordBrokenStream(
    attempt: AnsweredAttempt,
    { detail = "", hasBegun, isCut }: StreamEnd,
    { canResume }: EventSequence,
  ): Promise<void> {
    this.#lastFailure = this.#request.signal.aborted
      ? "the caller left, its time was up or the entry stopped"
      : detail;
    if (!canResume) this.#addFailure("the last event has no id");
    await this.#attemptRunner.endBroken(attempt, {
      hasBegun,
      isCut,
      detail: this.#lastFailure,
    });
  }

  /** Finds an endpoint that goes on after `lastEventId` with events. */
  async #resume(
    model: string,
    lastEventId: number | undefined,
    hooks?: SearchHooks,
  ): Promise<AnsweredAttempt | undefined> {
    const { now, log } = this.#dependencies;
    const startedAtMs = now();
    const attempt = await this.#runAttempts({
      model,
      lastEventId,
      isResumed: true,
      hooks,
    });
    log.info("stream-resumed", {
      request: this.#request.facts.id,
      after: lastEventId,
      endpoint: attempt?.state.record.id ?? "none",
      ms: Math.round(now() - startedAtMs),
    });
    return attempt;
  }

  /** Forwards an endpoint's error or refuses, telling if it may have run. */
  #sendFailure(): RunOutcome {
    const { signal, deadlineAtMs } = this.#request;
    const { now, random, wire, promptHolds, shutdown } = this.#dependencies;
    if (this.#errorAnswer !== undefined) {
      const { head, body } = this.#errorAnswer;
      sendAnswer(this.#sink, wire, head, body);
      return "answered";
    }
    const isOutOfTime = signal.aborted || deadlineAtMs - now() < MIN_ATTEMPT_MS;
    const refusal = createFailureRefusal(
      {
        detail: this.#lastFailure,
        mayHaveRun: this.#mayHaveRun,
        isStopped: shutdown.signal.aborted,
        isTooLate: this.#isTooLate,
        isOutOfTime,
        heldParts: this.#heldParts,
      },
      {
        promptHolds,
        random,
        assignReturnDelay: () => this.#placement.assignReturnDelay(now()),
      },
    );
    this.#sink.refuse(refusal);
    return "refused";
  }
}
