/**
 * Quality credit per request class: the sum of the expected quality of past
 * answers above the raised target. As long as it lasts, plans below the target
 * may be used, and the mean still meets it.
 */

import type { Plan } from "./plans.js";

/**
 * The share of acceptable answers in an hour varies by chance. The target is
 * raised by this many standard deviations so that each hour meets it.
 */
const TARGET_MARGIN_DEVIATIONS = 2.2;
/** Answers an hour that the raised target assumes at least. */
const MIN_HOURLY_ANSWERS = 400;
const HOUR_MS = 3_600_000;
/** Limit of the credit, in answers. */
const MAX_CREDIT_ANSWERS = 5;
/** Share of the limit from which rejected answers may use the credit. */
const MIN_SPENDABLE_SHARE = 0.8;
/**
 * Factor on past answers at each revaluation. There are up to two a second,
 * so that answers count for about an hour.
 */
const REVALUATION_DECAY = 0.9999;

interface PlanCount {
  lowerBound: number;
  count: number;
}

interface ClassCredit {
  /** Sum of the lower bounds of the quality minus the target, in answers. */
  credit: number;
  /** Quality lost by answers that were worse than planned. */
  deducted: number;
  /**
   * Requests by plan. The credit is their sum at the present estimates, so that
   * an early error about a version is corrected once evidence shows it.
   */
  readonly planCounts: Map<string, PlanCount>;
  firstRequestAtMs: number;
  requestCount: number;
}

export class QualityCredit {
  readonly #creditsByClass = new Map<string, ClassCredit>();

  get(requestClass: string): number {
    return this.#creditsByClass.get(requestClass)?.credit ?? 0;
  }

  /** Adds the request's quality above or below the raised target. */
  recordPlan(requestClass: string, plan: Plan, raisedTarget: number): void {
    const classCredit = this.#creditsByClass.get(requestClass);
    if (classCredit === undefined) return;
    const surplus = plan.lowerBound - raisedTarget;
    classCredit.credit = Math.min(
      MAX_CREDIT_ANSWERS,
      classCredit.credit + surplus,
    );
    const planCount = classCredit.planCounts.get(plan.key);
    if (planCount !== undefined) planCount.count++;
    else {
      const { lowerBound } = plan;
      classCredit.planCounts.set(plan.key, { lowerBound, count: 1 });
    }
  }

  /**
   * Deducts the shortfall of an answer below the target if the credit is near
   * its limit. A lower credit is kept for cheaper plans, which make better use
   * of it.
   */
  trySpend(requestClass: string, shortfall: number): boolean {
    const classCredit = this.#creditsByClass.get(requestClass);
    if (classCredit === undefined) return false;
    if (classCredit.credit < MAX_CREDIT_ANSWERS * MIN_SPENDABLE_SHARE)
      return false;
    this.deduct(requestClass, shortfall);
    return true;
  }

  /** Deducts the quality by which an answer is worse than planned. */
  deduct(requestClass: string, lostQuality: number): void {
    const classCredit = this.#creditsByClass.get(requestClass);
    if (classCredit === undefined) return;
    classCredit.credit -= lostQuality;
    classCredit.deducted += lostQuality;
  }

  /** Recomputes the credit of past answers from the present estimates. */
  revalue(
    requestClass: string,
    plans: readonly Plan[],
    raisedTarget: number,
  ): void {
    const classCredit = this.#creditsByClass.get(requestClass);
    if (classCredit === undefined) return;
    let credit = -classCredit.deducted;
    for (const plan of plans) {
      const planCount = classCredit.planCounts.get(plan.key);
      if (planCount !== undefined) planCount.lowerBound = plan.lowerBound;
    }
    for (const planCount of classCredit.planCounts.values()) {
      credit += planCount.count * (planCount.lowerBound - raisedTarget);
      planCount.count *= REVALUATION_DECAY;
    }
    classCredit.deducted *= REVALUATION_DECAY;
    classCredit.credit = Math.min(MAX_CREDIT_ANSWERS, credit);
  }

  /** Counts requests, for the hourly rate in `raiseTarget`. */
  countRequest(requestClass: string, nowMs: number): void {
    let classCredit = this.#creditsByClass.get(requestClass);
    if (classCredit === undefined) {
      classCredit = {
        credit: 0,
        deducted: 0,
        planCounts: new Map(),
        firstRequestAtMs: nowMs,
        requestCount: 0,
      };
      this.#creditsByClass.set(requestClass, classCredit);
    }
    classCredit.requestCount++;
  }

  /** The target plus a margin for the chance variation of an hour. */
  raiseTarget(requestClass: string, target: number, nowMs: number): number {
    const classCredit = this.#creditsByClass.get(requestClass);
    const elapsedMs = Math.max(
      60_000,
      nowMs - (classCredit?.firstRequestAtMs ?? nowMs),
    );
    const hourlyAnswers =
      ((classCredit?.requestCount ?? 0) / elapsedMs) * HOUR_MS;
    const answers = Math.max(MIN_HOURLY_ANSWERS, hourlyAnswers);
    const deviation = Math.sqrt((target * (1 - target)) / answers);
    return target + TARGET_MARGIN_DEVIATIONS * deviation;
  }
}
