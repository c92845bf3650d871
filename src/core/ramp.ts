/**
 * Slow start of one endpoint: the limit begins at the cold slots, doubles on
 * evidence of normal service and restarts at any sign of a cold engine.
 */

/** Mean service time up to this multiple of the norm lets the limit double. */
const NEAR_NORMAL_RATIO = 2;
/** Mean service time above this multiple of the norm is a sign of a cold engine. */
const COLD_RATIO = 3;
/** Most completions that the limit is judged on. */
const MAX_EVIDENCE = 8;
/** Fewer than the limit show that the engine is slow, but not that it isn't. */
const MIN_SLOW_EVIDENCE = 4;
/** The norm follows faster service quickly and slower service slowly. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.05;
/**
 * Normal service must last this long after a restart before the limit grows.
 * It covers the 2 s cold start of plain services, which give no report, and
 * the lag of the engines' reports. Each failure above the cold slots doubles
 * the time, so an engine that stays cold for 20 s without saying so is
 * overloaded about three times.
 */
const MIN_HOLD_MS = 3_000;
const MAX_HOLD_MS = 30_000;
/** A report of a warm engine that is older than this says nothing. */
const FRESH_REPORT_MS = 3_000;
/** An engine that served nothing for this long may have turned cold unseen. */
export const IDLE_RESTART_MS = 10_000;

const MIN_UNITS = 0.001;
/** Shorter times count as this long: below it, scheduling noise rules. */
const MIN_SERVICE_MS = 20;

export type RestartReason =
  | "start-id"
  | "cold-flag"
  | "failure"
  | "slow"
  | "idle";

export interface Completion {
  /** Version or service; each has its own norm. */
  readonly name: string;
  readonly startedAtMs: number;
  readonly serviceMs: number;
  /** Thousands of output tokens, or 1 for a call. */
  readonly units: number;
}

interface Evidence {
  readonly name: string;
  readonly units: number;
  readonly actualMs: number;
  readonly expectedMs: number;
}

export class Ramp {
  readonly #slots: number;
  readonly #coldSlots: number;
  /** Service time per unit that counts as normal, by version or service. */
  readonly #norms = new Map<string, number>();
  #limit: number;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #holdMs = MIN_HOLD_MS;
  /** First normal completion since the last restart. */
  #servingSinceMs = Number.POSITIVE_INFINITY;
  #reportedAtMs = Number.NEGATIVE_INFINITY;
  #lastBusyMs: number | undefined;
  #isFlaggedCold = false;
  #startId: string | undefined;
  /** Completions since the limit last changed or was judged. */
  #evidence: Evidence[] = [];

  constructor(options: { slots: number; slotsWhileCold: number }) {
    this.#slots = Math.max(1, options.slots);
    this.#coldSlots = Math.min(
      this.#slots,
      Math.max(1, options.slotsWhileCold),
    );
    this.#limit = this.#coldSlots;
  }

  get limit(): number {
    return this.#limit;
  }

  get isCold(): boolean {
    return this.#isFlaggedCold || this.#limit < this.#slots;
  }

  /** Takes a load report. It can lower the limit but never raise it. */
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

  /** An id that differs from the last one, from a report or an answer. */
  applyStartId(startId: string, nowMs: number): RestartReason | undefined {
    const isNewStart = this.#startId !== undefined && this.#startId !== startId;
    this.#startId = startId;
    return isNewStart ? this.#restart("start-id", nowMs) : undefined;
  }

  applyFailure(nowMs: number): RestartReason {
    if (this.#limit > this.#coldSlots) {
      this.#holdMs = Math.min(MAX_HOLD_MS, this.#holdMs * 2);
    }
    this.#lastBusyMs = nowMs;
    return this.#restart("failure", nowMs);
  }

  /** Called before a start when nothing is running. */
  noteIdleStart(nowMs: number): RestartReason | undefined {
    const idleSinceMs = this.#lastBusyMs;
    this.#lastBusyMs = nowMs;
    if (idleSinceMs === undefined) return undefined;
    if (nowMs - idleSinceMs < IDLE_RESTART_MS) return undefined;
    const hasFreshReport = nowMs - this.#reportedAtMs < FRESH_REPORT_MS;
    if (hasFreshReport && !this.#isFlaggedCold) return undefined;
    return this.#restart("idle", nowMs);
  }

  applyCompletion(
    completion: Completion,
    nowMs: number,
  ): RestartReason | undefined {
    this.#lastBusyMs = nowMs;
    const { name } = completion;
    const units = Math.max(completion.units, MIN_UNITS);
    const actualMs = Math.max(completion.serviceMs, MIN_SERVICE_MS);
    const norm = this.#norms.get(name) ?? actualMs / units;
    this.#norms.set(name, norm);
    // Work from before the last change says nothing about the present limit.
    if (completion.startedAtMs < this.#changedAtMs) return undefined;
    this.#servingSinceMs = Math.min(this.#servingSinceMs, nowMs);
    const expectedMs = Math.max(norm * units, MIN_SERVICE_MS);
    this.#evidence.push({ name, units, actualMs, expectedMs });
    return this.#judge(nowMs);
  }

  #judge(nowMs: number): RestartReason | undefined {
    const count = this.#evidence.length;
    const wanted = Math.min(this.#limit, MAX_EVIDENCE);
    if (count < Math.min(wanted, MIN_SLOW_EVIDENCE)) return undefined;
    const actualMs = sum(this.#evidence.map((one) => one.actualMs));
    const expectedMs = sum(this.#evidence.map((one) => one.expectedMs));
    if (actualMs > COLD_RATIO * expectedMs) return this.#restart("slow", nowMs);
    if (count < wanted) return undefined;
    const isHeld = nowMs < this.#servingSinceMs + this.#holdMs;
    const mayGrow = !isHeld && !this.#isFlaggedCold;
    if (!mayGrow && count < MAX_EVIDENCE) return undefined;
    this.#updateNorms();
    if (!mayGrow || actualMs > NEAR_NORMAL_RATIO * expectedMs) return undefined;
    if (this.#limit === this.#slots) {
      this.#holdMs = MIN_HOLD_MS;
    } else {
      this.#limit = Math.min(this.#slots, this.#limit * 2);
      this.#changedAtMs = nowMs;
    }
    return undefined;
  }

  /** Ends the evidence; the norms stand still while it is gathered. */
  #updateNorms(): void {
    for (const { name, units, actualMs } of this.#evidence) {
      const perUnitMs = actualMs / units;
      const norm = this.#norms.get(name) ?? perUnitMs;
      const weight = perUnitMs < norm ? FASTER_WEIGHT : SLOWER_WEIGHT;
      this.#norms.set(name, norm + weight * (perUnitMs - norm));
    }
    this.#evidence = [];
  }

  #restart(reason: RestartReason, nowMs: number): RestartReason {
    this.#updateNorms();
    this.#servingSinceMs = Number.POSITIVE_INFINITY;
    this.#limit = this.#coldSlots;
    this.#changedAtMs = nowMs;
    return reason;
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
