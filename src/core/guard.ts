/**
 * Roll-out guard: a version in roll-out gets more requests as evidence grows,
 * and is cut when its verdicts, errors or times turn for the worse.
 *
 * Each version has a cumulative sum of log-likelihood ratios between "as
 * before" and "half as good". A sum is used in place of a window because it
 * reacts after the fewest requests for a given rate of false alarms.
 */

import type { FleetState } from "../schema/index.js";

export interface GuardOptions {
  random: () => number;
  /** Verdicts on other versions of the same model in the class. */
  getControl?: (version: string, requestClass: string) => Outcomes;
}

export interface Outcomes {
  readonly good: number;
  readonly total: number;
}

/**
 * Sum at which the version is cut. On a pass share that falls from 0.75 to 0.36
 * this takes 17 verdicts in the median; in 200 verdicts of a steady version it
 * cuts by chance 7 times in 100. At 5 it is 14 verdicts and 16 in 100.
 */
const CUT_SUM = 5;
/** Sum at which the version only runs one request at a time. */
const SUSPECT_SUM = 1.5;
/** Share of its exposure that a suspect version keeps until it is cleared. */
const SUSPECT_EXPOSURE = 0.2;
/** Share of good outcomes of a bad version, relative to before. */
const BAD_FACTOR = 0.5;
/** Weight of the expectation that a new version is like this. */
const PRIOR = { good: 3, total: 4 };
/**
 * Largest weight of the model's other versions in the expectation. Without
 * them a version that turned bad after few requests passed as normal.
 */
const MAX_CONTROL = 30;
/** Errors and slow answers are rare on a sound version. */
const HEALTH_PRIOR = { good: 58.2, total: 60 };
const MAX_TOTAL = 400;
const MIN_EXPECTED = 0.1;
/** Share of the roll-out that a version without evidence gets. */
const FIRST_EXPOSURE = 0.1;
/** Verdicts after which a version gets the whole share of its roll-out. */
const FULL_EVIDENCE = 150;
/** Requests without a verdict yet, which a sudden change would all spoil. */
const MIN_OUTSTANDING = 2;
const EVIDENCE_PER_OUTSTANDING = 40;
/** Time over which failures on one endpoint count once. */
const SAME_FAILURE_MS = 5_000;
/** Time over expectation that counts as slow. */
export const SLOW_FACTOR = 3;

interface Expectation {
  good: number;
  total: number;
  /**
   * Outcomes since the sum was last zero. They count once it returns there;
   * to leave them out would raise the expectation above the truth.
   */
  heldGood: number;
  heldTotal: number;
}

/** Quality and health have sums of their own: one must not mask the other. */
interface Sums {
  quality: number;
  health: number;
}

interface VersionWatch {
  readonly sums: Sums;
  evidence: number;
  outstanding: number;
  cut: boolean;
  readonly expectations: Map<string, Expectation>;
  readonly failedAtMs: Map<string, number>;
}

export class Guard {
  readonly #options: GuardOptions;
  readonly #watches = new Map<string, VersionWatch>();
  #state: FleetState | undefined;

  constructor(options: GuardOptions) {
    this.#options = options;
  }

  setState(state: FleetState): void {
    const before = this.#state;
    this.#state = state;
    for (const version of this.#watches.keys()) {
      const ended = state.rollouts[version] === undefined;
      // A hold that an operator has lifted starts the roll-out afresh.
      const wasHeld = before?.holds[version] !== undefined;
      const lifted = wasHeld && state.holds[version] === undefined;
      if (ended || lifted) this.#watches.delete(version);
    }
  }

  isGuarded(version: string): boolean {
    return this.#state?.rollouts[version] !== undefined;
  }

  /** Share of requests that may go to the version now. */
  getExposure(version: string): number {
    const share = this.#state?.rollouts[version]?.share;
    if (share === undefined) return 1;
    const watch = this.#find(version);
    const rise = FIRST_EXPOSURE + watch.evidence / FULL_EVIDENCE;
    const factor = isSuspect(watch) ? SUSPECT_EXPOSURE : 1;
    return share * Math.min(1, rise) * factor;
  }

