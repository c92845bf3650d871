/**
 * Moves a service to a new version by an operator's order. The new version
 * gets a small share of the sessions until half of the order's time has
 * passed, then more in steps while no evidence speaks against it. Answers a
 * version that fails at once, late, under load, on one route, or by slowness.
 */

import {
  ROLLOUT_OUTCOME,
  type RolloutOrder,
  type RolloutOutcome,
} from "./types.js";

/** Share of the sessions on the new version from a part of the time on. */
const STEPS: readonly { from: number; share: number }[] = [
  { from: 0, share: 0.1 },
  { from: 0.5, share: 0.2 },
  { from: 0.58, share: 0.4 },
  { from: 0.66, share: 0.7 },
  { from: 0.72, share: 1 },
];
/** Part of the time after which a sound version is completed. */
const COMPLETE_FROM = 0.86;
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
/** Times the old version's time to the answer that condemns the new. */
const SLOW_RATIO = 3;
const MIN_TIMES = 12;

export interface VersionAnswer {
  readonly service: string;
  readonly version: string;
  readonly route: string;
  readonly isGood: boolean;
  /** Time to the answer against the expected one. */
  readonly slowness?: number;
}

class Tally {
  answers = 0;
  failures = 0;

  add(isGood: boolean): void {
    this.answers++;
    if (!isGood) this.failures++;
  }

  get share(): number {
    return this.answers === 0 ? 0 : this.failures / this.answers;
  }
}

class Evidence {
  readonly total = new Tally();
  readonly routes = new Map<string, Tally>();
  readonly times: number[] = [];

  add(answer: VersionAnswer): void {
    this.total.add(answer.isGood);
    const route = this.getRoute(answer.route);
    route.add(answer.isGood);
    if (answer.slowness !== undefined) this.times.push(answer.slowness);
  }

  getRoute(name: string): Tally {
    let tally = this.routes.get(name);
    if (tally === undefined) {
      tally = new Tally();
      this.routes.set(name, tally);
    }
    return tally;
  }

  get median(): number {
    const sorted = [...this.times].sort((a, b) => a - b);
    return sorted[sorted.length >> 1] ?? 1;
  }
}

interface Running {
  order: RolloutOrder;
  readonly startedAtMs: number;
  readonly target: Evidence;
  readonly others: Evidence;
  verdict?: string;
}

/** What a request may run on while its service moves. */
export interface VersionRule {
  readonly target: string;
  /** True: the new version; false: any other one. */
  readonly usesTarget: boolean;
}

export interface RolloutDecision {
  readonly order: RolloutOrder;
  readonly outcome: RolloutOutcome;
  readonly reason: string;
}

export class Rollouts {
  readonly #running = new Map<string, Running>();

  put(order: RolloutOrder, nowMs: number): void {
    const known = this.#running.get(order.service);
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
      target: new Evidence(),
      others: new Evidence(),
    });
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
    let share = 0;
    for (const step of STEPS) if (part >= step.from) share = step.share;
    return share;
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
    (isTarget ? running.target : running.others).add(answer);
    if (isTarget) running.verdict ??= findFault(running);
  }

  /** Outcomes that are due; each is to be written to the store. */
  decide(nowMs: number): RolloutDecision[] {
    const decisions: RolloutDecision[] = [];
    for (const running of this.#running.values()) {
      const { order, verdict, target } = running;
      if (order.outcome !== undefined) continue;
      if (verdict !== undefined) {
        const outcome = ROLLOUT_OUTCOME.rolledBack;
        decisions.push({ order, outcome, reason: verdict });
        continue;
      }
      if (this.#getPart(running, nowMs) < COMPLETE_FROM) continue;
      if (target.total.answers < MIN_ANSWERS) continue;
      const reason = `${target.total.failures} of ${target.total.answers} failed`;
      decisions.push({ order, outcome: ROLLOUT_OUTCOME.completed, reason });
    }
    return decisions;
  }
}

/** Why the new version is bad; undefined while nothing speaks against it. */
function findFault({ target, others }: Running): string | undefined {
  const { failures, answers, share } = target.total;
  const bound = Math.max(BAD_SHARE, BAD_RATIO * others.total.share);
  if (failures >= MIN_FAILURES && share >= bound) {
    return `${failures} of ${answers} answers failed`;
  }
  for (const [name, tally] of target.routes) {
    const usual = others.getRoute(name).share;
    const most = Math.max(BAD_ROUTE_SHARE, BAD_RATIO * usual);
    if (tally.failures < MIN_ROUTE_FAILURES || tally.share < most) continue;
    return `${tally.failures} of ${tally.answers} answers on route ${name} failed`;
  }
  const isTimed =
    target.times.length >= MIN_TIMES && others.times.length >= MIN_TIMES;
  if (isTimed && target.median > SLOW_RATIO * others.median) {
    return `Answers take ${(target.median / others.median).toFixed(1)} times as long`;
  }
  return undefined;
}
