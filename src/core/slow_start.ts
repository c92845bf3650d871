/**
 * Slow start of one endpoint: its limit of concurrent attempts begins at the
 * slots of a cold engine, doubles while service times are normal, and falls
 * back at any sign of a cold engine.
 */

/** The limit may double up to this multiple of the normal service time. */
const NEAR_NORMAL_RATIO = 2;
/** Service slower than this multiple of the normal time means a cold engine. */
const COLD_RATIO = 3;
/** Most completions that one decision on the limit is based on. */
const MAX_SAMPLES = 8;
/** Enough completions to tell a slow engine, though not a normal one. */
const MIN_SLOW_SAMPLES = 4;
/** The normal time follows faster service quickly and slower service slowly. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.05;
/**
 * Time from the first completion after a restart until the limit may grow. It
 * covers the 2 s cold start of plain services, which send no reports, and the
 * lag of the engines' reports. Each failure at a limit above the cold slots
 * doubles the time, so an engine that stays cold for 20 s without reporting it
 * is overloaded about three times.
 */
const MIN_GROWTH_DELAY_MS = 3_000;
const MAX_GROWTH_DELAY_MS = 30_000;
/** An older report does not show that the engine is still warm. */
const MAX_REPORT_AGE_MS = 3_000;
/** An engine idle for this long may have turned cold without any sign. */
export const IDLE_RESTART_MS = 10_000;

const MIN_UNITS = 0.001;
/** Shorter times count as this long, since they are mostly scheduling noise. */
const MIN_SERVICE_MS = 20;

/** Why the limit fell back to the cold slots. */
export type RestartReason =
  | "start-id"
  | "cold-flag"
  | "failure"
  | "slow"
  | "idle";

export interface CompletedCall {
  /** Version or service; each has its own normal time. */
  readonly name: string;
  readonly startedAtMs: number;
  readonly serviceMs: number;
  /** Thousands of output tokens, or 1 for a call. */
  readonly units: number;
}

interface CompletionSample {
  readonly name: string;
  readonly units: number;
  readonly actualMs: number;
  readonly expectedMs: number;
}

export class SlowStart {
  readonly #slots: number;
  readonly #slotsWhileCold: number;
  /** Normal service time per unit, by version or service. */
  readonly #normalMsPerUnit = new Map<string, number>();
  #limit: number;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #growthDelayMs = MIN_GROWTH_DELAY_MS;
  /** Time of the first completion since the last restart. */
  #firstCompletionMs = Number.POSITIVE_INFINITY;
  #reportedAtMs = Number.NEGATIVE_INFINITY;
  #lastBusyMs: number | undefined;
  #isFlaggedCold = false;
  #startId: string | undefined;
  /** Completions since the limit last changed or was evaluated. */
  #samples: CompletionSample[] = [];

