/**
 * Rolls a service out to the version that an operator ordered. The new version
 * (the target) gets a small share of the sessions for the first half of the
 * order's duration, then more in steps. It is rolled back when its answers fail,
 * reject requests or are slow against the baseline, the versions that served
 * before: at once, late, under load only, or on one route only.
 */

import type { RolloutReport } from "../../schema/exchange/index.js";
import {
  ROLLOUT_OUTCOME,
  type RolloutOrder,
  type RolloutOutcome,
} from "../types.js";
import { toMessageNumber } from "./peer_messages.js";
import { type AnswerVerdict, RolloutEvidence } from "./rollout_evidence.js";
import { findFault } from "./rollout_faults.js";

/**
 * The target's share of the sessions is a factor times the maximum exposure:
 * the share of requests that operators allow a bad version. Some versions fail
 * only when all traffic has moved, so the requests that reach the target by the
 * end of the roll-out stay under the maximum exposure even if no fault is
 * found: 0.35 / 2 + 0.6 * 0.35 + 1.2 * 0.09 + 0.4 of it.
 */
const SHARE_STEPS: readonly {
  fromElapsedShare: number;
  exposureFactor: number;
}[] = [
  { fromElapsedShare: 0, exposureFactor: 0.35 },
  { fromElapsedShare: 0.5, exposureFactor: 0.6 },
  { fromElapsedShare: 0.85, exposureFactor: 1.2 },
];
/**
 * The target gets all traffic in the last part of the roll-out: this factor
 * times the maximum exposure, as a share of its duration.
 */
const FULL_TRAFFIC_FACTOR = 0.4;
/**
 * Completion is due in the last part of the roll-out: this factor times the
 * maximum exposure, as a share of its duration.
 */
const COMPLETION_FACTOR = 0.15;
/** Answers of the target below which a roll-out is not completed. */
const MIN_ANSWERS_TO_COMPLETE = 10;

/** Share of the sessions that the target gets in the first half. */
export function getInitialShare(maxExposure: number): number {
  return (SHARE_STEPS[0]?.exposureFactor ?? 0) * maxExposure;
}

export interface VersionAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly endpoint: string;
  /** Endpoints of the version that are registered. */
  readonly endpointCount: number;
  readonly verdict: AnswerVerdict;
  /** Measured time to the answer, divided by the expected time. */
  readonly serviceTimeRatio?: number;
}

interface RolloutState {
  order: RolloutOrder;
  startedAtMs: number;
  readonly evidence: RolloutEvidence;
  /** Largest number of registered endpoints of the target seen so far. */
  targetEndpointCount: number;
  /** Why the target is rolled back; undefined while no fault is found. */
  fault?: string;
  /** The store came back from a copy, and the order was not read since. */
  isUnconfirmed: boolean;
  /** The store has lost the outcome. */
  isOutcomeLost: boolean;
}

/** Targets of the orders for one service up to now. */
interface PastTargets {
  /** Target of the last order that was completed. */
  stable?: string;
  /** Targets that were rolled back or replaced before they completed. */
  readonly abandoned: Set<string>;
}

export interface RolloutDecision {
  readonly order: RolloutOrder;
  readonly outcome: RolloutOutcome;
  readonly reason: string;
}

export class Rollouts {
  readonly #rolloutsByService = new Map<string, RolloutState>();
  readonly #pastTargets = new Map<string, PastTargets>();
  readonly #origin: string;
  readonly #maxExposure: number;
  readonly #random: () => number;

  /**
   * `origin` identifies one start of this entry; `maxExposure` is the share of
   * a service's requests that may reach a bad version.
   */
  constructor(
    origin: string,
    maxExposure: number,
    random: () => number = Math.random,
  ) {
    this.#origin = origin;
    this.#maxExposure = maxExposure;
    this.#random = random;
  }

