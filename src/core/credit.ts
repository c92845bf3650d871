/**
 * Quality credit per request class: the expected quality of past answers over
 * the raised target. It lets cheaper plans be mixed in without missing it.
 */

import type { Plan } from "./plans.js";

/**
 * Standard deviations by which the share over an hour may fall short by
 * chance; the target is raised by them so that each hour meets it.
 */
const HOUR_DEVIATIONS = 2.2;
const MIN_HOURLY_ANSWERS = 400;
const HOUR_MS = 3_600_000;
/** Quality above target saved up for cheaper plans, in answers. */
const MAX_CREDIT = 5;
const SPENDABLE_SHARE = 0.8;
/** Per revaluation, of which there are up to two a second: about an hour. */
const CREDIT_DECAY = 0.9999;

interface PlanCount {
  lowerBound: number;
  count: number;
}

interface ClassAccount {
  /** Sum of bounded quality over the target, in answers. */
  credit: number;
  /** Part of the credit that rejected answers have used. */
  spent: number;
  /**
   * Requests by plan. The credit is their sum at today's estimates, so an early
   * mistake about a version is made good once evidence shows it.
   */
  readonly planCounts: Map<string, PlanCount>;
  firstAtMs: number;
  requests: number;
}

export class QualityCredit {
  readonly #accounts = new Map<string, ClassAccount>();

  get(requestClass: string): number {
    return this.#accounts.get(requestClass)?.credit ?? 0;
  }

  /** Counts the request's plan against the raised target. */
  recordPlan(requestClass: string, plan: Plan, target: number): void {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return;
    const surplus = plan.lowerBound - target;
    account.credit = Math.min(MAX_CREDIT, account.credit + surplus);
    const counted = account.planCounts.get(plan.key);
    if (counted !== undefined) counted.count++;
    else {
      const { lowerBound } = plan;
      account.planCounts.set(plan.key, { lowerBound, count: 1 });
    }
  }

  /**
   * Takes the shortfall of an answer below target from the class's credit, if
   * the credit is near its limit: cheaper plans make better use of it.
   */
  spend(requestClass: string, shortfall: number): boolean {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return false;
    if (account.credit < MAX_CREDIT * SPENDABLE_SHARE) return false;
    this.charge(requestClass, shortfall);
    return true;
  }

  /** Takes quality that an answer lost against its plan from the credit. */
  charge(requestClass: string, lost: number): void {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return;
    account.credit -= lost;
    account.spent += lost;
  }

  /** Values past answers by the present estimates. */
  revalue(requestClass: string, plans: readonly Plan[], target: number): void {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return;
    let credit = -account.spent;
    for (const plan of plans) {
      const counted = account.planCounts.get(plan.key);
      if (counted !== undefined) counted.lowerBound = plan.lowerBound;
    }
    for (const counted of account.planCounts.values()) {
      credit += counted.count * (counted.lowerBound - target);
      counted.count *= CREDIT_DECAY;
    }
    account.spent *= CREDIT_DECAY;
    account.credit = Math.min(MAX_CREDIT, credit);
  }

  countRequest(requestClass: string, nowMs: number): void {
    let account = this.#accounts.get(requestClass);
    if (account === undefined) {
      account = {
        credit: 0,
        spent: 0,
        planCounts: new Map(),
        firstAtMs: nowMs,
        requests: 0,
      };
      this.#accounts.set(requestClass, account);
    }
    account.requests++;
  }

  /** The target plus what an hour may fall short of it by chance. */
  raiseTarget(requestClass: string, target: number, nowMs: number): number {
    const account = this.#accounts.get(requestClass);
    const elapsedMs = Math.max(60_000, nowMs - (account?.firstAtMs ?? nowMs));
    const hourly = ((account?.requests ?? 0) / elapsedMs) * HOUR_MS;
    const answers = Math.max(MIN_HOURLY_ANSWERS, hourly);
    const deviation = Math.sqrt((target * (1 - target)) / answers);
    return target + HOUR_DEVIATIONS * deviation;
  }
}
