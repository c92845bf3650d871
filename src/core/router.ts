/**
 * The router of one entry: a state machine from events to actions. It reads no
 * clock and draws no random numbers of its own, so that the same events and
 * seed give the same decisions.
 */

import { match } from "ts-pattern";
import type { FleetState } from "../schema/index.js";
import { Dispatcher, type TokenCounts } from "./dispatcher.js";
import { createRefusal, type Ran, type Refusal } from "./errors.js";
import { type PendingRequest, PendingRequests } from "./pending_requests.js";
import { RetryBudget } from "./retry_budget.js";
import type {
  RouteRequest,
  RouterAction,
  RouterEvent,
} from "./router_events.js";
import { VersionSelector } from "./version_selector.js";

export interface RouterOptions {
  /** Uniform in [0, 1). */
  random: () => number;
  /** Data centre of this entry; its endpoints are preferred. */
  dataCentre?: string;
  /** Price of one judge call, in the unit of `costPerKiloToken`. */
  judgeCostPerCall?: number;
}

type EventOf<T extends RouterEvent["type"]> = Extract<RouterEvent, { type: T }>;
type AttemptEnd = "completed" | "refused" | "failed";

export class Router {
  readonly #dispatcher: Dispatcher;
  readonly #pending = new PendingRequests();
  readonly #retryBudget = new RetryBudget();
  readonly #versionSelector: VersionSelector;
  #actions: RouterAction[] = [];
  #nowMs = 0;