  put(order: RolloutOrder, nowMs: number): void {
    const current = this.#rolloutsByService.get(order.service);
    const isSame =
      current !== undefined &&
      current.order.target === order.target &&
      (current.isUnconfirmed ||
        current.order.createdRevision === order.createdRevision);
    if (isSame) {
      // The outcome of an order is final, also where the store has lost it.
      const { outcome = current.order.outcome } = order;
      current.isUnconfirmed = false;
      current.isOutcomeLost = outcome !== order.outcome;
      current.order = { ...order, outcome };
      this.#recordPastTargets(current.order, current.order);
      return;
    }
    this.#recordPastTargets(order, current?.order);
    this.#rolloutsByService.set(order.service, {
      order,
      startedAtMs: nowMs,
      evidence: new RolloutEvidence(this.#origin, this.#random),
      targetEndpointCount: 0,
      isUnconfirmed: false,
      isOutcomeLost: false,
    });
  }

  /** The store came back from a copy: it has other revisions from now on. */
  startRestore(): void {
    for (const rollout of this.#rolloutsByService.values()) {
      rollout.isUnconfirmed = true;
    }
  }

  /** True for an order that a later one has replaced. */
  isReplaced({ service, target }: RolloutOrder): boolean {
    const current = this.#rolloutsByService.get(service)?.order.target;
    const { stable, abandoned } = this.#pastTargets.get(service) ?? {};
    const isPast = target === stable || abandoned?.has(target) === true;
    return current !== undefined && current !== target && isPast;
  }

  #recordPastTargets(
    order: RolloutOrder,
    previous: RolloutOrder | undefined,
  ): void {
    const { service, target, outcome } = order;
    const past = this.#pastTargets.get(service) ?? {
      abandoned: new Set(),
    };
    this.#pastTargets.set(service, past);
    const isReplaced =
      previous !== undefined &&
      previous.target !== target &&
      previous.outcome !== ROLLOUT_OUTCOME.completed;
    if (isReplaced) past.abandoned.add(previous.target);
    if (outcome === ROLLOUT_OUTCOME.rolledBack) past.abandoned.add(target);
    else past.abandoned.delete(target);
    if (outcome === ROLLOUT_OUTCOME.completed) past.stable = target;
  }

  /**
   * Which of the given versions serve the requests that do not go to the
   * target. Endpoints of an abandoned target stay registered for some seconds,
   * in which the next order may come, so abandoned targets are left out.
   */
  listBaselineVersions(
    service: string,
    versions: ReadonlySet<string>,
  ): Set<string> {
    const target = this.#rolloutsByService.get(service)?.order.target;
    const others = new Set([...versions].filter((name) => name !== target));
    const { stable, abandoned } = this.#pastTargets.get(service) ?? {};
    if (stable !== undefined && others.has(stable)) return new Set([stable]);
    const usable = new Set([...others].filter((name) => !abandoned?.has(name)));
    return usable.size > 0 ? usable : others;
  }

  remove(service: string): void {
    this.#rolloutsByService.delete(service);
  }

  listServices(): string[] {
    return [...this.#rolloutsByService.keys()];
  }

  /** Undefined when the service has no roll-out. */
  getOrder(service: string): RolloutOrder | undefined {
    return this.#rolloutsByService.get(service)?.order;
  }

  /** Share of the sessions that the target gets now. */
  getShare(service: string, nowMs: number): number {
    const rollout = this.#rolloutsByService.get(service);
    if (rollout === undefined) return 0;
    const { order, fault } = rollout;
    if (order.outcome === ROLLOUT_OUTCOME.completed) return 1;
    if (order.outcome !== undefined || fault !== undefined) return 0;
    const elapsedShare = this.#getElapsedShare(rollout, nowMs);
    if (elapsedShare >= 1 - FULL_TRAFFIC_FACTOR * this.#maxExposure) return 1;
    const step = SHARE_STEPS.findLast(
      ({ fromElapsedShare }) => elapsedShare >= fromElapsedShare,
    );
    return (step?.exposureFactor ?? 0) * this.#maxExposure;
  }

  /** True while no session may change its version. */
  isInFirstHalf(service: string, nowMs: number): boolean {
    const rollout = this.#rolloutsByService.get(service);
    return rollout !== undefined && this.#getElapsedShare(rollout, nowMs) < 0.5;
  }

  #getElapsedShare(rollout: RolloutState, nowMs: number): number {
    return (nowMs - rollout.startedAtMs) / rollout.order.durationMs;
  }

  record(answer: VersionAnswer): void {
    const rollout = this.#rolloutsByService.get(answer.service);
    if (rollout === undefined || rollout.order.outcome !== undefined) return;
    const isTarget = answer.version === rollout.order.target;
    rollout.evidence.addAnswer({ ...answer, isTarget });
    if (!isTarget) return;
    const { endpointCount } = answer;
    rollout.targetEndpointCount = Math.max(
      rollout.targetEndpointCount,
      endpointCount,
    );
    rollout.fault ??= findFault(rollout);
  }

  /** Evidence on the undecided roll-outs, for other entries. */
  listReports(nowMs: number): RolloutReport[] {
    return [...this.#rolloutsByService.values()]
      .filter(({ order }) => order.outcome === undefined)
      .map(({ order, startedAtMs, evidence }) => ({
        service: order.service,
        target: order.target,
        createdRevision: order.createdRevision,
        elapsedMs: toMessageNumber(nowMs - startedAtMs),
        ...evidence.createReport(),
      }));
  }

  /** Merges another entry's evidence if both have the same order. */
  mergeReport(report: RolloutReport, nowMs: number): void {
    const rollout = this.#rolloutsByService.get(report.service);
    if (rollout === undefined) return;
    const { order } = rollout;
    if (order.target !== report.target) return;
    if (order.createdRevision !== report.createdRevision) return;
    const startedAtMs = nowMs - report.elapsedMs;
    rollout.startedAtMs = Math.min(rollout.startedAtMs, startedAtMs);
    rollout.evidence.merge(report);
    rollout.fault ??= findFault(rollout);
  }

  /** Outcomes that are due; the caller writes them to the store. */
  decide(nowMs: number): RolloutDecision[] {
    const decisions: RolloutDecision[] = [];
    for (const rollout of this.#rolloutsByService.values()) {
      const { order, fault, evidence, isOutcomeLost } = rollout;
      if (rollout.isUnconfirmed) continue;
      if (order.outcome !== undefined) {
        const reason = "the store had lost the outcome";
        const { outcome } = order;
        if (isOutcomeLost) decisions.push({ order, outcome, reason });
        continue;
      }
      if (fault !== undefined) {
        const outcome = ROLLOUT_OUTCOME.rolledBack;
        decisions.push({ order, outcome, reason: fault });
        continue;
      }
      const completionShare = 1 - COMPLETION_FACTOR * this.#maxExposure;
      if (this.#getElapsedShare(rollout, nowMs) < completionShare) continue;
      const { answers, failures, rejections } = evidence.sumAllRoutes(true);
      if (answers < MIN_ANSWERS_TO_COMPLETE) continue;
      const reason =
        `${failures} of ${answers} answers failed, ` +
        `${rejections} rejected the request`;
      decisions.push({ order, outcome: ROLLOUT_OUTCOME.completed, reason });
    }
    return decisions;
  }
}
