/** Sends attempts to endpoints, and holds requests until one has a free slot. */

import type { EndpointStatus, FleetState } from "../schema/index.js";
import { AdmissionQueue, PRIORITY_RANKS } from "./admission.js";

import {
  createTarget,
  EndpointIndex,
  estimateLoad,
  listTargets,
} from "./endpoint_index.js";
import { createRefusal, type Refusal } from "./errors.js";
import type { RouterAction } from "./events.js";
import { createEmptyState } from "./fleet_state.js";
import { PaceCache } from "./paces.js";
import type { PendingRequest, RunningAttempt } from "./pending.js";
import { Placement } from "./placement.js";
import type { VersionPace } from "./plans.js";
import { countUnits, LengthEstimates, SpeedEstimates } from "./speeds.js";

export interface DispatcherOptions {
  random: () => number;
  dataCentre: string;
  /** Called when a waiting request is given up on. */
  refuse: (pending: PendingRequest, refusal: Refusal) => void;
  act: (action: RouterAction) => void;
}

export interface EndedWork {
  promptTokens: number;
  outputTokens: number;
}

/** Weight of the newest observation of the time from dispatch to start. */
const START_DELAY_WEIGHT = 0.1;
/** Pause after a refusal. */
const REFUSED_PAUSE_MS = 200;
/** Pause after a failure, which can mean a cold engine. */
const FAILED_PAUSE_MS = 1_000;
/**
 * Standard deviations below the mean logarithm of a length at which work still
 * counts as feasible: about three in ten answers are shorter.
 */
const FEASIBLE_DEVIATIONS = 0.52;
/** Endpoint choices tried per freed slot before the rest must wait. */
const MAX_DRAIN_MISSES = 3;

