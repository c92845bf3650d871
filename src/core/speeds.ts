/** Measured speed of versions and endpoints, and answer lengths of classes. */

import { type EndpointView, estimateLoad } from "./endpoint_index.js";

/**
 * Work of a prompt token relative to an output token: engines read prompts
 * about 80 times as fast as they write.
 */
const PROMPT_TOKEN_UNITS = 0.0125;
/** Loss of decode speed when all slots are in use. */
const FULL_LOAD_SLOWDOWN = 0.4;
/** Weight of the newest observation in the running means. */
const SMOOTHING = 0.1;
const DEFAULT_UNIT_MS = 20;
/**
 * Length of answers of a class that was never answered. A long default would
 * rule out every endpoint of a class with a short deadline for good.
 */
const DEFAULT_LOG_LENGTH = 0;
const DEFAULT_LOG_VARIANCE = 0.25;
const DEFAULT_KILO_TOKENS = 1;
/** Observations until the smoothed weight applies instead of the plain mean. */
const SETTLED_COUNT = 1 / SMOOTHING;

interface RunningMean {
  mean: number;
  count: number;
}

function addObservation(running: RunningMean, value: number): void {
  running.count++;
  const weight = 1 / Math.min(running.count, SETTLED_COUNT);
  running.mean += weight * (value - running.mean);
}

/** Units of work of a model request; a service call counts as one unit. */
export function countUnits(promptTokens: number, outputTokens: number): number {
  return outputTokens + promptTokens * PROMPT_TOKEN_UNITS;
}

/** Log-normal answer length of a class. */
export interface LengthEstimate {
  meanLog: number;
  varianceLog: number;
  /** Thousands of prompt and output tokens of one step. */
  meanKiloTokens: number;
  count: number;
}

export class LengthEstimates {
  readonly #classes = new Map<string, LengthEstimate>();

  get(requestClass: string): LengthEstimate {
    let estimate = this.#classes.get(requestClass);
    if (estimate === undefined) {
      estimate = {
        meanLog: DEFAULT_LOG_LENGTH,
        varianceLog: DEFAULT_LOG_VARIANCE,
        meanKiloTokens: DEFAULT_KILO_TOKENS,
        count: 0,
      };
      this.#classes.set(requestClass, estimate);
    }
    return estimate;
  }

  observe(
    requestClass: string,
    tokens: { promptTokens: number; outputTokens: number },
  ): void {
    const { promptTokens, outputTokens } = tokens;
    const estimate = this.get(requestClass);
    const log = Math.log(Math.max(1, outputTokens));
    const weight = 1 / Math.min(++estimate.count, 500);
    const kiloTokens = (promptTokens + outputTokens) / 1000;
    estimate.meanKiloTokens += weight * (kiloTokens - estimate.meanKiloTokens);
    const difference = log - estimate.meanLog;
    estimate.meanLog += weight * difference;
    if (estimate.count < 10) return;
    estimate.varianceLog += weight * (difference ** 2 - estimate.varianceLog);
  }
}

function computeLoadFactor(load: number, limit: number): number {
  const use = Math.min(1, load / Math.max(1, limit));
  return 1 / (1 - FULL_LOAD_SLOWDOWN * use);
}

export class SpeedEstimates {
  /** Milliseconds per unit on an endpoint of normal speed with no load. */
  readonly #unitMs = new Map<string, RunningMean>();

  getUnitMs(target: string): number {
    return this.#unitMs.get(target)?.mean ?? DEFAULT_UNIT_MS;
  }

  isKnown(target: string): boolean {
    return this.#unitMs.has(target);
  }

  /** Expected time of work on the endpoint if it starts now. */
  expectMs(view: EndpointView, target: string, units: number): number {
    const slots = Math.max(view.status.limit, view.status.slots);
    const factor = computeLoadFactor(estimateLoad(view) + 1, slots);
    return units * this.getUnitMs(target) * view.slowness * factor;
  }

  observe(
    view: EndpointView,
    target: string,
    observed: { units: number; ms: number; load: number },
  ): void {
    const slots = Math.max(view.status.limit, view.status.slots);
    const factor = computeLoadFactor(observed.load, slots);
    const unitMs = observed.ms / Math.max(0.1, observed.units) / factor;
    let running = this.#unitMs.get(target);
    if (running === undefined) {
      running = { mean: unitMs / view.slowness, count: 0 };
      this.#unitMs.set(target, running);
    }
    const ratio = unitMs / running.mean;
    addObservation(running, unitMs / view.slowness);
    view.speedSamples++;
    const weight = Math.max(SMOOTHING, 1 / (view.speedSamples + 1));
    view.slowness += weight * (ratio - view.slowness);
  }
}
