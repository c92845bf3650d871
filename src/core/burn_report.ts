/**
 * Error budgets and multi-window burn rates. A burn rate of 1 uses up the
 * error budget exactly in the objective's period. An alert fires only while a
 * long and a short window are over the threshold, so it ends soon after the
 * fault does.
 */

import type { Objective, SloDocument } from "../schema/index.js";
import { HOUR_MS } from "./slo_counts.js";

const MINUTE_MS = 60_000;

/**
 * Windows and thresholds of the usual multi-window alerts: 2% of a 30 day
 * budget in 1 h, 5% in 6 h and 10% in 3 d.
 */
export const BURN_WINDOWS = [
  { longMs: HOUR_MS, shortMs: 5 * MINUTE_MS, threshold: 14.4 },
  { longMs: 6 * HOUR_MS, shortMs: 30 * MINUTE_MS, threshold: 6 },
  { longMs: 72 * HOUR_MS, shortMs: 6 * HOUR_MS, threshold: 1 },
] as const;

/** Most versions, and most data centres, that an objective's report names. */
const MAX_CONTRIBUTORS = 5;

export type ObjectiveKind = "availability" | "latency" | "quality";

/** Number of requests, and of those that missed the objective. */
export interface BadCount {
  total: number;
  bad: number;
}

export interface BurnWindow {
  readonly longMs: number;
  readonly shortMs: number;
  readonly threshold: number;
  readonly longRate: number;
  readonly shortRate: number;
  readonly isFiring: boolean;
}

/** A version or data centre with bad requests. */
export interface TopContributor extends BadCount {
  readonly name: string;
  /** Share of the objective's bad requests. */
  readonly share: number;
}

export interface ObjectiveBurn extends BadCount {
  readonly account: string;
  readonly kind: ObjectiveKind;
  /** Minimum share of good requests. */
  readonly target: number;
  /** Share of the period's budget that is left; negative when overspent. */
  readonly budgetLeft: number;
  readonly windows: BurnWindow[];
  /** Those with the most bad requests, highest first. */
  readonly versions: TopContributor[];
  readonly dataCentres: TopContributor[];
  /** Burn rate of each hour of the period with requests. */
  readonly hours: { readonly atMs: number; readonly rate: number }[];
}

export interface BurnReport {
  readonly fromMs: number;
  readonly toMs: number;
  /** False when some counts of the period could not be read. */
  readonly isComplete: boolean;
  readonly objectives: ObjectiveBurn[];
}

interface ObjectiveSums {
  readonly account: string;
  readonly kind: ObjectiveKind;
  readonly target: number;
  readonly period: BadCount;
  /** By window length in milliseconds. */
  readonly windows: Map<number, BadCount>;
  readonly versions: Map<string, BadCount>;
  readonly dataCentres: Map<string, BadCount>;
  readonly hours: Map<number, BadCount>;
}

const WINDOW_LENGTHS_MS = [
  ...new Set(BURN_WINDOWS.flatMap(({ longMs, shortMs }) => [longMs, shortMs])),
];

export interface BurnPeriod {
  readonly fromMs: number;
  readonly toMs: number;
}

/** Adds up documents of counts, one at a time, so memory stays bounded. */
export class BurnTotals {
  readonly #period: BurnPeriod;
  readonly #objectives: Readonly<Record<string, Objective>>;
  readonly #sums = new Map<string, ObjectiveSums>();

  constructor(
    period: BurnPeriod,
    objectives: Readonly<Record<string, Objective>>,
  ) {
    this.#period = period;
    this.#objectives = objectives;
  }

  add(document: SloDocument): void {
    for (const series of document.series) {
      const { account, version, dataCentre } = series;
      const objective = this.#objectives[account] ?? this.#objectives["*"];
      if (objective === undefined) continue;
      for (const minute of series.minutes) {
        const atMs = document.hour * HOUR_MS + (minute[0] ?? 0) * MINUTE_MS;
        for (const { kind, target, count } of countMinute(objective, minute)) {
          if (count.total === 0) continue;
          const sums = this.#getSums(account, kind, target);
          this.#addCount(sums, { atMs, version, dataCentre }, count);
        }
      }
    }
  }

