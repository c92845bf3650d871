/**
 * Which model of a route answers. The smallest model is asked first. If its
 * confidence in its answer is too low, the answer is dropped before the caller
 * gets any of it, and the largest model is asked. Models in between are
 * skipped: they cost half of the largest and are hardly better than the
 * smallest.
 *
 * Under load the largest model's long prompts fill the endpoints. So the later
 * its answer would begin, the lower the confidence that is accepted. Where the
 * load of endpoints is shared, no larger answer is asked for that would begin
 * after the target: engines read prompts before they go on with streams, so on
 * too few endpoints larger models kept all streams from ending in time.
 */

/** Confidence threshold where the larger answer would begin soon. */
const FULL_THRESHOLD = 55;
/** Used share of the retry budget from which every answer is accepted. */
const MAX_BUDGET_USED_SHARE = 0.95;
/** Start-to-target ratio up to which the full threshold holds. */
const FULL_THRESHOLD_MAX_RATIO = 0.5;
/** Threshold where the larger answer would begin just at the target. */
const THRESHOLD_AT_TARGET = 38;
/** Start-to-target ratio from which every answer is accepted. */
const NO_ESCALATION_MIN_RATIO = 3;

export interface CascadeState {
  readonly models: readonly string[];
  /** The model that answered. */
  readonly model: string;
  /** The model's confidence in its answer, 0 to 100. */
  readonly confidence: number;
  /** Attempts that the route still allows. */
  readonly attemptsLeft: number;
  /** Used share of the retry budget. */
  readonly budgetUsedShare: number;
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  /** Expected time to the head of the larger model's answer. */
  readonly largerStartMs: number;
  /** The route's target for the time to the first event. */
  readonly targetMs: number;
  /** Entries share the load of the service's endpoints. */
  readonly isLoadShared: boolean;
}

export function chooseFirstModel(models: readonly string[]): string {
  return models[0] ?? "";
}

/**
 * Confidence below which the larger model is asked. `startToTargetRatio` is the
 * time from the request's arrival to the start of the larger answer, divided by
 * the target; the threshold falls as it rises.
 */
export function computeConfidenceThreshold(startToTargetRatio: number): number {
  if (startToTargetRatio <= FULL_THRESHOLD_MAX_RATIO) return FULL_THRESHOLD;
  if (startToTargetRatio >= NO_ESCALATION_MIN_RATIO) return 0;
  if (startToTargetRatio <= 1) {
    const fraction =
      (startToTargetRatio - FULL_THRESHOLD_MAX_RATIO) /
      (1 - FULL_THRESHOLD_MAX_RATIO);
    return FULL_THRESHOLD - fraction * (FULL_THRESHOLD - THRESHOLD_AT_TARGET);
  }
  const fraction = (startToTargetRatio - 1) / (NO_ESCALATION_MIN_RATIO - 1);
  return THRESHOLD_AT_TARGET * (1 - fraction);
}

/** The model to ask next; undefined when the answer is good enough. */
export function chooseNextModel(state: CascadeState): string | undefined {
  const largest = state.models.at(-1);
  if (largest === undefined || state.model === largest) return undefined;
  if (
    state.attemptsLeft <= 0 ||
    state.budgetUsedShare >= MAX_BUDGET_USED_SHARE
  ) {
    return undefined;
  }
  const startMs = state.elapsedMs + state.largerStartMs;
  if (state.isLoadShared && startMs > state.targetMs) return undefined;
  const threshold = computeConfidenceThreshold(startMs / state.targetMs);
  return state.confidence < threshold ? largest : undefined;
}
