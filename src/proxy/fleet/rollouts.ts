/**
 * Moves a service to a new version by an operator's order. The new version
 * gets a small share of the sessions until half of the order's time has
 * passed, then more in steps while no evidence speaks against it. Answers a
 * version that fails at once, late, under load, on one route, or by slowness.
 */

import type { RolloutReport } from "../../schema/exchange/index.js";
import {
  ROLLOUT_OUTCOME,
  type RolloutOrder,
  type RolloutOutcome,
} from "../types.js";
import {
  getFailureShare,
  getMeanSlowness,
  RolloutEvidence,
  type Totals,
} from "./rollout_evidence.js";

/**
 * Steps of the share, in parts of the exposure that operators allow a bad
 * version. Some versions fail only when all traffic has moved, so the requests
 * that reach the new one by the deadline stay under that exposure whatever the
 * evidence says: 0.35 / 2 + 0.6 * 0.35 + 1.2 * 0.09 + 0.4 of it.
 */
const STEPS: readonly { from: number; exposure: number }[] = [
  { from: 0, exposure: 0.35 },
  { from: 0.5, exposure: 0.6 },
  { from: 0.85, exposure: 1.2 },
];
/** Last part of the time with all traffic, in parts of the exposure. */
const FULL_EXPOSURE = 0.4;
/** Last part of the time in which a sound version is completed, likewise. */
const COMPLETE_EXPOSURE = 0.15;
/** Answers of the new version without which nothing is completed. */
const MIN_ANSWERS = 10;
/** Failures of the new version that may be chance. */
const MIN_FAILURES = 6;
const MIN_ROUTE_FAILURES = 5;
/** Share of failures that condemns a version whose old one has none. */
const BAD_SHARE = 0.2;
const BAD_ROUTE_SHARE = 0.3;
/** Times the share of failures of the old version that condemns the new. */
const BAD_RATIO = 2;
/** Part of a version's endpoints that may be faulty by themselves. */
const FAULTY_ENDPOINTS = 0.2;
/** Share of failures beyond the old version's that is no fault. */
const TOLERATED_SHARE = 0.02;
/** Standard deviations between what is counted and what is believed. */
const CERTAINTY = 2.6;
/** Times the old version's time to the answer that condemns the new. */
const SLOW_RATIO = 3;
const MIN_TIMES = 12;

/** Share of the sessions that the new version gets first. */
export function getFirstShare(exposure: number): number {
  return (STEPS[0]?.exposure ?? 0) * exposure;
}

export interface VersionAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly endpoint: string;
  /** Endpoints of the version that are registered. */
  readonly endpoints: number;
  readonly isGood: boolean;
  /** Time to the answer against the expected one. */
  readonly slowness?: number;
}

interface Running {
  order: RolloutOrder;
  startedAtMs: number;
  readonly evidence: RolloutEvidence;
  /** Most endpoints of the new version that were seen. */
  targetEndpoints: number;
  /** Why the version is bad. */
  verdict?: string;
}

/** What earlier orders for a service leave behind. */
interface Settled {
  /** Target of the last order that was completed. */
  stable?: string;
  /** Targets that were rolled back or given up for another one. */
  readonly dropped: Set<string>;
}

export interface RolloutDecision {
  readonly order: RolloutOrder;
  readonly outcome: RolloutOutcome;
  readonly reason: string;
}

export class Rollouts {
  readonly #running = new Map<string, Running>();
  readonly #settled = new Map<string, Settled>();
  readonly #origin: string;
  readonly #exposure: number;
  readonly #random: () => number;

  /**
   * `origin` names one start of this entry; `exposure` is the share of a
   * service's requests that may reach a bad version.
   */
  constructor(
    origin: string,
    exposure: number,
    random: () => number = Math.random,
  ) {
    this.#origin = origin;
    this.#exposure = exposure;
    this.#random = random;
  }