  #getSums(
    account: string,
    kind: ObjectiveKind,
    target: number,
  ): ObjectiveSums {
    const key = JSON.stringify([account, kind]);
    const sums = this.#sums.get(key) ?? {
      account,
      kind,
      target,
      period: { total: 0, bad: 0 },
      windows: new Map(),
      versions: new Map(),
      dataCentres: new Map(),
      hours: new Map(),
    };
    this.#sums.set(key, sums);
    return sums;
  }

  #addCount(
    sums: ObjectiveSums,
    origin: { atMs: number; version: string; dataCentre: string },
    count: BadCount,
  ): void {
    const { atMs, version, dataCentre } = origin;
    const { fromMs, toMs } = this.#period;
    if (atMs + MINUTE_MS <= fromMs || atMs > toMs) return;
    for (const lengthMs of WINDOW_LENGTHS_MS) {
      // A minute counts only when it begins inside the window.
      if (atMs < toMs - lengthMs) continue;
      addCount(getCount(sums.windows, lengthMs), count);
    }
    addCount(sums.period, count);
    addCount(getCount(sums.versions, version), count);
    addCount(getCount(sums.dataCentres, dataCentre), count);
    addCount(getCount(sums.hours, Math.floor(atMs / HOUR_MS)), count);
  }

  createReport(isComplete: boolean): BurnReport {
    const objectives = [...this.#sums.values()]
      .map(createObjectiveBurn)
      .sort((a, b) => a.budgetLeft - b.budgetLeft);
    return { ...this.#period, isComplete, objectives };
  }
}

interface ObjectiveCount {
  kind: ObjectiveKind;
  target: number;
  count: BadCount;
}

/** Counts a minute's requests for each kind of the account's objective. */
function countMinute(
  objective: Objective,
  minute: readonly number[],
): ObjectiveCount[] {
  const [, total = 0, failed = 0, slow = 0, rated = 0, bad = 0] = minute;
  const counts: ObjectiveCount[] = [
    {
      kind: "availability",
      target: objective.availability,
      count: { total, bad: failed },
    },
  ];
  if (objective.latencyMs !== undefined) {
    counts.push({
      kind: "latency",
      target: objective.latencyShare ?? DEFAULT_LATENCY_SHARE,
      count: { total, bad: slow },
    });
  }
  if (objective.quality !== undefined) {
    counts.push({
      kind: "quality",
      target: objective.quality,
      count: { total: rated, bad },
    });
  }
  return counts;
}

/** An objective's latency is for 95% of requests unless it sets a share. */
const DEFAULT_LATENCY_SHARE = 0.95;

function getCount<K>(counts: Map<K, BadCount>, key: K): BadCount {
  const count = counts.get(key) ?? { total: 0, bad: 0 };
  counts.set(key, count);
  return count;
}

function addCount(sum: BadCount, count: BadCount): void {
  sum.total += count.total;
  sum.bad += count.bad;
}

/** Share of bad requests divided by the share that the target allows. */
export function computeBurnRate(count: BadCount, target: number): number {
  return count.total === 0 ? 0 : count.bad / count.total / (1 - target);
}

function createObjectiveBurn(sums: ObjectiveSums): ObjectiveBurn {
  const { account, kind, target, period, windows } = sums;
  const getRate = (lengthMs: number) =>
    computeBurnRate(getCount(windows, lengthMs), target);
  return {
    account,
    kind,
    target,
    ...period,
    budgetLeft: 1 - computeBurnRate(period, target),
    windows: BURN_WINDOWS.map(({ longMs, shortMs, threshold }) => {
      const longRate = getRate(longMs);
      const shortRate = getRate(shortMs);
      const isFiring = longRate >= threshold && shortRate >= threshold;
      return { longMs, shortMs, threshold, longRate, shortRate, isFiring };
    }),
    versions: listTopContributors(sums.versions, period),
    dataCentres: listTopContributors(sums.dataCentres, period),
    hours: [...sums.hours]
      .sort(([a], [b]) => a - b)
      .map(([hour, count]) => ({
        atMs: hour * HOUR_MS,
        rate: computeBurnRate(count, target),
      })),
  };
}

function listTopContributors(
  counts: Map<string, BadCount>,
  period: BadCount,
): TopContributor[] {
  return [...counts]
    .filter(([, count]) => count.bad > 0)
    .sort(([, a], [, b]) => b.bad - a.bad)
    .slice(0, MAX_CONTRIBUTORS)
    .map(([name, count]) => ({
      name,
      ...count,
      share: count.bad / period.bad,
    }));
}
