/** Measured speed of versions and endpoints, and answer lengths of classes. */

import { type EndpointView, estimateLoad } from "./endpoint_index.js";

/**
 * Work of a prompt token relative to an output token: engines read prompts
 * about 80 times as fast as they write.
 */
const PROMPT_TOKEN_UNITS = 0.0125;
/** Share of the speed that is lost when all slots are in use. */
const FULL_LOAD_SLOWDOWN = 0.4;
/** Weight of the newest observation in the running means. */
const NEWEST_OBSERVATION_WEIGHT = 0.1;
const DEFAULT_UNIT_MS = 20;
/**
 * Answer length assumed for a class without answers. A longer one would rule
 * out every endpoint for a class with a short deadline, so that its length
 * would never be measured.
 */
const DEFAULT_MEAN_LOG_TOKENS = 0;
const DEFAULT_LOG_TOKENS_VARIANCE = 0.25;
const DEFAULT_MEAN_KILO_TOKENS = 1;
/** Observations up to which the mean is a plain one. */
const MIN_WEIGHTED_COUNT = 1 / NEWEST_OBSERVATION_WEIGHT;

interface RunningMean {
  mean: number;
  count: number;
}

function addObservation(running: RunningMean, value: number): void {
  running.count++;
  const weight = 1 / Math.min(running.count, MIN_WEIGHTED_COUNT);
  running.mean += weight * (value - running.mean);
}

/** Units of work of a model request; a service call counts as one unit. */
export function countUnits(promptTokens: number, outputTokens: number): number {
  return outputTokens + promptTokens * PROMPT_TOKEN_UNITS;
}

/** Answer length of a class in tokens, taken as log-normal. */
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
        meanLog: DEFAULT_MEAN_LOG_TOKENS,
        varianceLog: DEFAULT_LOG_TOKENS_VARIANCE,
        meanKiloTokens: DEFAULT_MEAN_KILO_TOKENS,
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
    const logTokens = Math.log(Math.max(1, outputTokens));
    const weight = 1 / Math.min(++estimate.count, 500);
    const kiloTokens = (promptTokens + outputTokens) / 1000;
    estimate.meanKiloTokens += weight * (kiloTokens - estimate.meanKiloTokens);
    const difference = logTokens - estimate.meanLog;
    estimate.meanLog += weight * difference;
    if (estimate.count < 10) return;
    estimate.varianceLog += weight * (difference ** 2 - estimate.varianceLog);
  }
}

function computeLoadFactor(load: number, limit: number): number {
  const loadShare = Math.min(1, load / Math.max(1, limit));
  return 1 / (1 - FULL_LOAD_SLOWDOWN * loadShare);
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

  /** Expected duration of work on the endpoint if it starts now. */
  estimateMs(view: EndpointView, target: string, units: number): number {
    const slots = Math.max(view.status.limit, view.status.slots);
    const factor = computeLoadFactor(estimateLoad(view) + 1, slots);
    return units * this.getUnitMs(target) * view.serviceTimeRatio * factor;
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
      running = { mean: unitMs / view.serviceTimeRatio, count: 0 };
      this.#unitMs.set(target, running);
    }
    const ratio = unitMs / running.mean;
    addObservation(running, unitMs / view.serviceTimeRatio);
    view.speedSamples++;
    const weight = Math.max(
      NEWEST_OBSERVATION_WEIGHT,
      1 / (view.speedSamples + 1),
    );
    view.serviceTimeRatio += weight * (ratio - view.serviceTimeRatio);
  }
}
