/**
 * The router of one entry: a state machine from events to actions. It holds
 * no clock and no source of randomness, so a seed replays its decisions.
 */

import { match } from "ts-pattern";
import type { FleetState } from "../schema/index.js";
import { createTarget, EndpointIndex, estimateLoad } from "./endpoint_index.js";
import { createRefusal, type Ran, type Refusal } from "./errors.js";
import type { RouteRequest, RouterAction, RouterEvent } from "./events.js";
import { createEmptyState } from "./fleet_state.js";
import {
  type PendingRequest,
  PendingRequests,
  type RunningAttempt,
} from "./pending.js";
import { Placement } from "./placement.js";
import { countUnits, LengthEstimates, SpeedEstimates } from "./speeds.js";

export interface RouterOptions {
  /** Uniform in 0..1. */
  random: () => number;
  /** Data centre of this entry, preferred for endpoints. */
  dataCentre?: string;
}

/** Retries as a share of submitted requests. */
const RETRY_SHARE = 0.1;
/** Retries that may be saved up for a burst of failures. */
const MAX_RETRY_TOKENS = 50;

/** Weight of the newest observation of the time from dispatch to start. */
const START_DELAY_WEIGHT = 0.1;

type EventOf<T extends RouterEvent["type"]> = Extract<RouterEvent, { type: T }>;

export class Router {
  readonly #endpoints = new EndpointIndex();
  readonly #speeds = new SpeedEstimates();
  readonly #lengths = new LengthEstimates();
  readonly #placement: Placement;
  readonly #pending = new PendingRequests();
  #state: FleetState = createEmptyState();
  #retryTokens = MAX_RETRY_TOKENS;
  #actions: RouterAction[] = [];
  #nowMs = 0;

