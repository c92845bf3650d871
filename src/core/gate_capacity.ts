/** The gate's count of running work, its limit and its estimate of waits. */

import type { Attempt } from "./attempts.js";
import { assertInvariant } from "./errors.js";
import type { EngineReport, RunOutcome } from "./gate_events.js";
import { Ramp, type RestartReason } from "./ramp.js";

/** Taken as the mean service time until the first completion. */
const FIRST_MEAN_MS = 1_000;
const MEAN_WEIGHT = 0.1;
/**
 * After a call broke, the engine may still run it: it hears of the end by the
 * closing connection, and a new call could overtake that.
 */
const LINGER_MS = 200;
/** Least rest of a call that has run for about the mean time. */
const LEAST_REST_SHARE = 0.1;

interface CapacityOptions {
  readonly kind: "model" | "service";
  readonly slots: number;
  readonly slotsWhileCold: number;
}

export class GateCapacity {
  readonly #kind: CapacityOptions["kind"];
  readonly #ramp: Ramp;
  readonly #running = new Map<string, Attempt>();
  /** Until when the slots of broken calls stay taken. */
  #lingering: number[] = [];
  #reportedSlots = Number.POSITIVE_INFINITY;
  #meanMs: number | undefined;
  #meanUnitMs: number | undefined;

  constructor(options: CapacityOptions) {
    this.#kind = options.kind;
    this.#ramp = new Ramp(options);
  }

  /** At least 1, so that a stale report can't close the endpoint for good. */
  get limit(): number {
    return Math.max(1, Math.min(this.#ramp.limit, this.#reportedSlots));
  }

  get inFlight(): number {
    return this.#running.size;
  }

  hasRoom(nowMs: number): boolean {
    this.#lingering = this.#lingering.filter((untilMs) => nowMs < untilMs);
    return this.#running.size + this.#lingering.length < this.limit;
  }

  get isCold(): boolean {
    return this.#ramp.isCold;
  }

  /** Per 1,000 output tokens, or per call of a service; 0 when unknown. */
  get meanUnitMs(): number {
    return this.#meanUnitMs ?? 0;
  }

  listRunning(): Attempt[] {
    return [...this.#running.values()];
  }

  start(attempt: Attempt, nowMs: number): void {
    if (this.#running.size === 0) this.#ramp.noteIdleStart(nowMs);
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
    // An answer names a new start before a lagging report does.
    if (startId !== "") this.#ramp.applyStartId(startId, nowMs);
    const { request, startedAtMs = nowMs } = attempt;
    const serviceMs = nowMs - startedAtMs;
    const isModel = this.#kind === "model";
    const units = isModel ? Math.max(1, outputTokens) / 1_000 : 1;
    this.#meanMs = computeMean(this.#meanMs, serviceMs);
    this.#meanUnitMs = computeMean(this.#meanUnitMs, serviceMs / units);
    const name = isModel ? request.version : request.service;
    const completion = { name, startedAtMs, serviceMs, units };
    return this.#ramp.applyCompletion(completion, nowMs);
  }

  fail(
    attempt: Attempt,
    outcome: RunOutcome & { kind: "failed" },
    nowMs: number,
  ): RestartReason | undefined {
    this.#running.delete(attempt.key);
    if (outcome.refusal.ran !== "no") this.#lingering.push(nowMs + LINGER_MS);
    if (!outcome.isEngineFault) return undefined;
    return this.#ramp.applyFailure(nowMs);
  }

  /** A report lags, so it can lower the limit but never raise it. */
  applyReport(report: EngineReport, nowMs: number): RestartReason | undefined {
    this.#reportedSlots = report.slots ?? Number.POSITIVE_INFINITY;
    return this.#ramp.applyReport(report, nowMs);
  }

  /** Expected waits, in milliseconds, of the next `count` queued attempts. */
  estimateWaits(count: number, nowMs: number): number[] {
    const meanMs = this.#meanMs ?? FIRST_MEAN_MS;
    const rests = this.listRunning().map(({ startedAtMs = nowMs }) =>
      estimateRest(nowMs - startedAtMs, meanMs),
    );
    const lingers = this.#lingering.map((untilMs) =>
      Math.max(0, untilMs - nowMs),
    );
    const frees = [...rests, ...lingers].sort((a, b) => a - b);
    // Work over the limit frees no slot when it ends.
    frees.splice(0, Math.max(0, frees.length - this.limit));
    while (frees.length < this.limit) frees.unshift(0);
    const waits: number[] = [];
    for (let index = 0; index < count; index += 1) {
      const freeMs = frees.shift() ?? 0;
      waits.push(freeMs);
      const endMs = freeMs + meanMs;
      const place = frees.findIndex((other) => other > endMs);
      frees.splice(place === -1 ? frees.length : place, 0, endMs);
    }
    return waits;
  }
}

function computeMean(mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + MEAN_WEIGHT * (value - mean);
}

/** A call that is overdue by t is expected to take about t more. */
function estimateRest(ageMs: number, meanMs: number): number {
  return Math.max(Math.abs(meanMs - ageMs), LEAST_REST_SHARE * meanMs);
}
