/** Sends attempts to endpoints; queues requests until one has a free slot. */

import type { EndpointStatus, FleetState } from "../schema/index.js";
import { AdmissionQueue, PRIORITY_RANKS } from "./admission_queue.js";

import {
  createTarget,
  EndpointIndex,
  estimateLoad,
  listTargets,
} from "./endpoint_index.js";
import { createRefusal, type Refusal } from "./errors.js";
import { createEmptyState } from "./fleet_state.js";
import type { PendingRequest, RunningAttempt } from "./pending_requests.js";
import { Placement } from "./placement.js";
import type { VersionSpeed } from "./plans.js";
import type { RouterAction } from "./router_events.js";
import { SpeedCache } from "./speed_cache.js";
import {
  countUnits,
  LengthEstimates,
  SpeedEstimates,
} from "./speed_estimates.js";

export interface DispatcherOptions {
  random: () => number;
  dataCentre: string;
  /** Called for a request that no endpoint can serve in time. */
  refuse: (pending: PendingRequest, refusal: Refusal) => void;
  /** Called with each action for the entry to carry out. */
  emit: (action: RouterAction) => void;
}

/** Tokens of a completed attempt. */
export interface TokenCounts {
  promptTokens: number;
  outputTokens: number;
}

/** Weight of the newest start delay in its running mean. */
const NEWEST_START_DELAY_WEIGHT = 0.1;
/** Time without new work for an endpoint after it refuses an attempt. */
const REFUSAL_PAUSE_MS = 200;
/** The same after a failed attempt, which can mean a cold engine. */
const FAILURE_PAUSE_MS = 1_000;
/**
 * Work counts as feasible if an answer this many standard deviations below the
 * mean logarithm of its class's lengths would end in time. About three in ten
 * answers are shorter.
 */
const FEASIBLE_LENGTH_DEVIATIONS = 0.52;
/** Failed endpoint choices after which the other requests are not tried. */
const MAX_FAILED_CHOICES = 3;

