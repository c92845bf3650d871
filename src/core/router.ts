/**
 * The router of one entry: a state machine from events to actions. It holds
 * no clock and no source of randomness, so a seed replays its decisions.
 */

import { match } from "ts-pattern";
import type { FleetState } from "../schema/index.js";
import { Chooser } from "./chooser.js";
import { Dispatcher, type EndedWork } from "./dispatcher.js";
import { createRefusal, type Ran, type Refusal } from "./errors.js";
import {
  type AnswerRole,
  computeEscalatedQuality,
  QualityEstimates,
} from "./estimates.js";
import type { RouteRequest, RouterAction, RouterEvent } from "./events.js";
import { createEmptyState } from "./fleet_state.js";
import { type PendingRequest, PendingRequests } from "./pending.js";
import { RetryBudget } from "./retries.js";

export interface RouterOptions {
  /** Uniform in 0..1. */
  random: () => number;
  /** Data centre of this entry, preferred for endpoints. */
  dataCentre?: string;
  /** Price of one judge call, in the unit of `costPerKiloToken`. */
  judgeCostPerCall?: number;
}

/** Requests between two updates of the judge's estimated chances. */
const JUDGE_UPDATE_REQUESTS = 200;

type EventOf<T extends RouterEvent["type"]> = Extract<RouterEvent, { type: T }>;
type AttemptEnd = "completed" | "refused" | "failed";

export class Router {
  readonly #dispatcher: Dispatcher;
  readonly #pending = new PendingRequests();
  readonly #retries = new RetryBudget();
  readonly #quality = new QualityEstimates();
  readonly #chooser: Chooser;
  #state: FleetState = createEmptyState();
  #actions: RouterAction[] = [];
  #nowMs = 0;
  #submitted = 0;

