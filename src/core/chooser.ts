/**
 * Version choice: the cheapest version, or cascade of a cheap version, the
 * judge and a better one, that meets the quality target in time.
 */

import {
  computePassChance,
  type QualityEstimate,
  type QualityEstimates,
} from "./estimates.js";
import type { LengthEstimate } from "./speeds.js";

/** One or two versions; the judge decides whether the second is needed. */
export interface Plan {
  readonly steps: readonly string[];
  readonly key: string;
  readonly quality: number;
  /** Lower bound of the quality, from the posterior's variance. */
  readonly lowerBound: number;
  readonly cost: number;
  /** Chance that the answer is ready in time. */
  readonly inTime: number;
  /** Cost with a price on late answers, by which plans are compared. */
  readonly score: number;
}

/** Speed of a version at the moment. */
export interface VersionPace {
  /** Milliseconds per unit of work; infinite when no endpoint serves it. */
  readonly unitMs: number;
  readonly waitMs: number;
}

export interface ChoiceRequest {
  readonly requestClass: string;
  readonly candidates: readonly string[];
  /** Versions in roll-out, which the judge must be able to escalate from. */
  readonly guarded: ReadonlySet<string>;
  readonly qualityTarget: number;
  readonly remainingMs: number;
}

export interface ChooserOptions {
  random: () => number;
  quality: QualityEstimates;
  getCost: (version: string) => number;
  getPace: (version: string) => VersionPace;
  getLength: (requestClass: string) => LengthEstimate;
  judgeCostPerCall: number;
}

/** Standard deviations of the estimate below its mean. */
const BOUND_DEVIATIONS = 0;
/**
 * Standard deviations by which the share over an hour may fall short by
 * chance; the target is raised by them so that each hour meets it.
 */
const HOUR_DEVIATIONS = 2.8;
const MIN_HOURLY_ANSWERS = 400;
const HOUR_MS = 3_600_000;
/** Price of a late answer, in answers of the dearest version. */
const LATE_PRICE = 1;
/** Plans are kept this long; speeds and evidence change slowly. */
const PLAN_MS = 500;
/** Evidence below which a version is still tried now and then. */
const EXPLORED_EVIDENCE = 60;
const EXPLORED_SHARE = 0.1;
/** Quality above target saved up for cheaper plans, in answers. */
const MAX_CREDIT = 5;
const SPENDABLE_SHARE = 0.8;
/** Per revaluation, of which there are up to two a second: about an hour. */
const CREDIT_DECAY = 0.9999;
const MIN_SHORTFALL = 0.001;
const MAX_KEPT_PLANS = 1_000;

interface PlanChoice {
  readonly safe: Plan;
  /** Cheaper plan that falls short of the target; used against credit. */
  readonly short?: Plan;
  readonly explore: readonly Plan[];
  readonly raisedTarget: number;
  readonly madeAtMs: number;
}

interface PlanCount {
  quality: number;
  count: number;
}

interface ClassAccount {
  /** Sum of expected quality over the target, in answers. */
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

function approximateNormal(x: number): number {
  // Logistic approximation; its error of 0.01 is below that of the speeds.
  return 1 / (1 + Math.exp(-1.702 * x));
}

/** Chance that work of log-normal length fits into a number of units. */
function computeFit(length: LengthEstimate, units: number): number {
  if (units <= 0) return 0;
  const deviation = Math.sqrt(length.varianceLog) || 1;
  return approximateNormal((Math.log(units) - length.meanLog) / deviation);
}

/** The plan below target that saves most for its shortfall. */
function findShort(
  plans: readonly Plan[],
  safe: Plan,
  raisedTarget: number,
): Plan | undefined {
  let short: Plan | undefined;
  let most = 0;
  for (const plan of plans) {
    if (plan.lowerBound >= raisedTarget || plan.score >= safe.score) continue;
    const shortfall = Math.max(MIN_SHORTFALL, raisedTarget - plan.quality);
    const saved = (safe.score - plan.score) / shortfall;
    if (saved <= most) continue;
    most = saved;
    short = plan;
  }
  return short;
}

export class Chooser {
  readonly #options: ChooserOptions;
  readonly #plans = new Map<string, PlanChoice>();
  readonly #accounts = new Map<string, ClassAccount>();

  constructor(options: ChooserOptions) {
    this.#options = options;
  }

  /** Drops kept plans after a change of the fleet state. */
  clearPlans(): void {
    this.#plans.clear();
  }

  choose(request: ChoiceRequest, nowMs: number): Plan | undefined {
    const account = this.#countRequest(request.requestClass, nowMs);
    const key = `${request.requestClass} ${request.candidates.join(" ")}`;
    let choice = this.#plans.get(key);
    if (choice === undefined || nowMs - choice.madeAtMs >= PLAN_MS) {
      choice = this.#makeChoice(request, nowMs);
      if (choice === undefined) return undefined;
      if (this.#plans.size >= MAX_KEPT_PLANS) this.#plans.clear();
      this.#plans.set(key, choice);
    }
    const plan = this.#pick(choice, account);
    const surplus = plan.quality - choice.raisedTarget;
    account.credit = Math.min(MAX_CREDIT, account.credit + surplus);
    const counted = account.planCounts.get(plan.key);
    if (counted !== undefined) counted.count++;
    else {
      const { quality } = plan;
      account.planCounts.set(plan.key, { quality, count: 1 });
    }
    return plan;
  }

  /**
   * Takes the shortfall of an answer below target from the class's credit, if
   * the credit is near its limit: cheaper plans make better use of it.
   */
  spendCredit(requestClass: string, shortfall: number): boolean {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return false;
    if (account.credit < MAX_CREDIT * SPENDABLE_SHARE) return false;
    account.credit -= shortfall;
    account.spent += shortfall;
    return true;
  }

  /** Values past answers by the present estimates. */
  #revalue(requestClass: string, plans: readonly Plan[], target: number): void {
    const account = this.#accounts.get(requestClass);
    if (account === undefined) return;
    let credit = -account.spent;
    for (const plan of plans) {
      const counted = account.planCounts.get(plan.key);
      if (counted !== undefined) counted.quality = plan.quality;
    }
    for (const counted of account.planCounts.values()) {
      credit += counted.count * (counted.quality - target);
      counted.count *= CREDIT_DECAY;
    }
    account.spent *= CREDIT_DECAY;
    account.credit = Math.min(MAX_CREDIT, credit);
  }

