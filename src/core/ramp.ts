/**
 * Slow start of one endpoint: the limit begins at the cold slots, doubles on
 * evidence of normal service and restarts at any sign of a cold engine.
 */

/** Mean service time up to this multiple of the norm lets the limit double. */
const NEAR_NORMAL_RATIO = 2;
/** Mean service time above this multiple of the norm is a sign of a cold engine. */
const COLD_RATIO = 3;
/** Completions that a doubling or a restart for slowness is judged on. */
const MAX_EVIDENCE = 8;
const MIN_SLOW_EVIDENCE = 4;
/** The norm follows faster service quickly and slower service slowly. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.05;
/**
 * An engine may turn cold and show it by failures only. Each failure above the
 * cold slots doubles the time before the limit may grow again, so an engine
 * that stays cold for 20 s is overloaded about three times.
 */
const MIN_HOLD_MS = 3_000;
const MAX_HOLD_MS = 30_000;
/** An engine that served nothing for this long may have turned cold unseen. */
export const IDLE_RESTART_MS = 10_000;

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

export class Ramp {
  readonly #slots: number;
  readonly #coldSlots: number;
  /** Service time per unit that counts as normal, by version or service. */
  readonly #norms = new Map<string, number>();
  #limit: number;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #holdMs = 0;
  #holdUntilMs = Number.NEGATIVE_INFINITY;
  #lastBusyMs: number | undefined;
  #isFlaggedCold = false;
  #startId: string | undefined;
  #evidence = { count: 0, actualMs: 0, expectedMs: 0 };

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
    const isNewStart =
      this.#startId !== undefined && this.#startId !== report.startId;
    this.#startId = report.startId;
    this.#isFlaggedCold = report.cold;
    if (isNewStart) return this.#restart("start-id", nowMs);
    if (report.cold) return this.#restart("cold-flag", nowMs);
    return undefined;
  }

  applyFailure(nowMs: number): RestartReason {
    const isOverload = this.#limit > this.#coldSlots;
    const holdMs = isOverload ? this.#holdMs * 2 : this.#holdMs;
    this.#holdMs = Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, holdMs));
    this.#holdUntilMs = nowMs + this.#holdMs;
    this.#lastBusyMs = nowMs;
    return this.#restart("failure", nowMs);
  }

  /** Called before a start when nothing is running. */
  noteIdleStart(nowMs: number): RestartReason | undefined {
    const idleSinceMs = this.#lastBusyMs;
    this.#lastBusyMs = nowMs;
    if (idleSinceMs === undefined) return undefined;
    if (nowMs - idleSinceMs < IDLE_RESTART_MS) return undefined;
    return this.#restart("idle", nowMs);
  }

  applyCompletion(
    completion: Completion,
    nowMs: number,
  ): RestartReason | undefined {
    this.#lastBusyMs = nowMs;
    const units = Math.max(completion.units, 0.001);
    const perUnitMs = completion.serviceMs / units;
    const norm = this.#norms.get(completion.name) ?? perUnitMs;
    const weight = perUnitMs < norm ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.#norms.set(completion.name, norm + weight * (perUnitMs - norm));
    // Work from before the last change says nothing about the present limit.
    if (completion.startedAtMs < this.#changedAtMs) return undefined;
    this.#evidence.count += 1;
    this.#evidence.actualMs += completion.serviceMs;
    this.#evidence.expectedMs += norm * units;
    return this.#judge(nowMs);
  }

  #judge(nowMs: number): RestartReason | undefined {
    const { count, actualMs, expectedMs } = this.#evidence;
    if (count >= MIN_SLOW_EVIDENCE && actualMs > COLD_RATIO * expectedMs) {
      return this.#restart("slow", nowMs);
    }
    if (count < Math.min(this.#limit, MAX_EVIDENCE)) return undefined;
    if (nowMs < this.#holdUntilMs || this.#isFlaggedCold) return undefined;
    const isNormal = actualMs <= NEAR_NORMAL_RATIO * expectedMs;
    if (isNormal && this.#limit < this.#slots) {
      this.#limit = Math.min(this.#slots, this.#limit * 2);
      this.#changedAtMs = nowMs;
    } else if (isNormal) {
      this.#holdMs = 0;
    }
    this.#evidence = { count: 0, actualMs: 0, expectedMs: 0 };
    return undefined;
  }

  #restart(reason: RestartReason, nowMs: number): RestartReason {
    this.#limit = this.#coldSlots;
    this.#changedAtMs = nowMs;
    this.#evidence = { count: 0, actualMs: 0, expectedMs: 0 };
    return reason;
  }
}
