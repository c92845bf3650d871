/**
 * Roll-out guard: a version in roll-out gets more requests as evidence grows,
 * and is stopped when its verdicts, failures or durations get worse.
 *
 * Each version has cumulative sums (CUSUM) of log-likelihood ratios between
 * "half as good" and "as before". They replace a sliding window because they
 * react after the fewest requests for a given rate of false alarms.
 */

import type { FleetState } from "../schema/index.js";

export interface RolloutGuardOptions {
  random: () => number;
  /** Verdicts on the other versions of the same model in the class. */
  getControlCounts?: (version: string, requestClass: string) => OutcomeCounts;
}

export interface OutcomeCounts {
  readonly good: number;
  readonly total: number;
}

/**
 * Sum at which the version is stopped. When the pass share falls from 0.75 to
 * 0.36, 5 takes 14 verdicts in the median, and it stops a steady version by
 * chance in 16 of 100 runs of 200 verdicts. A higher sum took 17 verdicts, with
 * 7 such stops in 100 runs.
 */
const STOP_SUM = 5;
/** Sum from which the version gets only one request at a time. */
const SUSPECT_SUM = 1.5;
/** Share of its exposure that a version keeps while its sum is that high. */
const SUSPECT_EXPOSURE_FACTOR = 0.2;
/** Share of good outcomes of a bad version, relative to the expected share. */
const BAD_FACTOR = 0.5;
/** Outcomes assumed of a new version before its first verdict. */
const VERDICT_PRIOR = { good: 3, total: 4 };
/**
 * Limit on the verdicts on the model's other versions that are added to the
 * prior. Without them, a version that got worse after few requests was taken
 * for a normal one.
 */
const MAX_CONTROL_VERDICTS = 30;
/** Outcomes assumed for health: a good version rarely fails or is slow. */
const HEALTH_PRIOR = { good: 58.2, total: 60 };
/** Outcomes above which the counts are halved. */
const MAX_EXPECTATION_OUTCOMES = 400;
const MIN_EXPECTED_SHARE = 0.1;
/** Share of the roll-out's requests that a version without verdicts gets. */
const INITIAL_EXPOSURE = 0.1;
/** Verdicts over which the exposure grows by the whole share. */
const FULL_EXPOSURE_VERDICTS = 150;
/**
 * Limit on requests without a verdict, as all of them are affected when the
 * version suddenly gets worse. It grows with the verdicts.
 */
const MIN_OUTSTANDING_LIMIT = 2;
const VERDICTS_PER_OUTSTANDING = 40;
/** Failures on one endpoint within this time of each other count once. */
const REPEATED_FAILURE_MS = 5_000;
/** An answer that takes this many times the expected duration is slow. */
export const SLOW_FACTOR = 3;

interface ExpectedOutcomes {
  good: number;
  total: number;
  /**
   * Outcomes since the sum was last zero, which are added when it returns to
   * zero. Without them the expected share would be too high.
   */
  deferredGood: number;
  deferredTotal: number;
}

/** Separate sums, so that good health doesn't hide a loss of quality. */
interface EvidenceSums {
  quality: number;
  health: number;
}

interface VersionMonitor {
  readonly sums: EvidenceSums;
  verdictCount: number;
  /** Requests whose verdict is not known yet. */
  outstandingRequests: number;
  isStopped: boolean;
  /** By aspect and request class. */
  readonly expectedByKey: Map<string, ExpectedOutcomes>;
  /** By endpoint. */
  readonly lastFailureAtMs: Map<string, number>;
}

export class RolloutGuard {
  readonly #options: RolloutGuardOptions;
  readonly #monitors = new Map<string, VersionMonitor>();
  #state: FleetState | undefined;

  constructor(options: RolloutGuardOptions) {
    this.#options = options;
  }

  setState(state: FleetState): void {
    const previousState = this.#state;
    this.#state = state;
    for (const version of this.#monitors.keys()) {
      const isEnded = state.rollouts[version] === undefined;
      // When an operator lifts a hold, the roll-out starts without evidence.
      const wasHeld = previousState?.holds[version] !== undefined;
      const isLifted = wasHeld && state.holds[version] === undefined;
      if (isEnded || isLifted) this.#monitors.delete(version);
    }
  }

  isInRollout(version: string): boolean {
    return this.#state?.rollouts[version] !== undefined;
  }

  /** Share of the requests that may use the version now. */
  getExposure(version: string): number {
    const share = this.#state?.rollouts[version]?.share;
    if (share === undefined) return 1;
    const monitor = this.#findOrCreate(version);
    const growth =
      INITIAL_EXPOSURE + monitor.verdictCount / FULL_EXPOSURE_VERDICTS;
    const factor = isSuspect(monitor) ? SUSPECT_EXPOSURE_FACTOR : 1;
    return share * Math.min(1, growth) * factor;
  }

