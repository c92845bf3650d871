/**
 * What all entries have seen of one rollout. Each entry counts its own
 * answers, and a count only grows, so the larger of two reports of one count
 * is the newer one and reports may come in any order.
 */

import type { RolloutTally } from "../schema/exchange/index.js";

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
  readonly #tallies = new Map<string, RolloutTally>();

  /** `origin` names one start of this entry. */
  constructor(origin: string) {
    this.#origin = origin;
  }

  /** Counts an answer that this entry got. */
  add(answer: {
    route: string;
    isTarget: boolean;
    isGood: boolean;
    slowness?: number;
  }): void {
    const { route, isTarget, isGood, slowness } = answer;
    const key = createKey(this.#origin, route, isTarget);
    const tally = this.#tallies.get(key) ?? {
      origin: this.#origin,
      route,
      isTarget,
      ...createTotals(),
    };
    this.#tallies.set(key, tally);
    tally.answers++;
    if (!isGood) tally.failures++;
    if (slowness === undefined || slowness <= 0) return;
    tally.timed++;
    tally.logSlowness += Math.log(slowness);
  }

  merge(tallies: readonly RolloutTally[]): void {
    for (const tally of tallies) {
      if (tally.origin === this.#origin) continue;
      const key = createKey(tally.origin, tally.route, tally.isTarget);
      const known = this.#tallies.get(key);
      if (known !== undefined && known.answers >= tally.answers) continue;
      this.#tallies.set(key, { ...tally });
    }
  }

  list(): RolloutTally[] {
    return [...this.#tallies.values()];
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

function addTotals(totals: Totals, more: Totals): void {
  totals.answers += more.answers;
  totals.failures += more.failures;
  totals.timed += more.timed;
  totals.logSlowness += more.logSlowness;
}

function createKey(origin: string, route: string, isTarget: boolean): string {
  return `${isTarget ? "+" : "-"} ${origin} ${route}`;
}