  constructor(options: { slots: number; slotsWhileCold: number }) {
    this.#slots = Math.max(1, options.slots);
    this.#slotsWhileCold = Math.min(
      this.#slots,
      Math.max(1, options.slotsWhileCold),
    );
    this.#limit = this.#slotsWhileCold;
  }

  get limit(): number {
    return this.#limit;
  }

  get isCold(): boolean {
    return this.#isFlaggedCold || this.#limit < this.#slots;
  }

  /** Applies a load report, which can lower the limit but never raise it. */
  applyReport(
    report: { startId: string; cold: boolean },
    nowMs: number,
  ): RestartReason | undefined {
    this.#reportedAtMs = nowMs;
    this.#isFlaggedCold = report.cold;
    const reason = this.applyStartId(report.startId, nowMs);
    if (reason !== undefined) return reason;
    if (report.cold) return this.#restart("cold-flag", nowMs);
    return undefined;
  }

  /** Restarts when a report or answer has a new start id. */
  applyStartId(startId: string, nowMs: number): RestartReason | undefined {
    const isNewStart = this.#startId !== undefined && this.#startId !== startId;
    this.#startId = startId;
    return isNewStart ? this.#restart("start-id", nowMs) : undefined;
  }

  applyFailure(nowMs: number): RestartReason {
    if (this.#limit > this.#slotsWhileCold) {
      this.#growthDelayMs = Math.min(
        MAX_GROWTH_DELAY_MS,
        this.#growthDelayMs * 2,
      );
    }
    this.#lastBusyMs = nowMs;
    return this.#restart("failure", nowMs);
  }

  /** Called before a start when nothing is running. */
  recordIdleStart(nowMs: number): RestartReason | undefined {
    const idleSinceMs = this.#lastBusyMs;
    this.#lastBusyMs = nowMs;
    if (idleSinceMs === undefined) return undefined;
    if (nowMs - idleSinceMs < IDLE_RESTART_MS) return undefined;
    const hasFreshReport = nowMs - this.#reportedAtMs < MAX_REPORT_AGE_MS;
    if (hasFreshReport && !this.#isFlaggedCold) return undefined;
    return this.#restart("idle", nowMs);
  }

  applyCompletion(
    completion: CompletedCall,
    nowMs: number,
  ): RestartReason | undefined {
    this.#lastBusyMs = nowMs;
    const { name } = completion;
    const units = Math.max(completion.units, MIN_UNITS);
    const actualMs = Math.max(completion.serviceMs, MIN_SERVICE_MS);
    const normalMsPerUnit = this.#normalMsPerUnit.get(name) ?? actualMs / units;
    this.#normalMsPerUnit.set(name, normalMsPerUnit);
    // Work from before the last change is no evidence on the current limit.
    if (completion.startedAtMs < this.#changedAtMs) return undefined;
    this.#firstCompletionMs = Math.min(this.#firstCompletionMs, nowMs);
    const expectedMs = Math.max(normalMsPerUnit * units, MIN_SERVICE_MS);
    this.#samples.push({ name, units, actualMs, expectedMs });
    return this.#evaluateSamples(nowMs);
  }

  #evaluateSamples(nowMs: number): RestartReason | undefined {
    const count = this.#samples.length;
    const requiredCount = Math.min(this.#limit, MAX_SAMPLES);
    if (count < Math.min(requiredCount, MIN_SLOW_SAMPLES)) return undefined;
    const actualMs = sum(this.#samples.map((sample) => sample.actualMs));
    const expectedMs = sum(this.#samples.map((sample) => sample.expectedMs));
    if (actualMs > COLD_RATIO * expectedMs) return this.#restart("slow", nowMs);
    if (count < requiredCount) return undefined;
    const isDelayed = nowMs < this.#firstCompletionMs + this.#growthDelayMs;
    const mayGrow = !isDelayed && !this.#isFlaggedCold;
    if (!mayGrow && count < MAX_SAMPLES) return undefined;
    this.#updateNormalTimes();
    if (!mayGrow || actualMs > NEAR_NORMAL_RATIO * expectedMs) return undefined;
    if (this.#limit === this.#slots) {
      this.#growthDelayMs = MIN_GROWTH_DELAY_MS;
    } else {
      this.#limit = Math.min(this.#slots, this.#limit * 2);
      this.#changedAtMs = nowMs;
    }
    return undefined;
  }

  /** Updates the normal times, which stay fixed while samples are collected. */
  #updateNormalTimes(): void {
    for (const { name, units, actualMs } of this.#samples) {
      const msPerUnit = actualMs / units;
      const normalMsPerUnit = this.#normalMsPerUnit.get(name) ?? msPerUnit;
      const weight =
        msPerUnit < normalMsPerUnit ? FASTER_WEIGHT : SLOWER_WEIGHT;
      this.#normalMsPerUnit.set(
        name,
        normalMsPerUnit + weight * (msPerUnit - normalMsPerUnit),
      );
    }
    this.#samples = [];
  }

  #restart(reason: RestartReason, nowMs: number): RestartReason {
    this.#updateNormalTimes();
    this.#firstCompletionMs = Number.POSITIVE_INFINITY;
    this.#limit = this.#slotsWhileCold;
    this.#changedAtMs = nowMs;
    return reason;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