  /** Versions of the candidates that are open to the next request. */
  filter(candidates: readonly string[]): string[] {
    return candidates.filter((version) => {
      if (this.#state?.holds[version] !== undefined) return false;
      if (!this.isGuarded(version)) return true;
      const watch = this.#find(version);
      if (watch.cut || watch.outstanding >= getLimit(watch)) return false;
      return this.#options.random() < this.getExposure(version);
    });
  }

  begin(version: string): void {
    if (this.isGuarded(version)) this.#find(version).outstanding++;
  }

  end(version: string): void {
    const watch = this.#watches.get(version);
    if (watch === undefined) return;
    watch.outstanding = Math.max(0, watch.outstanding - 1);
  }

  /** Returns the reason to hold the version, once, when it has turned bad. */
  recordVerdict(
    version: string,
    requestClass: string,
    passed: boolean,
  ): string | undefined {
    return this.#record(version, "quality", { good: passed, requestClass });
  }

  recordHealth(version: string, good: boolean): string | undefined {
    return this.#record(version, "health", { good, requestClass: "" });
  }

  /** An endpoint that fails all its work at once says little of a version. */
  recordFailure(
    version: string,
    endpoint: string,
    nowMs: number,
  ): string | undefined {
    if (!this.isGuarded(version)) return undefined;
    const { failedAtMs } = this.#find(version);
    const lastMs = failedAtMs.get(endpoint) ?? Number.NEGATIVE_INFINITY;
    failedAtMs.set(endpoint, nowMs);
    if (nowMs - lastMs < SAME_FAILURE_MS) return undefined;
    return this.recordHealth(version, false);
  }

  #find(version: string): VersionWatch {
    let watch = this.#watches.get(version);
    if (watch === undefined) {
      watch = {
        sums: { quality: 0, health: 0 },
        evidence: 0,
        outstanding: 0,
        cut: false,
        expectations: new Map(),
        failedAtMs: new Map(),
      };
      this.#watches.set(version, watch);
    }
    return watch;
  }

  #createPrior(version: string, requestClass: string): Outcomes {
    const control = this.#options.getControl?.(version, requestClass);
    if (control === undefined || control.total === 0) return PRIOR;
    const scale = Math.min(1, MAX_CONTROL / control.total);
    return {
      good: PRIOR.good + control.good * scale,
      total: PRIOR.total + control.total * scale,
    };
  }

  #record(
    version: string,
    aspect: keyof Sums,
    outcome: { good: boolean; requestClass: string },
  ): string | undefined {
    if (!this.isGuarded(version)) return undefined;
    const watch = this.#find(version);
    if (watch.cut) return undefined;
    const { good, requestClass } = outcome;
    const key = `${aspect} ${requestClass}`;
    let expected = watch.expectations.get(key);
    if (expected === undefined) {
      const prior =
        aspect === "health"
          ? HEALTH_PRIOR
          : this.#createPrior(version, requestClass);
      expected = { ...prior, heldGood: 0, heldTotal: 0 };
      watch.expectations.set(key, expected);
    }
    const before = computeExpected(expected);
    const bad = before * BAD_FACTOR;
    const change = good
      ? Math.log(bad / before)
      : Math.log((1 - bad) / (1 - before));
    const sum = Math.max(0, watch.sums[aspect] + change);
    watch.sums[aspect] = sum;
    if (sum >= CUT_SUM) {
      watch.cut = true;
      return `${aspect} fell: evidence ${sum.toFixed(1)}, limit ${CUT_SUM}`;
    }
    if (aspect === "quality") watch.evidence++;
    expected.heldTotal++;
    if (good) expected.heldGood++;
    if (sum === 0) {
      for (const [heldKey, held] of watch.expectations) {
        if (heldKey.startsWith(aspect)) addHeld(held);
      }
    }
    return undefined;
  }
}

function isSuspect({ sums }: VersionWatch): boolean {
  return Math.max(sums.quality, sums.health) >= SUSPECT_SUM;
}

function getLimit(watch: VersionWatch): number {
  if (isSuspect(watch)) return 1;
  const earned = Math.floor(watch.evidence / EVIDENCE_PER_OUTSTANDING);
  return MIN_OUTSTANDING + earned;
}

/** The expected share less one standard deviation, so that luck is no norm. */
function computeExpected({ good, total }: Expectation): number {
  const share = good / total;
  const deviation = Math.sqrt((share * (1 - share)) / total);
  return Math.max(MIN_EXPECTED, share - deviation);
}

function addHeld(expected: Expectation): void {
  expected.good += expected.heldGood;
  expected.total += expected.heldTotal;
  expected.heldGood = 0;
  expected.heldTotal = 0;
  if (expected.total < MAX_TOTAL) return;
  expected.good /= 2;
  expected.total /= 2;
}
