/**
 * Answer counts of all entries in one roll-out. Each entry counts its own
 * answers, and a count only grows. Of two reports of the same count the larger
 * is the newer one, so reports may arrive in any order.
 */

import type {
  EndpointFailures,
  RolloutReport,
  RolloutTally,
} from "../../schema/exchange/index.js";
import { chooseSome } from "../choose_some.js";

/**
 * Counts of one kind in a report: those that changed last, which most other
 * entries lack, and a random few of the rest for entries that missed them. A
 * fleet of 68 entries holds some 500 counts in a roll-out, and each entry sends
 * 15 reports a second.
 */
const MAX_REPORTED_COUNTS = { latest: 48, others: 16 } as const;

/** Counts of one kind that are kept; further ones of others are left out. */
const MAX_COUNTS = 10_000;

/** What an answer says of the version that gave it. */
export const ANSWER_VERDICT = {
  good: "good",
  /** A status of 3xx or 4xx: the fault of the version or of the caller. */
  rejected: "rejected",
  /** An error of the endpoint, or no whole answer. */
  failed: "failed",
} as const;
export type AnswerVerdict =
  (typeof ANSWER_VERDICT)[keyof typeof ANSWER_VERDICT];

export interface AnswerTotals {
  answers: number;
  failures: number;
  rejections: number;
  timed: number;
  logSlowness: number;
}

function createTotals(): AnswerTotals {
  return { answers: 0, failures: 0, rejections: 0, timed: 0, logSlowness: 0 };
}

export function sumTotals(parts: Iterable<AnswerTotals>): AnswerTotals {
  const sum = createTotals();
  for (const part of parts) addTotals(sum, part);
  return sum;
}

/** 0 without answers. */
export function getFailureShare(totals: AnswerTotals | undefined): number {
  const { failures, answers } = totals ?? createTotals();
  return answers === 0 ? 0 : failures / answers;
}

/**
 * Share of rejections to expect, by the rule of succession: near the observed
 * one after many answers, one half before the first.
 */
export function estimateRejectionShare(
  totals: AnswerTotals | undefined,
): number {
  const { rejections, answers } = totals ?? createTotals();
  return (rejections + 1) / (answers + 2);
}

/** Geometric mean of measured over expected answer time; 1 if none is timed. */
export function getMeanServiceTimeRatio(totals: AnswerTotals): number {
  return totals.timed === 0 ? 1 : Math.exp(totals.logSlowness / totals.timed);
}

export class RolloutEvidence {
  readonly #origin: string;
  readonly #random: () => number;
  /** Ordered by the last change, latest last. */
  readonly #tallies = new Map<string, RolloutTally>();
  /** Failures and rejections of the target, ordered likewise. */
  readonly #endpointFailures = new Map<string, EndpointFailures>();

  /** `origin` identifies one start of this entry. */
  constructor(origin: string, random: () => number) {
    this.#origin = origin;
    this.#random = random;
  }

  /** Counts an answer that this entry received. */
  addAnswer(answer: {
    route: string;
    endpoint: string;
    isTarget: boolean;
    verdict: AnswerVerdict;
    serviceTimeRatio?: number;
  }): void {
    const { route, endpoint, isTarget, verdict, serviceTimeRatio } = answer;
    const key = createTallyKey(this.#origin, route, isTarget);
    const tally = this.#tallies.get(key) ?? {
      origin: this.#origin,
      route,
      isTarget,
      ...createTotals(),
    };
    putLast(this.#tallies, key, tally);
    tally.answers++;
    if (verdict === ANSWER_VERDICT.failed) tally.failures++;
    if (verdict === ANSWER_VERDICT.rejected) tally.rejections++;
    if (verdict !== ANSWER_VERDICT.good && isTarget)
      this.#addFailure(endpoint, verdict);
    if (serviceTimeRatio === undefined || serviceTimeRatio <= 0) return;
    tally.timed++;
    tally.logSlowness += Math.log(serviceTimeRatio);
  }

  #addFailure(endpoint: string, verdict: AnswerVerdict): void {
    const key = `${this.#origin} ${endpoint}`;
    const known = this.#endpointFailures.get(key);
    const isRejection = verdict === ANSWER_VERDICT.rejected;
    putLast(this.#endpointFailures, key, {
      origin: this.#origin,
      endpoint,
      failures: (known?.failures ?? 0) + (isRejection ? 0 : 1),
      rejections: (known?.rejections ?? 0) + (isRejection ? 1 : 0),
    });
  }

  merge(report: Pick<RolloutReport, "tallies" | "failing">): void {
    for (const tally of report.tallies) {
      if (tally.origin === this.#origin) continue;
      const key = createTallyKey(tally.origin, tally.route, tally.isTarget);
      const known = this.#tallies.get(key);
      if (known !== undefined && known.answers >= tally.answers) continue;
      if (known === undefined && this.#tallies.size >= MAX_COUNTS) continue;
      putLast(this.#tallies, key, { ...tally });
    }
    for (const reported of report.failing) {
      if (reported.origin === this.#origin) continue;
      const key = `${reported.origin} ${reported.endpoint}`;
      const known = this.#endpointFailures.get(key);
      if (known !== undefined && sumFailures(known) >= sumFailures(reported))
        continue;
      const isFull = this.#endpointFailures.size >= MAX_COUNTS;
      if (known === undefined && isFull) continue;
      putLast(this.#endpointFailures, key, { ...reported });
    }
  }

  /** The counts for one message to another entry. */
  createReport(): Pick<RolloutReport, "tallies" | "failing"> {
    return {
      tallies: this.#chooseReported([...this.#tallies.values()]),
      failing: this.#chooseReported([...this.#endpointFailures.values()]),
    };
  }

  #chooseReported<Count>(counts: Count[]): Count[] {
    const { latest, others } = MAX_REPORTED_COUNTS;
    if (counts.length <= latest + others) return counts;
    const rest = counts.splice(0, counts.length - latest);
    return [...counts, ...chooseSome(rest, others, this.#random)];
  }

  /** Failures or rejections of the target on each endpoint, largest first. */
  listEndpointCounts(kind: "failures" | "rejections"): number[] {
    const countsByEndpoint = new Map<string, number>();
    for (const counts of this.#endpointFailures.values()) {
      const { endpoint } = counts;
      countsByEndpoint.set(
        endpoint,
        (countsByEndpoint.get(endpoint) ?? 0) + counts[kind],
      );
    }
    return [...countsByEndpoint.values()].sort((a, b) => b - a);
  }

  /** Totals over all entries, by route. */
  sumByRoute(isTarget: boolean): Map<string, AnswerTotals> {
    const totalsByRoute = new Map<string, AnswerTotals>();
    for (const tally of this.#tallies.values()) {
      if (tally.isTarget !== isTarget) continue;
      const totals = totalsByRoute.get(tally.route) ?? createTotals();
      totalsByRoute.set(tally.route, totals);
      addTotals(totals, tally);
    }
    return totalsByRoute;
  }

  sumAllRoutes(isTarget: boolean): AnswerTotals {
    return sumTotals(this.sumByRoute(isTarget).values());
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

function sumFailures({ failures, rejections }: EndpointFailures): number {
  return failures + rejections;
}

function addTotals(totals: AnswerTotals, added: AnswerTotals): void {
  totals.answers += added.answers;
  totals.failures += added.failures;
  totals.rejections += added.rejections;
  totals.timed += added.timed;
  totals.logSlowness += added.logSlowness;
}

function createTallyKey(
  origin: string,
  route: string,
  isTarget: boolean,
): string {
  return `${isTarget ? "+" : "-"} ${origin} ${route}`;
}