  constructor(options: RouterOptions) {
    this.#placement = new Placement({
      random: options.random,
      dataCentre: options.dataCentre ?? "",
      endpoints: this.#endpoints,
      speeds: this.#speeds,
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
      .with({ type: "rated" }, () => {})
      .with({ type: "endpoint-status" }, (e) => {
        this.#endpoints.update(e.status);
      })
      .with({ type: "endpoint-gone" }, (e) => {
        this.#endpoints.remove(e.endpoint);
      })
      .with({ type: "state" }, (e) => {
        this.#state = e.state;
      })
      .with({ type: "tick" }, () => this.#expire())
      .exhaustive();
    return this.#actions;
  }

  #submit(request: RouteRequest): void {
    this.#retryTokens = Math.min(
      MAX_RETRY_TOKENS,
      this.#retryTokens + RETRY_SHARE,
    );
    const pending: PendingRequest = {
      request,
      submittedAtMs: this.#nowMs,
      attempt: 0,
      steps: this.#planSteps(request),
      tried: new Set(),
      mayHaveRun: false,
    };
    this.#pending.add(pending);
    this.#dispatch(pending);
  }

  #planSteps(request: RouteRequest): string[] {
    if (request.kind === "service") return [""];
    if (request.sessionVersion !== undefined) return [request.sessionVersion];
    const usable = request.candidates.filter(
      (name) => this.#state.holds[name] === undefined,
    );
    const priced = usable.toSorted(
      (a, b) => this.#getCost(b) - this.#getCost(a),
    );
    return priced.slice(0, 1);
  }

  #getCost(version: string): number {
    return this.#state.versions[version]?.costPerKiloToken ?? 0;
  }

  #dispatch(pending: PendingRequest): void {
    const { request } = pending;
    const [version] = pending.steps;
    if (version === undefined) {
      this.#refuse(pending, createRefusal("no-endpoint", "no version is free"));
      return;
    }
    const target =
      request.kind === "service"
        ? createTarget("service", request.service)
        : createTarget("model", version);
    const remainingMs = Math.max(0, request.deadlineAtMs - this.#nowMs);
    const endpoint = this.#placement.choose(
      this.#state,
      {
        target,
        units: this.#estimateUnits(request),
        remainingMs,
        tried: pending.tried,
        prefixHash: request.prefixHash,
      },
      this.#nowMs,
    );
    if (endpoint === undefined) {
      const detail = `no endpoint is free for "${target}"`;
      this.#refuse(pending, createRefusal("no-endpoint", detail));
      return;
    }
    endpoint.ownInFlight++;
    pending.attempt++;
    pending.running = {
      endpoint: endpoint.name,
      version,
      sentAtMs: this.#nowMs,
      final: pending.steps.length === 1,
      target,
      load: estimateLoad(endpoint),
    };
    this.#actions.push({
      type: "dispatch",
      requestId: request.id,
      attempt: pending.attempt,
      endpoint: endpoint.name,
      version,
      remainingMs,
      final: pending.running.final,
    });
  }

  #estimateUnits(request: RouteRequest): number {
    if (request.kind === "service") return 1;
    const { meanLog } = this.#lengths.get(request.requestClass);
    return countUnits(request.promptTokens, Math.exp(meanLog));
  }

  /** Ends the running attempt; undefined when the event is about another. */
  #endAttempt(requestId: string, attempt: number) {
    const pending = this.#pending.find(requestId);
    const running = pending?.running;
    if (pending === undefined || running === undefined) return undefined;
    if (pending.attempt !== attempt) return undefined;
    const endpoint = this.#endpoints.find(running.endpoint);
    if (endpoint !== undefined) {
      endpoint.ownInFlight = Math.max(0, endpoint.ownInFlight - 1);
    }
    pending.running = undefined;
    return { pending, running };
  }

  #markStarted(event: EventOf<"started">): void {
    const pending = this.#pending.find(event.requestId);
    const running = pending?.running;
    if (running === undefined || pending?.attempt !== event.attempt) return;
    running.startedAtMs = this.#nowMs;
    const endpoint = this.#endpoints.find(running.endpoint);
    if (endpoint === undefined) return;
    const delayMs = this.#nowMs - running.sentAtMs;
    const change = START_DELAY_WEIGHT * (delayMs - endpoint.startDelayMs);
    endpoint.startDelayMs += change;
  }

  #observeSpeed(
    request: RouteRequest,
    running: RunningAttempt,
    event: EventOf<"completed">,
  ): void {
    const endpoint = this.#endpoints.find(running.endpoint);
    if (endpoint === undefined) return;
    const isModel = request.kind === "model";
    if (isModel)
      this.#lengths.observe(request.requestClass, event.outputTokens);
    this.#speeds.observe(endpoint, running.target, {
      units: isModel ? countUnits(event.promptTokens, event.outputTokens) : 1,
      ms: this.#nowMs - (running.startedAtMs ?? running.sentAtMs),
      load: (running.load + estimateLoad(endpoint) + 1) / 2,
    });
  }

  #complete(event: EventOf<"completed">): void {
    const ended = this.#endAttempt(event.requestId, event.attempt);
    if (ended === undefined) return;
    const { pending, running } = ended;
    pending.mayHaveRun = true;
    this.#observeSpeed(pending.request, running, event);
    if (running.final) {
      this.#answer(pending);
      return;
    }
    pending.judging = running.version;
    const { requestId, attempt } = event;
    const { version } = running;
    this.#actions.push({ type: "judge", requestId, attempt, version });
  }

  #applyVerdict(event: EventOf<"judged">): void {
    const pending = this.#pending.find(event.requestId);
    if (pending?.judging === undefined) return;
    if (pending.attempt !== event.attempt) return;
    pending.judging = undefined;
    pending.steps = pending.steps.slice(1);
    if (event.passed === true || pending.steps.length === 0) {
      this.#answer(pending);
      return;
    }
    pending.tried.clear();
    this.#dispatch(pending);
  }

  #retryRefused(event: EventOf<"refused">): void {
    const ended = this.#endAttempt(event.requestId, event.attempt);
    if (ended === undefined) return;
    this.#retry(ended.pending, ended.running.endpoint, event.refusal, "no");
  }

  #retryFailed(event: EventOf<"failed">): void {
    const ended = this.#endAttempt(event.requestId, event.attempt);
    if (ended === undefined) return;
    const { pending, running } = ended;
    if (event.ran !== "no") pending.mayHaveRun = true;
    if (event.delivered) {
      this.#refuse(pending, event.refusal);
      return;
    }
    this.#retry(pending, running.endpoint, event.refusal, event.ran);
  }

  /** A non-idempotent call is sent again only when it surely did not run. */
  #retry(
    pending: PendingRequest,
    endpoint: string,
    refusal: Refusal,
    ran: Ran,
  ): void {
    pending.tried.add(endpoint);
    const harmless = ran === "no" || pending.request.idempotent;
    if (!harmless || this.#retryTokens < 1) {
      this.#refuse(pending, refusal);
      return;
    }
    this.#retryTokens--;
    this.#dispatch(pending);
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

  #cancelRunning(pending: PendingRequest): void {
    const running = pending.running;
    if (running === undefined) return;
    pending.mayHaveRun = true;
    this.#endAttempt(pending.request.id, pending.attempt);
    this.#actions.push({
      type: "cancel-attempt",
      requestId: pending.request.id,
      attempt: pending.attempt,
      endpoint: running.endpoint,
    });
  }

  #abandon(requestId: string): void {
    const pending = this.#pending.find(requestId);
    if (pending === undefined) return;
    this.#cancelRunning(pending);
    this.#pending.remove(pending);
  }

  #expire(): void {
    for (const pending of this.#pending.listExpired(this.#nowMs)) {
      const ran = pending.running !== undefined;
      this.#cancelRunning(pending);
      const code =
        ran && !pending.request.idempotent
          ? "outcome-unknown"
          : "deadline-exceeded";
      const detail = `deadline passed after attempt ${pending.attempt}`;
      this.#refuse(pending, createRefusal(code, detail));
    }
  }
}