  #pick(choice: PlanChoice, account: ClassAccount): Plan {
    const { random } = this.#options;
    const { safe, short, explore } = choice;
    if (explore.length > 0 && random() < EXPLORED_SHARE) {
      const plan = explore[Math.floor(random() * explore.length)];
      if (plan !== undefined) return plan;
    }
    if (short === undefined) return safe;
    const shortfall = choice.raisedTarget - short.quality;
    return account.credit >= shortfall ? short : safe;
  }

  #countRequest(requestClass: string, nowMs: number): ClassAccount {
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
    return account;
  }

  #raiseTarget(request: ChoiceRequest, nowMs: number): number {
    const { qualityTarget: target } = request;
    const account = this.#accounts.get(request.requestClass);
    const elapsedMs = Math.max(60_000, nowMs - (account?.firstAtMs ?? nowMs));
    const hourly = ((account?.requests ?? 0) / elapsedMs) * HOUR_MS;
    const answers = Math.max(MIN_HOURLY_ANSWERS, hourly);
    const deviation = Math.sqrt((target * (1 - target)) / answers);
    return target + HOUR_DEVIATIONS * deviation;
  }

  #makeChoice(request: ChoiceRequest, nowMs: number): PlanChoice | undefined {
    const { quality, getCost, getPace } = this.#options;
    const priced = request.candidates.toSorted(
      (a, b) => getCost(a) - getCost(b),
    );
    const dearest = priced.findLast((v) => !request.guarded.has(v));
    if (priced.length === 0) return undefined;
    if (dearest !== undefined) {
      quality.setDearest(request.requestClass, dearest);
    }
    const served = priced.filter((v) => getPace(v).unitMs < Infinity);
    const plans = this.#listPlans(request, served.length > 0 ? served : priced);
    const raisedTarget = this.#raiseTarget(request, nowMs);
    this.#revalue(request.requestClass, plans, raisedTarget);
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
        quality.countEvidence(request.requestClass, first) < EXPLORED_EVIDENCE,
    );
    return { safe, short, explore, raisedTarget, madeAtMs: nowMs };
  }

  #listPlans(request: ChoiceRequest, versions: readonly string[]): Plan[] {
    const { quality, getCost, getPace, getLength } = this.#options;
    const length = getLength(request.requestClass);
    const judge = quality.judge;
    const latePrice =
      LATE_PRICE * Math.max(...versions.map(getCost)) * length.meanKiloTokens;
    const known = versions.map((version) => ({
      version,
      estimate: quality.estimate(request.requestClass, version),
      cost: getCost(version) * length.meanKiloTokens,
      pace: getPace(version),
    }));
    const plans: Plan[] = [];
    const add = (
      steps: string[],
      estimate: QualityEstimate,
      rest: { cost: number; inTime: number },
    ) => {
      const deviation = Math.sqrt(estimate.variance);
      plans.push({
        steps,
        key: steps.join(" "),
        quality: estimate.mean,
        lowerBound: estimate.mean - BOUND_DEVIATIONS * deviation,
        ...rest,
        score: rest.cost + latePrice * (1 - rest.inTime),
      });
    };
    for (const [i, first] of known.entries()) {
      const firstMs = request.remainingMs - first.pace.waitMs;
      const inTime = computeFit(length, firstMs / first.pace.unitMs);
      const isGuarded = request.guarded.has(first.version);
      if (!isGuarded || versions.length === 1) {
        add([first.version], first.estimate, { cost: first.cost, inTime });
      }
      const pass = computePassChance(first.estimate.mean, judge);
      for (const second of known.slice(i + 1)) {
        if (second.cost <= first.cost) continue;
        if (request.guarded.has(second.version)) continue;
        if (second.estimate.mean <= first.estimate.mean) continue;
        const { specificity } = judge;
        const miss = 1 - specificity;
        const bothMs = firstMs - second.pace.waitMs;
        const bothUnitMs = first.pace.unitMs + second.pace.unitMs;
        const escalatedInTime = computeFit(length, bothMs / bothUnitMs);
        const { mean: a, variance: varianceA } = first.estimate;
        const { mean: b, variance: varianceB } = second.estimate;
        add(
          [first.version, second.version],
          {
            // The second version is assumed to solve all that the first does.
            mean: a + (b - a) * specificity,
            variance: miss ** 2 * varianceA + specificity ** 2 * varianceB,
          },
          {
            cost:
              first.cost +
              this.#options.judgeCostPerCall +
              (1 - pass) * second.cost,
            inTime: pass * inTime + (1 - pass) * escalatedInTime,
          },
        );
      }
    }
    return plans;
  }
}