export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #endpoints = new EndpointIndex();
  readonly #placement: Placement;
  readonly #queue: AdmissionQueue;
  readonly speeds = new SpeedEstimates();
  readonly lengths = new LengthEstimates();
  readonly #paces = new PaceCache((version) => this.#measurePace(version));
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
    this.#paces.clear();
  }

  updateEndpoint(status: EndpointStatus, nowMs: number): void {
    this.#endpoints.update(status);
    this.drainEndpoint(status.endpoint, nowMs);
  }

  removeEndpoint(name: string): void {
    this.#endpoints.remove(name);
  }

  /** Sends the request's current step, or lets it wait, or refuses it. */
  submit(pending: PendingRequest, nowMs: number): void {
    const target = getTarget(pending);
    const isBehind = this.#queue.countWaiting(target) > 0;
    if (!isBehind && this.#trySend(pending, nowMs) === "sent") return;
    const remainingMs = pending.request.deadlineAtMs - nowMs;
    const waitMs = this.#queue.predictWaitMs(target, pending);
    const workMs = this.#estimateLeastMs(pending);
    if (waitMs + workMs <= remainingMs) {
      this.#queue.add(target, pending);
      pending.waitingFor = target;
      if (isBehind) this.#drain([target], nowMs);
    } else this.#giveUp(pending, target);
  }

  /** Takes a request out of the queue, if it waits. */
  forget(pending: PendingRequest): void {
    if (pending.waitingFor === undefined) return;
    this.#queue.remove(pending.waitingFor, pending);
    pending.waitingFor = undefined;
  }

  markStarted(running: RunningAttempt, nowMs: number): void {
    running.startedAtMs = nowMs;
    const endpoint = this.#endpoints.find(running.endpoint);
    if (endpoint === undefined) return;
    const delayMs = nowMs - running.sentAtMs;
    const change = START_DELAY_WEIGHT * (delayMs - endpoint.startDelayMs);
    endpoint.startDelayMs += change;
  }

  /** Ends the running attempt and gives its slot to a waiting request. */
  endAttempt(
    pending: PendingRequest,
    how: "completed" | "refused" | "failed" | "cancelled",
    options: { nowMs: number; work?: EndedWork },
  ): RunningAttempt | undefined {
    const { running, request } = pending;
    const { nowMs, work } = options;
    pending.running = undefined;
    const endpoint = this.#endpoints.find(running?.endpoint ?? "");
    if (running === undefined || endpoint === undefined) return running;
    endpoint.ownInFlight = Math.max(0, endpoint.ownInFlight - 1);
    if (how === "refused") endpoint.avoidUntilMs = nowMs + REFUSED_PAUSE_MS;
    if (how === "failed") {
      endpoint.avoidUntilMs = nowMs + FAILED_PAUSE_MS;
      pending.tried.add(endpoint.name);
    }
    if (work !== undefined) {
      const isModel = request.kind === "model";
      if (isModel) {
        this.lengths.observe(request.requestClass, work);
        pending.knownUnits = countUnits(work.promptTokens, work.outputTokens);
      }
      this.speeds.observe(endpoint, running.target, {
        units: isModel ? (pending.knownUnits ?? 1) : 1,
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
        if (this.#estimateLeastMs(pending) <= remainingMs) continue;
        this.forget(pending);
        this.#giveUp(pending, target);
      }
    }
    this.#drain(targets, nowMs);
  }

  /** Speed of a version for the next request. */
  getPace(version: string, nowMs: number): VersionPace {
    return this.#paces.get(version, nowMs);
  }

  #measurePace(version: string): VersionPace {
    const target = createTarget("model", version);
    const unitMs = this.#placement.estimatePace(this.#state, target);
    return { unitMs, waitMs: this.#queue.predictMeanWaitMs(target) };
  }

  /** False when the current step can't end in time on any endpoint. */
  canEnd(pending: PendingRequest, nowMs: number): boolean {
    const waitMs = this.#queue.predictWaitMs(getTarget(pending), pending);
    const workMs = this.#estimateLeastMs(pending);
    return waitMs + workMs <= pending.request.deadlineAtMs - nowMs;
  }

  countUnits(pending: PendingRequest): { units: number; leastUnits: number } {
    const { request, knownUnits } = pending;
    if (request.kind === "service") return { units: 1, leastUnits: 1 };
    if (knownUnits !== undefined) {
      return { units: knownUnits, leastUnits: knownUnits };
    }
    const { meanLog, varianceLog } = this.lengths.get(request.requestClass);
    const low = meanLog - FEASIBLE_DEVIATIONS * Math.sqrt(varianceLog);
    return {
      units: countUnits(request.promptTokens, Math.exp(meanLog)),
      leastUnits: countUnits(request.promptTokens, Math.exp(low)),
    };
  }

  #estimateLeastMs(pending: PendingRequest): number {
    const { units, leastUnits } = this.countUnits(pending);
    const { tried } = pending;
    const target = getTarget(pending);
    const work = { target, units, leastUnits, remainingMs: 0, tried };
    return this.#placement.estimateLeastMs(this.#state, work);
  }

  #giveUp(pending: PendingRequest, target: string): void {
    const isServed = this.#endpoints.listGroups(target).length > 0;
    const retryAfterMs = this.#queue.computeRetryAfterMs(target, pending);
    this.#options.refuse(
      pending,
      isServed
        ? createRefusal("overloaded", `"${target}" has no room in time`, {
            retryAfterMs,
          })
        : createRefusal("no-endpoint", `no endpoint serves "${target}"`),
    );
  }

  /** Gives free slots of the endpoint to waiting requests. */
  drainEndpoint(name: string, nowMs: number): void {
    if (this.#queue.size === 0) return;
    const endpoint = this.#endpoints.find(name);
    if (endpoint !== undefined)
      this.#drain(listTargets(endpoint.status), nowMs);
  }

  /** Sends waiting requests of the targets in order of priority. */
  #drain(targets: readonly string[], nowMs: number): void {
    const open = new Set(targets);
    for (let misses = 0; misses < MAX_DRAIN_MISSES && open.size > 0; ) {
      let next: PendingRequest | undefined;
      for (const target of open) {
        const head = this.#queue.peek(target);
        if (head === undefined) open.delete(target);
        else if (next === undefined || isBefore(head, next)) next = head;
      }
      if (next === undefined) return;
      const target = getTarget(next);
      if (this.#trySend(next, nowMs) === "sent") {
        this.#queue.recordDeparture(target, nowMs);
        this.forget(next);
        continue;
      }
      open.delete(target);
      misses++;
    }
  }

  #trySend(pending: PendingRequest, nowMs: number): "sent" | "no-room" {
    const { request } = pending;
    const target = getTarget(pending);
    const remainingMs = Math.max(0, request.deadlineAtMs - nowMs);
    const { units, leastUnits } = this.countUnits(pending);
    const { prefixHash } = request;
    const { tried } = pending;
    const endpoint = this.#placement.choose(
      this.#state,
      { target, units, leastUnits, remainingMs, tried, prefixHash },
      nowMs,
    );
    if (endpoint === undefined) return "no-room";
    const workMs = this.speeds.expectMs(endpoint, target, units);
    this.#queue.charge(request.account, workMs);
    endpoint.ownInFlight++;
    pending.attempt++;
    pending.stepAttempts++;
    const [version = ""] = pending.steps;
    pending.running = {
      endpoint: endpoint.name,
      version,
      sentAtMs: nowMs,
      final: pending.steps.length === 1,
      target,
      expectedMs: workMs,
      load: estimateLoad(endpoint),
    };
    this.#options.act({
      type: "dispatch",
      requestId: request.id,
      attempt: pending.attempt,
      endpoint: endpoint.name,
      version,
      remainingMs,
      final: pending.running.final,
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