  constructor(options: RouterOptions) {
    this.#dispatcher = new Dispatcher({
      random: options.random,
      dataCentre: options.dataCentre ?? "",
      refuse: (pending, refusal) => this.#refuse(pending, refusal),
      act: (action) => this.#actions.push(action),
    });
    this.#chooser = new Chooser({
      random: options.random,
      quality: this.#quality,
      getCost: (name) => this.#state.versions[name]?.costPerKiloToken ?? 0,
      getPace: (name) => this.#dispatcher.getPace(name),
      getLength: (name) => this.#dispatcher.lengths.get(name),
      judgeCostPerCall: options.judgeCostPerCall ?? 0,
    });
  }

  /** Applies one event; `nowMs` is monotonic. */
  handle(event: RouterEvent, nowMs: number): RouterAction[] {
    this.#nowMs = nowMs;
    this.#actions = [];
    match(event)
      .with({ type: "submit" }, (e) => this.#submit(e.request))
      .with({ type: "abandon" }, (e) => this.#abandon(e.requestId))
      .with({ type: "started" }, (e) => this.#markStarted(e))
      .with({ type: "completed" }, (e) => this.#complete(e))
      .with({ type: "refused" }, (e) => this.#retryRefused(e))
      .with({ type: "failed" }, (e) => this.#retryFailed(e))
      .with({ type: "judged" }, (e) => this.#applyVerdict(e))
      .with({ type: "rated" }, (e) =>
        this.#quality.recordRatings(e.requestClass, e.version, e),
      )
      .with({ type: "endpoint-status" }, (e) =>
        this.#dispatcher.updateEndpoint(e.status, nowMs),
      )
      .with({ type: "endpoint-gone" }, (e) =>
        this.#dispatcher.removeEndpoint(e.endpoint),
      )
      .with({ type: "state" }, (e) => this.#setState(e.state))
      .with({ type: "tick" }, () => this.#expire())
      .exhaustive();
    return this.#actions;
  }

  #setState(state: FleetState): void {
    this.#state = state;
    this.#dispatcher.setState(state);
    this.#chooser.clearPlans();
  }

  #submit(request: RouteRequest): void {
    this.#retries.earn();
    if (++this.#submitted % JUDGE_UPDATE_REQUESTS === 0) {
      this.#quality.learnJudge();
    }
    const pending: PendingRequest = {
      request,
      submittedAtMs: this.#nowMs,
      attempt: 0,
      stepAttempts: 0,
      steps: this.#planSteps(request),
      judgeLast: false,
      tried: new Set(),
      mayHaveRun: false,
    };
    this.#pending.add(pending);
    if (pending.steps.length === 0) {
      const detail = `no version is open to class "${request.requestClass}"`;
      this.#refuse(pending, createRefusal("no-endpoint", detail));
    } else this.#dispatcher.submit(pending, this.#nowMs);
  }

  #planSteps(request: RouteRequest): string[] {
    if (request.kind === "service") return [""];
    if (request.sessionVersion !== undefined) return [request.sessionVersion];
    const candidates = request.candidates.filter(
      (name) => this.#state.holds[name] === undefined,
    );
    const { requestClass, qualityTarget = 0, deadlineAtMs } = request;
    const remainingMs = deadlineAtMs - this.#nowMs;
    const plan = this.#chooser.choose(
      { requestClass, candidates, qualityTarget, remainingMs },
      this.#nowMs,
    );
    return [...(plan?.steps ?? [])];
  }

  /** Ends the running attempt; undefined when the event is about another. */
  #endAttempt(
    event: { requestId: string; attempt: number },
    how: AttemptEnd,
    work?: EndedWork,
  ) {
    const pending = this.#pending.find(event.requestId);
    if (pending?.attempt !== event.attempt) return undefined;
    const nowMs = this.#nowMs;
    const running = this.#dispatcher.endAttempt(pending, how, { nowMs, work });
    return running && { pending, running };
  }

  #markStarted(event: EventOf<"started">): void {
    const pending = this.#pending.find(event.requestId);
    if (pending?.running === undefined) return;
    if (pending.attempt !== event.attempt) return;
    this.#dispatcher.markStarted(pending.running, this.#nowMs);
  }

  #complete(event: EventOf<"completed">): void {
    const ended = this.#endAttempt(event, "completed", event);
    if (ended === undefined) return;
    const { pending, running } = ended;
    pending.mayHaveRun = true;
    if (running.final) {
      const isEscalated = pending.rejectedVersion !== undefined;
      const role = isEscalated ? "escalated" : "single";
      this.#recordRole(pending, running.version, role);
      this.#answer(pending);
    } else {
      pending.judging = running.version;
      const { requestId, attempt } = event;
      const { version } = running;
      this.#actions.push({ type: "judge", requestId, attempt, version });
    }
    this.#dispatcher.drainEndpoint(running.endpoint, this.#nowMs);
  }

  #applyVerdict(event: EventOf<"judged">): void {
    const pending = this.#pending.find(event.requestId);
    if (pending?.judging === undefined) return;
    if (pending.attempt !== event.attempt) return;
    const { request, judging: version } = pending;
    const { requestClass } = request;
    pending.judging = undefined;
    if (event.passed !== undefined) {
      this.#quality.recordVerdict(requestClass, version, event.passed);
    }
    pending.steps = pending.steps.slice(1);
    if (event.passed === true || pending.steps.length === 0) {
      this.#recordRole(pending, version, "passed");
      this.#answer(pending);
      return;
    }
    pending.rejectedVersion = version;
    pending.tried.clear();
    pending.stepAttempts = 0;
    if (
      this.#dispatcher.canEnd(pending, this.#nowMs) ||
      !this.#acceptRejected(pending, version)
    ) {
      this.#dispatcher.submit(pending, this.#nowMs);
    }
  }

  /** Answers with a rejected output when no better one can be ready in time. */
  #acceptRejected(pending: PendingRequest, version: string): boolean {
    const { requestClass, qualityTarget = 0 } = pending.request;
    const { mean } = this.#quality.estimate(requestClass, version);
    const judge = this.#quality.judge;
    const quality = computeEscalatedQuality(mean, mean, judge);
    if (!this.#chooser.spendCredit(requestClass, qualityTarget - quality)) {
      return false;
    }
    this.#answer(pending);
    return true;
  }

  #recordRole(
    pending: PendingRequest,
    version: string,
    role: AnswerRole,
  ): void {
    const { kind, requestClass } = pending.request;
    if (kind === "service") return;
    const from = pending.rejectedVersion;
    this.#quality.recordAnswer(requestClass, version, { role, from });
  }

  #retryRefused(event: EventOf<"refused">): void {
    const ended = this.#endAttempt(event, "refused");
    if (ended === undefined) return;
    this.#retry(ended.pending, event.refusal, { ran: "no", delivered: false });
  }

  #retryFailed(event: EventOf<"failed">): void {
    const ended = this.#endAttempt(event, "failed");
    if (ended === undefined) return;
    if (event.ran !== "no") ended.pending.mayHaveRun = true;
    this.#retry(ended.pending, event.refusal, event);
  }

  #retry(
    pending: PendingRequest,
    refusal: Refusal,
    how: { ran: Ran; delivered: boolean },
  ): void {
    const { idempotent } = pending.request;
    const { stepAttempts } = pending;
    const { ran, delivered } = how;
    if (this.#retries.spend({ idempotent, ran, delivered, stepAttempts })) {
      this.#dispatcher.submit(pending, this.#nowMs);
    } else this.#refuse(pending, refusal);
  }

  #answer(pending: PendingRequest): void {
    this.#pending.remove(pending);
    const { attempt, request } = pending;
    this.#actions.push({ type: "answer", requestId: request.id, attempt });
  }

  #refuse(pending: PendingRequest, refusal: Refusal): void {
    this.#pending.remove(pending);
    const ran =
      pending.mayHaveRun && refusal.ran === "no" ? "unknown" : refusal.ran;
    this.#actions.push({
      type: "refuse",
      requestId: pending.request.id,
      refusal: { ...refusal, ran },
    });
  }

  #cancel(pending: PendingRequest): void {
    this.#dispatcher.forget(pending);
    const nowMs = this.#nowMs;
    const running = this.#dispatcher.endAttempt(pending, "cancelled", {
      nowMs,
    });
    if (running === undefined) return;
    pending.mayHaveRun = true;
    this.#actions.push({
      type: "cancel-attempt",
      requestId: pending.request.id,
      attempt: pending.attempt,
      endpoint: running.endpoint,
    });
    this.#dispatcher.drainEndpoint(running.endpoint, nowMs);
  }

  #abandon(requestId: string): void {
    const pending = this.#pending.find(requestId);
    if (pending === undefined) return;
    this.#pending.remove(pending);
    this.#cancel(pending);
  }

  #expire(): void {
    for (const pending of this.#pending.listExpired(this.#nowMs)) {
      const ran = pending.running !== undefined;
      this.#cancel(pending);
      const code =
        ran && !pending.request.idempotent
          ? "outcome-unknown"
          : "deadline-exceeded";
      const detail = `deadline passed after attempt ${pending.attempt}`;
      this.#refuse(pending, createRefusal(code, detail));
    }
    this.#dispatcher.tick(this.#nowMs);
  }
}
