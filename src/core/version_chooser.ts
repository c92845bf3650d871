/**
 * Version choice: the cheapest version, or cascade of a cheap version, the
 * judge and a better one, that meets the quality target in time.
 */

import {
  EXPLORATION_EVIDENCE_LIMIT,
  findCheaperBelowTarget,
  listOptions,
  listPlans,
  type Plan,
  type PlanRequest,
  type PlanSources,
} from "./plans.js";
import { QualityCredit } from "./quality_credit.js";

export interface ChoiceRequest extends PlanRequest {
  readonly candidates: readonly string[];
  readonly qualityTarget: number;
}

export interface VersionChooserOptions extends PlanSources {
  random: () => number;
}

/** Choices are cached this long, as speeds and evidence change slowly. */
const CHOICE_LIFETIME_MS = 500;
/** Share of requests that try a version with little evidence. */
const EXPLORATION_SHARE = 0.1;
const MAX_CACHED_CHOICES = 1_000;

interface PlanChoice {
  /** The plan of least score that meets the target, or else the best one. */
  readonly onTargetPlan: Plan;
  /** Cheaper plan that misses the target; used when the credit covers it. */
  readonly belowTargetPlan?: Plan;
  /** Plans whose first version has little evidence. */
  readonly exploredPlans: readonly Plan[];
  readonly raisedTarget: number;
  readonly createdAtMs: number;
}

export class VersionChooser {
  readonly #options: VersionChooserOptions;
  readonly #choices = new Map<string, PlanChoice>();
  readonly credit = new QualityCredit();
  /** Candidates sorted by cost; the key is the candidates joined. */
  readonly #sortedCandidates = new Map<string, readonly string[]>();

  constructor(options: VersionChooserOptions) {
    this.#options = options;
  }

  /** Drops the cached choices after a change of the fleet state. */
  clearChoices(): void {
    this.#choices.clear();
    this.#sortedCandidates.clear();
  }

  choose(request: ChoiceRequest, nowMs: number): Plan | undefined {
    this.credit.countRequest(request.requestClass, nowMs);
    const key = `${request.requestClass} ${request.candidates.join(" ")}`;
    let choice = this.#choices.get(key);
    if (
      choice === undefined ||
      nowMs - choice.createdAtMs >= CHOICE_LIFETIME_MS
    ) {
      choice = this.#createChoice(request, nowMs);
      if (choice === undefined) return undefined;
      if (this.#choices.size >= MAX_CACHED_CHOICES) this.#choices.clear();
      this.#choices.set(key, choice);
    }
    const { requestClass } = request;
    const plan = this.#pickPlan(choice, this.credit.get(requestClass));
    this.credit.recordPlan(requestClass, plan, choice.raisedTarget);
    return plan;
  }

  #pickPlan(choice: PlanChoice, credit: number): Plan {
    const { random } = this.#options;
    const { onTargetPlan, belowTargetPlan, exploredPlans } = choice;
    if (exploredPlans.length > 0 && random() < EXPLORATION_SHARE) {
      const plan = exploredPlans[Math.floor(random() * exploredPlans.length)];
      if (plan !== undefined) return plan;
    }
    if (belowTargetPlan === undefined) return onTargetPlan;
    const shortfall = choice.raisedTarget - belowTargetPlan.lowerBound;
    return credit >= shortfall ? belowTargetPlan : onTargetPlan;
  }

  #createChoice(request: ChoiceRequest, nowMs: number): PlanChoice | undefined {
    const { quality } = this.#options;
    const { requestClass, candidates, rolloutVersions } = request;
    const sortedByCost = this.#sortByCost(candidates);
    if (sortedByCost.length === 0) return undefined;
    const mostExpensive = sortedByCost.findLast(
      (version) => !rolloutVersions.has(version),
    );
    if (mostExpensive !== undefined)
      quality.setMostExpensive(requestClass, mostExpensive);
    const options = listOptions(this.#options, request, sortedByCost);
    const plans = listPlans(this.#options, request, options);
    const { qualityTarget } = request;
    const raisedTarget = this.credit.raiseTarget(
      requestClass,
      qualityTarget,
      nowMs,
    );
    this.credit.revalue(requestClass, plans, raisedTarget);
    let onTargetPlan: Plan | undefined;
    let bestPlan = plans[0];
    for (const plan of plans) {
      if (bestPlan === undefined || plan.lowerBound > bestPlan.lowerBound)
        bestPlan = plan;
      if (plan.lowerBound < raisedTarget) continue;
      if (onTargetPlan === undefined || plan.score < onTargetPlan.score)
        onTargetPlan = plan;
    }
    onTargetPlan ??= bestPlan;
    if (onTargetPlan === undefined) return undefined;
    const belowTargetPlan = findCheaperBelowTarget(
      plans,
      onTargetPlan,
      raisedTarget,
    );
    const exploredPlans = plans.filter(
      ({ steps: [first = "", last] }) =>
        last === mostExpensive &&
        quality.countEvidence(requestClass, first) < EXPLORATION_EVIDENCE_LIMIT,
    );
    return {
      onTargetPlan,
      belowTargetPlan,
      exploredPlans,
      raisedTarget,
      createdAtMs: nowMs,
    };
  }

  #sortByCost(candidates: readonly string[]): readonly string[] {
    const key = candidates.join(" ");
    let sortedByCost = this.#sortedCandidates.get(key);
    if (sortedByCost === undefined) {
      const { getCost } = this.#options;
      sortedByCost = candidates.toSorted((a, b) => getCost(a) - getCost(b));
      if (this.#sortedCandidates.size >= MAX_CACHED_CHOICES)
        this.#sortedCandidates.clear();
      this.#sortedCandidates.set(key, sortedByCost);
    }
    return sortedByCost;
  }
}