  constructor(options: RouterOptions) {
    this.#dispatcher = new Dispatcher({
      random: options.random,
      dataCentre: options.dataCentre ?? "",
      refuse: (pending, refusal) => this.#refuse(pending, refusal),
      emit: (action) => this.#actions.push(action),
    });
    this.#versionSelector = new VersionSelector({
      random: options.random,
      judgeCostPerCall: options.judgeCostPerCall ?? 0,
      getSpeed: (name) => this.#dispatcher.getSpeed(name, this.#nowMs),
      getLength: (name) => this.#dispatcher.lengths.get(name),
      hold: (version, reason) =>
        this.#actions.push({ type: "hold-version", version, reason }),
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
      .with({ type: "rated" }, (e) => this.#versionSelector.recordRatings(e))
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

  /** Versions to which a new session may be assigned. */
  listSessionCandidates(
    request: Pick<
      RouteRequest,
      "requestClass" | "qualityTarget" | "candidates"
    >,
  ): string[] {
    return this.#versionSelector.listSessionCandidates(request);
  }

  #setState(state: FleetState): void {
    this.#dispatcher.setState(state);
    this.#versionSelector.setState(state);
  }

  #submit(request: RouteRequest): void {
    this.#retryBudget.earn();
    const pending: PendingRequest = {
      request,
      submittedAtMs: this.#nowMs,
      attempt: 0,
      stepAttempts: 0,
      steps: this.#versionSelector.planSteps(request, this.#nowMs),
      failedEndpoints: new Set(),
      mayHaveRun: false,
    };
    this.#pending.add(pending);
    this.#versionSelector.watch(pending);
    if (pending.steps.length === 0) {
      const detail = `no version available for class "${request.requestClass}"`;
      this.#refuse(pending, createRefusal("no-endpoint", detail));
    } else this.#dispatcher.submit(pending, this.#nowMs);
  }

  /** Ends the running attempt; undefined when the event is of another one. */
  #endAttempt(
    event: { requestId: string; attempt: number },
    outcome: AttemptEnd,
    tokens?: TokenCounts,
  ) {
    const pending = this.#pending.find(event.requestId);
    if (pending?.attempt !== event.attempt) return undefined;
    const nowMs = this.#nowMs;
    const running = this.#dispatcher.endAttempt(pending, outcome, {
      nowMs,
      tokens,
    });
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
    this.#versionSelector.recordDuration(running, this.#nowMs);
    if (running.isFinal) {
      const isEscalated = pending.rejectedVersion !== undefined;
      const role = isEscalated ? "escalated" : "single";
      this.#versionSelector.recordAnswer(pending, running.version, role);
      this.#answer(pending);
    } else {
      pending.judgingVersion = running.version;
      const { requestId, attempt } = event;
      const { version } = running;
      this.#actions.push({ type: "judge", requestId, attempt, version });
    }
    this.#dispatcher.fillEndpoint(running.endpoint, this.#nowMs);
  }

  #applyVerdict(event: EventOf<"judged">): void {
    const pending = this.#pending.find(event.requestId);
    if (pending?.judgingVersion === undefined) return;
    if (pending.attempt !== event.attempt) return;
    const { judgingVersion: version } = pending;
    pending.judgingVersion = undefined;
    this.#versionSelector.recordVerdict(pending, version, event.passed);
    pending.steps = pending.steps.slice(1);
    if (event.passed === true || pending.steps.length === 0) {
      this.#versionSelector.recordAnswer(pending, version, "passed");
      this.#answer(pending);
      return;
    }
    pending.rejectedVersion = version;
    pending.failedEndpoints.clear();
    pending.stepAttempts = 0;
    if (!this.#canEscalate(pending, version)) {
      // No better answer can be ready in time, and the credit covers this one.
      this.#answer(pending);
    } else this.#dispatcher.submit(pending, this.#nowMs);
  }

  /**
   * False when the rejected output must do as the answer. When the planned
   * version is too slow for the time left, the best one that can still end in
   * time replaces it.
   */
  #canEscalate(pending: PendingRequest, rejected: string): boolean {
    const nowMs = this.#nowMs;
    if (this.#dispatcher.canEndInTime(pending, nowMs)) return true;
    const { steps, request } = pending;
    const [planned = ""] = steps;
    for (const replacement of this.#versionSelector.listBetter(
      request,
      rejected,
    )) {
      if (replacement === planned) continue;
      pending.steps = [replacement];
      if (!this.#dispatcher.canEndInTime(pending, nowMs)) continue;
      this.#versionSelector.chargeReplacement(request, {
        rejected,
        planned,
        replacement,
      });
      return true;
    }
    pending.steps = steps;
    return !this.#versionSelector.acceptRejected(request, rejected);
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
    this.#versionSelector.recordFailure(ended.running, this.#nowMs);
    this.#retry(ended.pending, event.refusal, event);
  }

  #retry(
    pending: PendingRequest,
    refusal: Refusal,
    outcome: { ran: Ran; delivered: boolean },
  ): void {
    const { idempotent } = pending.request;
    const { stepAttempts } = pending;
    const { ran, delivered } = outcome;
    if (this.#retryBudget.spend({ idempotent, ran, delivered, stepAttempts })) {
      this.#dispatcher.submit(pending, this.#nowMs);
    } else this.#refuse(pending, refusal);
  }

  #answer(pending: PendingRequest): void {
    this.#close(pending);
    const { attempt, request } = pending;
    this.#actions.push({ type: "answer", requestId: request.id, attempt });
  }

  #close(pending: PendingRequest): void {
    this.#pending.remove(pending);
    this.#versionSelector.stopWatching(pending);
  }

  #refuse(pending: PendingRequest, refusal: Refusal): void {
    this.#close(pending);
    const ran =
      pending.mayHaveRun && refusal.ran === "no" ? "unknown" : refusal.ran;
    this.#actions.push({
      type: "refuse",
      requestId: pending.request.id,
      refusal: { ...refusal, ran },
    });
  }

  #cancel(pending: PendingRequest): void {
    this.#dispatcher.dequeue(pending);
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
    this.#dispatcher.fillEndpoint(running.endpoint, nowMs);
  }

  #abandon(requestId: string): void {
    const pending = this.#pending.find(requestId);
    if (pending === undefined) return;
    this.#close(pending);
    this.#cancel(pending);
  }

  #expire(): void {
    for (const pending of this.#pending.listExpired(this.#nowMs)) {
      const wasRunning = pending.running !== undefined;
      this.#cancel(pending);
      const code =
        wasRunning && !pending.request.idempotent
          ? "outcome-unknown"
          : "deadline-exceeded";
      const detail = `deadline passed after attempt ${pending.attempt}`;
      this.#refuse(pending, createRefusal(code, detail));
    }
    this.#dispatcher.tick(this.#nowMs);
  }
}