  put(order: RolloutOrder, nowMs: number): void {
    const known = this.#running.get(order.service);
    this.#settle(order, known?.order);
    if (
      known !== undefined &&
      known.order.createdRevision === order.createdRevision &&
      known.order.target === order.target
    ) {
      known.order = order;
      return;
    }
    this.#running.set(order.service, {
      order,
      startedAtMs: nowMs,
      evidence: new RolloutEvidence(this.#origin, this.#random),
      targetEndpoints: 0,
    });
  }

  #settle(order: RolloutOrder, before: RolloutOrder | undefined): void {
    const { service, target, outcome } = order;
    const settled = this.#settled.get(service) ?? { dropped: new Set() };
    this.#settled.set(service, settled);
    const isGivenUp =
      before !== undefined &&
      before.target !== target &&
      before.outcome !== ROLLOUT_OUTCOME.completed;
    if (isGivenUp) settled.dropped.add(before.target);
    if (outcome === ROLLOUT_OUTCOME.rolledBack) settled.dropped.add(target);
    else settled.dropped.delete(target);
    if (outcome === ROLLOUT_OUTCOME.completed) settled.stable = target;
  }

  /**
   * The versions, among those that have endpoints, that serve all requests
   * which a rollout does not move. Endpoints of a version that was rolled back
   * stay for some seconds, in which the next order may come.
   */
  listHeld(service: string, versions: ReadonlySet<string>): Set<string> {
    const target = this.#running.get(service)?.order.target;
    const others = new Set([...versions].filter((name) => name !== target));
    const { stable, dropped } = this.#settled.get(service) ?? {};
    if (stable !== undefined && others.has(stable)) return new Set([stable]);
    const held = new Set([...others].filter((name) => !dropped?.has(name)));
    return held.size > 0 ? held : others;
  }

  remove(service: string): void {
    this.#running.delete(service);
  }

  listServices(): string[] {
    return [...this.#running.keys()];
  }

  /** Undefined when the service isn't moved. */
  getOrder(service: string): RolloutOrder | undefined {
    return this.#running.get(service)?.order;
  }

  /** Share of the sessions that the new version gets now. */
  getShare(service: string, nowMs: number): number {
    const running = this.#running.get(service);
    if (running === undefined) return 0;
    const { order, verdict } = running;
    if (order.outcome === ROLLOUT_OUTCOME.completed) return 1;
    if (order.outcome !== undefined || verdict !== undefined) return 0;
    const part = this.#getPart(running, nowMs);
    if (part >= 1 - FULL_EXPOSURE * this.#exposure) return 1;
    const step = STEPS.findLast(({ from }) => part >= from);
    return (step?.exposure ?? 0) * this.#exposure;
  }

  /** True in the part of a rollout in which no session may change over. */
  isFirstHalf(service: string, nowMs: number): boolean {
    const running = this.#running.get(service);
    return running !== undefined && this.#getPart(running, nowMs) < 0.5;
  }

  #getPart(running: Running, nowMs: number): number {
    return (nowMs - running.startedAtMs) / running.order.durationMs;
  }

  record(answer: VersionAnswer): void {
    const running = this.#running.get(answer.service);
    if (running === undefined || running.order.outcome !== undefined) return;
    const isTarget = answer.version === running.order.target;
    running.evidence.add({ ...answer, isTarget });
    if (!isTarget) return;
    const { endpoints } = answer;
    running.targetEndpoints = Math.max(running.targetEndpoints, endpoints);
    running.verdict ??= findFault(running);
  }

  /** What this entry knows of the rollouts that are under way. */
  listReports(nowMs: number): RolloutReport[] {
    return [...this.#running.values()]
      .filter(({ order }) => order.outcome === undefined)
      .map(({ order, startedAtMs, evidence }) => ({
        service: order.service,
        target: order.target,
        createdRevision: order.createdRevision,
        elapsedMs: Math.round(nowMs - startedAtMs),
        ...evidence.list(),
      }));
  }

  /** Takes what another entry knows of a rollout that is under way here. */
  mergeReport(report: RolloutReport, nowMs: number): void {
    const running = this.#running.get(report.service);
    if (running === undefined) return;
    const { order } = running;
    if (order.target !== report.target) return;
    if (order.createdRevision !== report.createdRevision) return;
    const startedAtMs = nowMs - report.elapsedMs;
    running.startedAtMs = Math.min(running.startedAtMs, startedAtMs);
    running.evidence.merge(report);
    running.verdict ??= findFault(running);
  }

  /** Outcomes that are due; each is to be written to the store. */
  decide(nowMs: number): RolloutDecision[] {
    const decisions: RolloutDecision[] = [];
    for (const running of this.#running.values()) {
      const { order, verdict, evidence } = running;
      if (order.outcome !== undefined) continue;
      if (verdict !== undefined) {
        const outcome = ROLLOUT_OUTCOME.rolledBack;
        decisions.push({ order, outcome, reason: verdict });
        continue;
      }
      const completeFrom = 1 - COMPLETE_EXPOSURE * this.#exposure;
      if (this.#getPart(running, nowMs) < completeFrom) continue;
      const { answers, failures } = evidence.sum(true);
      if (answers < MIN_ANSWERS) continue;
      const reason = `${failures} of ${answers} answers failed`;
      decisions.push({ order, outcome: ROLLOUT_OUTCOME.completed, reason });
    }
    return decisions;
  }
}

/** Why the new version is bad; undefined while nothing speaks against it. */
function findFault(running: Running): string | undefined {
  const { evidence } = running;
  const target = evidence.sum(true);
  const others = evidence.sum(false);
  const { failures, answers } = target;
  const isMany = failures >= MIN_FAILURES;
  if (isMany && isWorse(target, getFailureShare(others), BAD_SHARE)) {
    return `${failures} of ${answers} answers failed`;
  }
  const spread = findSpreadFault(running, getFailureShare(others));
  if (spread !== undefined) return spread;
  const usual = evidence.sumRoutes(false);
  for (const [route, totals] of evidence.sumRoutes(true)) {
    const held = usual.get(route);
    const share = held === undefined ? 0 : getFailureShare(held);
    if (totals.failures < MIN_ROUTE_FAILURES) continue;
    if (!isWorse(totals, share, BAD_ROUTE_SHARE)) continue;
    return `${totals.failures} of ${totals.answers} answers on ${route} failed`;
  }
  if (target.timed < MIN_TIMES || others.timed < MIN_TIMES) return undefined;
  const ratio = getMeanSlowness(target) / getMeanSlowness(others);
  if (ratio <= SLOW_RATIO) return undefined;
  return `Answers take ${ratio.toFixed(1)} times as long`;
}

/** True when more fail than the least share, and surely more than usual. */
function isWorse(totals: Totals, usualShare: number, least: number): boolean {
  if (getFailureShare(totals) < least) return false;
  const sure = computeLeastShare(totals.failures, totals.answers);
  return sure > BAD_RATIO * usualShare;
}

/**
 * A small share of failures condemns a version where it is spread over its
 * endpoints: a few faulty endpoints are no fault of the version.
 */
function findSpreadFault(
  { evidence, targetEndpoints }: Running,
  usualShare: number,
): string | undefined {
  const ignored = Math.floor(FAULTY_ENDPOINTS * targetEndpoints);
  const failures = evidence
    .listFailures()
    .slice(ignored)
    .reduce((sum, count) => sum + count, 0);
  if (failures < MIN_FAILURES) return undefined;
  const part = 1 - ignored / Math.max(1, targetEndpoints);
  const answers = Math.max(failures, evidence.sum(true).answers * part);
  const least = computeLeastShare(failures, answers);
  if (least <= BAD_RATIO * usualShare + TOLERATED_SHARE) return undefined;
  return `${failures} of ${Math.round(answers)} answers failed on many endpoints`;
}

/** Lower end of Wilson's interval for a share that was counted. */
function computeLeastShare(count: number, total: number): number {
  const share = count / total;
  const z2 = CERTAINTY ** 2;
  const centre = share + z2 / (2 * total);
  const variance = (share * (1 - share)) / total + z2 / (4 * total ** 2);
  const least = centre - CERTAINTY * Math.sqrt(variance);
  return Math.max(0, least / (1 + z2 / total));
}
