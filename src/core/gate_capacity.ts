/** The gate's running attempts, their limit and the expected waits. */

import type { Attempt } from "./attempt_registry.js";
import { assertInvariant } from "./errors.js";
import type { EngineReport, RunOutcome } from "./gate_events.js";
import { type RestartReason, SlowStart } from "./slow_start.js";

/** Assumed mean service time until the first completion. */
const INITIAL_MEAN_MS = 1_000;
/** Weight of a new sample in the exponential moving averages. */
const MEAN_SAMPLE_WEIGHT = 0.1;
/**
 * How long a call that broke keeps its slot. The engine may still run it until
 * it sees the connection close, and a new call could arrive before that.
 */
const BROKEN_CALL_SLOT_MS = 200;
/** Minimum expected remaining time of a call, as a share of the mean. */
const MIN_REMAINING_SHARE = 0.1;

interface CapacityOptions {
  readonly kind: "model" | "service";
  readonly slots: number;
  readonly slotsWhileCold: number;
}

export class GateCapacity {
  readonly #kind: CapacityOptions["kind"];
  readonly #slowStart: SlowStart;
  readonly #running = new Map<string, Attempt>();
  /** Times until which the slots of broken calls stay taken. */
  #brokenCallsUntilMs: number[] = [];
  #reportedSlots = Number.POSITIVE_INFINITY;
  #meanMs: number | undefined;
  #meanMsPerUnit: number | undefined;

  constructor(options: CapacityOptions) {
    this.#kind = options.kind;
    this.#slowStart = new SlowStart(options);
  }

  /** At least 1, so that a stale report can't stop the endpoint forever. */
  get limit(): number {
    return Math.max(1, Math.min(this.#slowStart.limit, this.#reportedSlots));
  }

  get inFlight(): number {
    return this.#running.size;
  }

  hasRoom(nowMs: number): boolean {
    this.#brokenCallsUntilMs = this.#brokenCallsUntilMs.filter(
      (untilMs) => nowMs < untilMs,
    );
    return this.#running.size + this.#brokenCallsUntilMs.length < this.limit;
  }

  get isCold(): boolean {
    return this.#slowStart.isCold;
  }

  /** Mean time per 1,000 output tokens or service call; 0 when unknown. */
  get meanMsPerUnit(): number {
    return this.#meanMsPerUnit ?? 0;
  }

  listRunning(): Attempt[] {
    return [...this.#running.values()];
  }

  start(attempt: Attempt, nowMs: number): void {
    if (this.#running.size === 0) this.#slowStart.recordIdleStart(nowMs);
    this.#running.set(attempt.key, attempt);
    assertInvariant(
      this.#running.size <= this.limit,
      "coldOverload",
      `${this.#running.size} attempts run at a limit of ${this.limit}`,
    );
  }

  complete(
    attempt: Attempt,
    outcome: RunOutcome & { kind: "completed" },
    nowMs: number,
  ): RestartReason | undefined {
    const { outputTokens, startId = "" } = outcome;
    this.#running.delete(attempt.key);
    // An answer may carry a new start id before a lagging report does.
    if (startId !== "") this.#slowStart.applyStartId(startId, nowMs);
    const { request, startedAtMs = nowMs } = attempt;
    const serviceMs = nowMs - startedAtMs;
    const isModel = this.#kind === "model";
    const units = isModel ? Math.max(1, outputTokens) / 1_000 : 1;
    this.#meanMs = computeMovingMean(this.#meanMs, serviceMs);
    this.#meanMsPerUnit = computeMovingMean(
      this.#meanMsPerUnit,
      serviceMs / units,
    );
    const name = isModel ? request.version : request.service;
    const completion = { name, startedAtMs, serviceMs, units };
    return this.#slowStart.applyCompletion(completion, nowMs);
  }

  fail(
    attempt: Attempt,
    outcome: RunOutcome & { kind: "failed" },
    nowMs: number,
  ): RestartReason | undefined {
    this.#running.delete(attempt.key);
    if (outcome.refusal.ran !== "no")
      this.#brokenCallsUntilMs.push(nowMs + BROKEN_CALL_SLOT_MS);
    if (!outcome.isEngineFault) return undefined;
    return this.#slowStart.applyFailure(nowMs);
  }

  /** Reports lag, so one can lower the limit but never raise it. */
  applyReport(report: EngineReport, nowMs: number): RestartReason | undefined {
    this.#reportedSlots = report.slots ?? Number.POSITIVE_INFINITY;
    return this.#slowStart.applyReport(report, nowMs);
  }

  /** Expected waits of the next `count` attempts in the queue. */
  estimateWaitsMs(count: number, nowMs: number): number[] {
    const meanMs = this.#meanMs ?? INITIAL_MEAN_MS;
    const remainingTimesMs = this.listRunning().map(({ startedAtMs = nowMs }) =>
      estimateRemainingMs(nowMs - startedAtMs, meanMs),
    );
    const brokenCallTimesMs = this.#brokenCallsUntilMs.map((untilMs) =>
      Math.max(0, untilMs - nowMs),
    );
    const freeTimesMs = [...remainingTimesMs, ...brokenCallTimesMs].sort(
      (a, b) => a - b,
    );
    // Calls over the limit free no slot when they end.
    freeTimesMs.splice(0, Math.max(0, freeTimesMs.length - this.limit));
    while (freeTimesMs.length < this.limit) freeTimesMs.unshift(0);
    const waitsMs: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const freeMs = freeTimesMs.shift() ?? 0;
      waitsMs.push(freeMs);
      const endMs = freeMs + meanMs;
      const position = freeTimesMs.findIndex((other) => other > endMs);
      freeTimesMs.splice(
        position === -1 ? freeTimesMs.length : position,
        0,
        endMs,
      );
    }
    return waitsMs;
  }
}

function computeMovingMean(mean: number | undefined, value: number): number {
  return mean === undefined
    ? value
    : mean + MEAN_SAMPLE_WEIGHT * (value - mean);
}

/** A call that is overdue by t is expected to take about t more. */
function estimateRemainingMs(ageMs: number, meanMs: number): number {
  return Math.max(Math.abs(meanMs - ageMs), MIN_REMAINING_SHARE * meanMs);
}