export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #endpoints = new EndpointIndex();
  readonly #placement: Placement;
  readonly #queue: AdmissionQueue;
  readonly speeds = new SpeedEstimates();
  readonly lengths = new LengthEstimates();
  readonly #versionSpeeds = new SpeedCache((version) =>
    this.#measureSpeed(version),
  );
  #state: FleetState = createEmptyState();

  constructor(options: DispatcherOptions) {
    this.#options = options;
    this.#placement = new Placement({
      random: options.random,
      dataCentre: options.dataCentre,
      endpoints: this.#endpoints,
      speeds: this.speeds,
    });
    this.#queue = new AdmissionQueue({
      getWeight: (account) => this.#state.accounts[account]?.weight ?? 1,
    });
  }

  setState(state: FleetState): void {
    this.#state = state;
    this.#versionSpeeds.clear();
  }

  updateEndpoint(status: EndpointStatus, nowMs: number): void {
    this.#endpoints.update(status);
    this.fillEndpoint(status.endpoint, nowMs);
  }

  removeEndpoint(name: string): void {
    this.#endpoints.remove(name);
  }

  /** Sends the request's current step, queues it or refuses it. */
  submit(pending: PendingRequest, nowMs: number): void {
    const target = getTarget(pending);
    const mustQueue = this.#queue.countWaiting(target) > 0;
    if (!mustQueue && this.#trySend(pending, nowMs) === "sent") return;
    const remainingMs = pending.request.deadlineAtMs - nowMs;
    const waitMs = this.#queue.predictWaitMs(target, pending);
    const workMs = this.#estimateFastestMs(pending);
    if (waitMs + workMs <= remainingMs) {
      this.#queue.add(target, pending);
      pending.queuedTarget = target;
      if (mustQueue) this.#sendWaiting([target], nowMs);
    } else this.#refuseUnserved(pending, target);
  }

  /** Removes the request from the queue if it waits there. */
  dequeue(pending: PendingRequest): void {
    if (pending.queuedTarget === undefined) return;
    this.#queue.remove(pending.queuedTarget, pending);
    pending.queuedTarget = undefined;
  }

  markStarted(running: RunningAttempt, nowMs: number): void {
    running.startedAtMs = nowMs;
    const endpoint = this.#endpoints.find(running.endpoint);
    if (endpoint === undefined) return;
    const delayMs = nowMs - running.sentAtMs;
    const change =
      NEWEST_START_DELAY_WEIGHT * (delayMs - endpoint.startDelayMs);
    endpoint.startDelayMs += change;
  }

  /** Ends the running attempt and frees its slot in this entry's count. */
  endAttempt(
    pending: PendingRequest,
    outcome: "completed" | "refused" | "failed" | "cancelled",
    options: { nowMs: number; tokens?: TokenCounts },
  ): RunningAttempt | undefined {
    const { running, request } = pending;
    const { nowMs, tokens } = options;
    pending.running = undefined;
    const endpoint = this.#endpoints.find(running?.endpoint ?? "");
    if (running === undefined || endpoint === undefined) return running;
    endpoint.ownInFlight = Math.max(0, endpoint.ownInFlight - 1);
    if (outcome === "refused") endpoint.avoidUntilMs = nowMs + REFUSAL_PAUSE_MS;
    if (outcome === "failed") {
      endpoint.avoidUntilMs = nowMs + FAILURE_PAUSE_MS;
      pending.failedEndpoints.add(endpoint.name);
    }
    if (tokens !== undefined) {
      const isModel = request.kind === "model";
      if (isModel) {
        this.lengths.observe(request.requestClass, tokens);
        pending.measuredUnits = countUnits(
          tokens.promptTokens,
          tokens.outputTokens,
        );
      }
      this.speeds.observe(endpoint, running.target, {
        units: isModel ? (pending.measuredUnits ?? 1) : 1,
        ms: nowMs - (running.startedAtMs ?? running.sentAtMs),
        load: (running.load + estimateLoad(endpoint) + 1) / 2,
      });
    }
    return running;
  }

  /** Refuses waiting requests that can no longer end in time. */
  tick(nowMs: number): void {
    const targets = this.#queue.listTargets();
    for (const target of targets) {
      for (const pending of this.#queue.list(target)) {
        const remainingMs = pending.request.deadlineAtMs - nowMs;
        if (this.#estimateFastestMs(pending) <= remainingMs) continue;
        this.dequeue(pending);
        this.#refuseUnserved(pending, target);
      }
    }
    this.#sendWaiting(targets, nowMs);
  }

  /** Present speed of a version, for the choice of versions. */
  getSpeed(version: string, nowMs: number): VersionSpeed {
    return this.#versionSpeeds.get(version, nowMs);
  }

  #measureSpeed(version: string): VersionSpeed {
    const target = createTarget("model", version);
    const unitMs = this.#placement.estimateUnitMs(this.#state, target);
    return { unitMs, waitMs: this.#queue.predictMeanWaitMs(target) };
  }

  /** False when the current step can't end in time on any endpoint. */
  canEndInTime(pending: PendingRequest, nowMs: number): boolean {
    const waitMs = this.#queue.predictWaitMs(getTarget(pending), pending);
    const workMs = this.#estimateFastestMs(pending);
    return waitMs + workMs <= pending.request.deadlineAtMs - nowMs;
  }

  /** Expected work, and the work at which the step counts as feasible. */
  estimateUnits(pending: PendingRequest): {
    units: number;
    feasibleUnits: number;
  } {
    const { request, measuredUnits } = pending;
    if (request.kind === "service") return { units: 1, feasibleUnits: 1 };
    if (measuredUnits !== undefined) {
      return { units: measuredUnits, feasibleUnits: measuredUnits };
    }
    const { meanLog, varianceLog } = this.lengths.get(request.requestClass);
    const feasibleLogLength =
      meanLog - FEASIBLE_LENGTH_DEVIATIONS * Math.sqrt(varianceLog);
    return {
      units: countUnits(request.promptTokens, Math.exp(meanLog)),
      feasibleUnits: countUnits(
        request.promptTokens,
        Math.exp(feasibleLogLength),
      ),
    };
  }

  #estimateFastestMs(pending: PendingRequest): number {
    const { units, feasibleUnits } = this.estimateUnits(pending);
    const { failedEndpoints } = pending;
    const target = getTarget(pending);
    const placementRequest = {
      target,
      units,
      feasibleUnits,
      remainingMs: 0,
      failedEndpoints,
    };
    return this.#placement.estimateFastestMs(this.#state, placementRequest);
  }

  #refuseUnserved(pending: PendingRequest, target: string): void {
    const isServed = this.#endpoints.listGroups(target).length > 0;
    const retryAfterMs = this.#queue.computeRetryAfterMs(target, pending);
    this.#options.refuse(
      pending,
      isServed
        ? createRefusal(
            "overloaded",
            `no endpoint can serve "${target}" in time`,
            {
              retryAfterMs,
            },
          )
        : createRefusal("no-endpoint", `no endpoint serves "${target}"`),
    );
  }

  /** Sends waiting requests to the free slots of the endpoint. */
  fillEndpoint(name: string, nowMs: number): void {
    if (this.#queue.size === 0) return;
    const endpoint = this.#endpoints.find(name);
    if (endpoint !== undefined)
      this.#sendWaiting(listTargets(endpoint.status), nowMs);
  }

  /** Sends waiting requests for the targets, by priority and deadline. */
  #sendWaiting(targets: readonly string[], nowMs: number): void {
    const openTargets = new Set(targets);
    for (
      let failedChoices = 0;
      failedChoices < MAX_FAILED_CHOICES && openTargets.size > 0;
    ) {
      let next: PendingRequest | undefined;
      for (const target of openTargets) {
        const first = this.#queue.peek(target);
        if (first === undefined) openTargets.delete(target);
        else if (next === undefined || isBefore(first, next)) next = first;
      }
      if (next === undefined) return;
      const target = getTarget(next);
      if (this.#trySend(next, nowMs) === "sent") {
        this.#queue.recordDeparture(target, nowMs);
        this.dequeue(next);
        continue;
      }
      openTargets.delete(target);
      failedChoices++;
    }
  }

  #trySend(pending: PendingRequest, nowMs: number): "sent" | "not-sent" {
    const { request } = pending;
    const target = getTarget(pending);
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const { units, feasibleUnits } = this.estimateUnits(pending);
    const { prefixHash } = request;
    const { failedEndpoints } = pending;
    const endpoint = this.#placement.choose(
      this.#state,
      {
        target,
        units,
        feasibleUnits,
        remainingMs,
        failedEndpoints,
        prefixHash,
      },
      nowMs,
    );
    if (endpoint === undefined) return "not-sent";
    const workMs = this.speeds.estimateMs(endpoint, target, units);
    this.#queue.charge(request.account, workMs);
    endpoint.ownInFlight++;
    pending.attempt++;
    pending.stepAttempts++;
    const [version = ""] = pending.steps;
    pending.running = {
      endpoint: endpoint.name,
      version,
      sentAtMs: nowMs,
      isFinal: pending.steps.length === 1,
      target,
      expectedMs: workMs,
      load: estimateLoad(endpoint),
    };
    this.#options.emit({
      type: "dispatch",
      requestId: request.id,
      attempt: pending.attempt,
      endpoint: endpoint.name,
      version,
      remainingMs,
      final: pending.running.isFinal,
    });
    return "sent";
  }
}

function getTarget({ request, steps }: PendingRequest): string {
  return request.kind === "service"
    ? createTarget("service", request.service)
    : createTarget("model", steps[0] ?? "");
}

function isBefore(a: PendingRequest, b: PendingRequest): boolean {
  const rankA = PRIORITY_RANKS[a.request.priority];
  const rankB = PRIORITY_RANKS[b.request.priority];
  if (rankA !== rankB) return rankA < rankB;
  return a.request.deadlineAtMs < b.request.deadlineAtMs;
}
