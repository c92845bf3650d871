/**
 * What all entries have seen of one rollout. Each entry counts its own
 * answers, and a count only grows, so the larger of two reports of one count
 * is the newer one and reports may come in any order.
 */

import type {
  EndpointFailures,
  RolloutReport,
  RolloutTally,
} from "../../schema/exchange/index.js";
import { chooseSome } from "../choose_some.js";

/**
 * Counts of one kind in a report: the latest changes, which other entries lack
 * most, and some of the rest for those that missed them. A fleet of 68 entries
 * holds some 500 counts in a rollout, and each entry sends 15 reports a second.
 */
const MAX_TOLD = { latest: 48, others: 16 } as const;

export interface Totals {
  answers: number;
  failures: number;
  timed: number;
  logSlowness: number;
}

function createTotals(): Totals {
  return { answers: 0, failures: 0, timed: 0, logSlowness: 0 };
}

/** Share of failures among the answers. */
export function getFailureShare(totals: Totals): number {
  return totals.answers === 0 ? 0 : totals.failures / totals.answers;
}

/** Geometric mean of the measured over the expected time. */
export function getMeanSlowness(totals: Totals): number {
  return totals.timed === 0 ? 1 : Math.exp(totals.logSlowness / totals.timed);
}

export class RolloutEvidence {
  readonly #origin: string;
  readonly #random: () => number;
  /** Counts that changed last stand last. */
  readonly #tallies = new Map<string, RolloutTally>();
  readonly #failing = new Map<string, EndpointFailures>();

  /** `origin` names one start of this entry. */
  constructor(origin: string, random: () => number) {
    this.#origin = origin;
    this.#random = random;
  }

  /** Counts an answer that this entry got. */
  add(answer: {
    route: string;
    endpoint: string;
    isTarget: boolean;
    isGood: boolean;
    slowness?: number;
  }): void {
    const { route, endpoint, isTarget, isGood, slowness } = answer;
    const key = createKey(this.#origin, route, isTarget);
    const tally = this.#tallies.get(key) ?? {
      origin: this.#origin,
      route,
      isTarget,
      ...createTotals(),
    };
    putLast(this.#tallies, key, tally);
    tally.answers++;
    if (!isGood) tally.failures++;
    if (!isGood && isTarget) this.#addFailure(endpoint);
    if (slowness === undefined || slowness <= 0) return;
    tally.timed++;
    tally.logSlowness += Math.log(slowness);
  }

  #addFailure(endpoint: string): void {
    const key = `${this.#origin} ${endpoint}`;
    const failures = (this.#failing.get(key)?.failures ?? 0) + 1;
    putLast(this.#failing, key, { origin: this.#origin, endpoint, failures });
  }

  merge(report: Pick<RolloutReport, "tallies" | "failing">): void {
    for (const tally of report.tallies) {
      if (tally.origin === this.#origin) continue;
      const key = createKey(tally.origin, tally.route, tally.isTarget);
      const known = this.#tallies.get(key);
      if (known !== undefined && known.answers >= tally.answers) continue;
      putLast(this.#tallies, key, { ...tally });
    }
    for (const counted of report.failing) {
      if (counted.origin === this.#origin) continue;
      const key = `${counted.origin} ${counted.endpoint}`;
      const known = this.#failing.get(key);
      if (known !== undefined && known.failures >= counted.failures) continue;
      putLast(this.#failing, key, { ...counted });
    }
  }

  /** What another entry is told this time. */
  list(): Pick<RolloutReport, "tallies" | "failing"> {
    return {
      tallies: this.#chooseTold([...this.#tallies.values()]),
      failing: this.#chooseTold([...this.#failing.values()]),
    };
  }

  #chooseTold<Count>(counts: Count[]): Count[] {
    const { latest, others } = MAX_TOLD;
    if (counts.length <= latest + others) return counts;
    const rest = counts.splice(0, counts.length - latest);
    return [...counts, ...chooseSome(rest, others, this.#random)];
  }

  /** Failures of the new version by endpoint, most first. */
  listFailures(): number[] {
    const sums = new Map<string, number>();
    for (const { endpoint, failures } of this.#failing.values()) {
      sums.set(endpoint, (sums.get(endpoint) ?? 0) + failures);
    }
    return [...sums.values()].sort((a, b) => b - a);
  }

  /** Sums over all entries by route. */
  sumRoutes(isTarget: boolean): Map<string, Totals> {
    const routes = new Map<string, Totals>();
    for (const tally of this.#tallies.values()) {
      if (tally.isTarget !== isTarget) continue;
      const totals = routes.get(tally.route) ?? createTotals();
      routes.set(tally.route, totals);
      addTotals(totals, tally);
    }
    return routes;
  }

  sum(isTarget: boolean): Totals {
    const totals = createTotals();
    for (const route of this.sumRoutes(isTarget).values()) {
      addTotals(totals, route);
    }
    return totals;
  }
}

function putLast<Count>(
  counts: Map<string, Count>,
  key: string,
  count: Count,
): void {
  counts.delete(key);
  counts.set(key, count);
}

function addTotals(totals: Totals, more: Totals): void {
  totals.answers += more.answers;
  totals.failures += more.failures;
  totals.timed += more.timed;
  totals.logSlowness += more.logSlowness;
}

function createKey(origin: string, route: string, isTarget: boolean): string {
  return `${isTarget ? "+" : "-"} ${origin} ${route}`;
}
