/**
 * Version choice: the cheapest version, or cascade of a cheap version, the
 * judge and a better one, that meets the quality target in time.
 */

import { QualityCredit } from "./credit.js";
import {
  EXPLORED_EVIDENCE,
  findShort,
  listOptions,
  listPlans,
  type Plan,
  type PlanRequest,
  type PlanSources,
} from "./plans.js";

export interface ChoiceRequest extends PlanRequest {
  readonly candidates: readonly string[];
  readonly qualityTarget: number;
}

export interface ChooserOptions extends PlanSources {
  random: () => number;
}

/** Plans are kept this long; speeds and evidence change slowly. */
const PLAN_MS = 500;
/** Share of requests that try a version with little evidence. */
const EXPLORED_SHARE = 0.1;
const MAX_KEPT_PLANS = 1_000;

interface PlanChoice {
  readonly safe: Plan;
  /** Cheaper plan that falls short of the target; used against credit. */
  readonly short?: Plan;
  readonly explore: readonly Plan[];
  readonly raisedTarget: number;
  readonly madeAtMs: number;
}

export class Chooser {
  readonly #options: ChooserOptions;
  readonly #plans = new Map<string, PlanChoice>();
  readonly credit = new QualityCredit();
  /** Candidates sorted by cost. */
  readonly #priced = new Map<string, readonly string[]>();

  constructor(options: ChooserOptions) {
    this.#options = options;
  }

  /** Drops kept plans after a change of the fleet state. */
  clearPlans(): void {
    this.#plans.clear();
    this.#priced.clear();
  }

  choose(request: ChoiceRequest, nowMs: number): Plan | undefined {
    this.credit.countRequest(request.requestClass, nowMs);
    const key = `${request.requestClass} ${request.candidates.join(" ")}`;
    let choice = this.#plans.get(key);
    if (choice === undefined || nowMs - choice.madeAtMs >= PLAN_MS) {
      choice = this.#makeChoice(request, nowMs);
      if (choice === undefined) return undefined;
      if (this.#plans.size >= MAX_KEPT_PLANS) this.#plans.clear();
      this.#plans.set(key, choice);
    }
    const { requestClass } = request;
    const plan = this.#pick(choice, this.credit.get(requestClass));
    this.credit.recordPlan(requestClass, plan, choice.raisedTarget);
    return plan;
  }

  #pick(choice: PlanChoice, credit: number): Plan {
    const { random } = this.#options;
    const { safe, short, explore } = choice;
    if (explore.length > 0 && random() < EXPLORED_SHARE) {
      const plan = explore[Math.floor(random() * explore.length)];
      if (plan !== undefined) return plan;
    }
    if (short === undefined) return safe;
    const shortfall = choice.raisedTarget - short.lowerBound;
    return credit >= shortfall ? short : safe;
  }

  #makeChoice(request: ChoiceRequest, nowMs: number): PlanChoice | undefined {
    const { quality } = this.#options;
    const { requestClass, candidates, guarded } = request;
    const priced = this.#sortByCost(candidates);
    if (priced.length === 0) return undefined;
    const dearest = priced.findLast((version) => !guarded.has(version));
    if (dearest !== undefined) quality.setDearest(requestClass, dearest);
    const options = listOptions(this.#options, request, priced);
    const plans = listPlans(this.#options, request, options);
    const { qualityTarget } = request;
    const raisedTarget = this.credit.raiseTarget(
      requestClass,
      qualityTarget,
      nowMs,
    );
    this.credit.revalue(requestClass, plans, raisedTarget);
    let safe: Plan | undefined;
    let best = plans[0];
    for (const plan of plans) {
      if (best === undefined || plan.lowerBound > best.lowerBound) best = plan;
      if (plan.lowerBound < raisedTarget) continue;
      if (safe === undefined || plan.score < safe.score) safe = plan;
    }
    safe ??= best;
    if (safe === undefined) return undefined;
    const short = findShort(plans, safe, raisedTarget);
    const explore = plans.filter(
      ({ steps: [first = "", last] }) =>
        last === dearest &&
        quality.countEvidence(requestClass, first) < EXPLORED_EVIDENCE,
    );
    return { safe, short, explore, raisedTarget, madeAtMs: nowMs };
  }

  #sortByCost(candidates: readonly string[]): readonly string[] {
    const key = candidates.join(" ");
    let priced = this.#priced.get(key);
    if (priced === undefined) {
      const { getCost } = this.#options;
      priced = candidates.toSorted((a, b) => getCost(a) - getCost(b));
      if (this.#priced.size >= MAX_KEPT_PLANS) this.#priced.clear();
      this.#priced.set(key, priced);
    }
    return priced;
  }
}