  /** Candidates that the next request may use; a draw decides by exposure. */
  listOpen(candidates: readonly string[]): string[] {
    return candidates.filter((version) => {
      if (this.#state?.holds[version] !== undefined) return false;
      if (!this.isInRollout(version)) return true;
      const monitor = this.#findOrCreate(version);
      if (
        monitor.isStopped ||
        monitor.outstandingRequests >= getOutstandingLimit(monitor)
      )
        return false;
      return this.#options.random() < this.getExposure(version);
    });
  }

  /** Counts a request without a verdict. */
  beginRequest(version: string): void {
    if (this.isInRollout(version))
      this.#findOrCreate(version).outstandingRequests++;
  }

  endRequest(version: string): void {
    const monitor = this.#monitors.get(version);
    if (monitor === undefined) return;
    monitor.outstandingRequests = Math.max(0, monitor.outstandingRequests - 1);
  }

  /** Returns, once, the reason to hold a version that has become bad. */
  recordVerdict(
    version: string,
    requestClass: string,
    passed: boolean,
  ): string | undefined {
    return this.#record(version, "quality", { good: passed, requestClass });
  }

  /** Records whether an attempt ended well and in time; returns as above. */
  recordHealth(version: string, good: boolean): string | undefined {
    return this.#record(version, "health", { good, requestClass: "" });
  }

  /**
   * Records a failure. Those of one endpoint at one time count once, since they
   * tell more of the endpoint than of the version.
   */
  recordFailure(
    version: string,
    endpoint: string,
    nowMs: number,
  ): string | undefined {
    if (!this.isInRollout(version)) return undefined;
    const { lastFailureAtMs } = this.#findOrCreate(version);
    const lastAtMs = lastFailureAtMs.get(endpoint) ?? Number.NEGATIVE_INFINITY;
    lastFailureAtMs.set(endpoint, nowMs);
    if (nowMs - lastAtMs < REPEATED_FAILURE_MS) return undefined;
    return this.recordHealth(version, false);
  }

  #findOrCreate(version: string): VersionMonitor {
    let monitor = this.#monitors.get(version);
    if (monitor === undefined) {
      monitor = {
        sums: { quality: 0, health: 0 },
        verdictCount: 0,
        outstandingRequests: 0,
        isStopped: false,
        expectedByKey: new Map(),
        lastFailureAtMs: new Map(),
      };
      this.#monitors.set(version, monitor);
    }
    return monitor;
  }

  #createPrior(version: string, requestClass: string): OutcomeCounts {
    const control = this.#options.getControlCounts?.(version, requestClass);
    if (control === undefined || control.total === 0) return VERDICT_PRIOR;
    const scale = Math.min(1, MAX_CONTROL_VERDICTS / control.total);
    return {
      good: VERDICT_PRIOR.good + control.good * scale,
      total: VERDICT_PRIOR.total + control.total * scale,
    };
  }

  #record(
    version: string,
    aspect: keyof EvidenceSums,
    outcome: { good: boolean; requestClass: string },
  ): string | undefined {
    if (!this.isInRollout(version)) return undefined;
    const monitor = this.#findOrCreate(version);
    if (monitor.isStopped) return undefined;
    const { good, requestClass } = outcome;
    const key = `${aspect} ${requestClass}`;
    let expected = monitor.expectedByKey.get(key);
    if (expected === undefined) {
      const prior =
        aspect === "health"
          ? HEALTH_PRIOR
          : this.#createPrior(version, requestClass);
      expected = { ...prior, deferredGood: 0, deferredTotal: 0 };
      monitor.expectedByKey.set(key, expected);
    }
    const expectedShare = computeExpectedShare(expected);
    const badShare = expectedShare * BAD_FACTOR;
    const change = good
      ? Math.log(badShare / expectedShare)
      : Math.log((1 - badShare) / (1 - expectedShare));
    const sum = Math.max(0, monitor.sums[aspect] + change);
    monitor.sums[aspect] = sum;
    if (sum >= STOP_SUM) {
      monitor.isStopped = true;
      return `${aspect} fell: evidence ${sum.toFixed(1)}, limit ${STOP_SUM}`;
    }
    if (aspect === "quality") monitor.verdictCount++;
    expected.deferredTotal++;
    if (good) expected.deferredGood++;
    if (sum === 0) {
      for (const [deferredKey, deferred] of monitor.expectedByKey) {
        if (deferredKey.startsWith(aspect)) addDeferred(deferred);
      }
    }
    return undefined;
  }
}

function isSuspect({ sums }: VersionMonitor): boolean {
  return Math.max(sums.quality, sums.health) >= SUSPECT_SUM;
}

function getOutstandingLimit(monitor: VersionMonitor): number {
  if (isSuspect(monitor)) return 1;
  const increase = Math.floor(monitor.verdictCount / VERDICTS_PER_OUTSTANDING);
  return MIN_OUTSTANDING_LIMIT + increase;
}

/**
 * The expected share less one standard deviation, so that a few good outcomes
 * by chance don't raise what is expected.
 */
function computeExpectedShare({ good, total }: ExpectedOutcomes): number {
  const share = good / total;
  const deviation = Math.sqrt((share * (1 - share)) / total);
  return Math.max(MIN_EXPECTED_SHARE, share - deviation);
}

function addDeferred(expected: ExpectedOutcomes): void {
  expected.good += expected.deferredGood;
  expected.total += expected.deferredTotal;
  expected.deferredGood = 0;
  expected.deferredTotal = 0;
  if (expected.total < MAX_EXPECTATION_OUTCOMES) return;
  expected.good /= 2;
  expected.total /= 2;
}
