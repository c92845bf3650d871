/**
 * Which model of a route answers. The smallest goes first; an answer that it
 * doubts itself is dropped before the caller gets any of it, and the largest
 * model is asked, or one in between where that is expected to cost less: a
 * slight doubt is often settled by a slightly larger model.
 *
 * Answers the load in which the largest model's long prompts fill the
 * endpoints: the later its answer would begin, the surer a doubt has to be.
 */

/** Confidence at which an answer of a smaller model is good enough. */
const CONFIDENCE_BOUND = 55;
/** Share of the repeat budget in use above which doubts are tolerated. */
const BUDGET_BOUND = 0.95;
/** Begin of the larger answer, as a share of the target, that is no matter. */
const EASY_SHARE = 0.5;
/** Confidence bound where the larger answer would begin just at the target. */
const BOUND_AT_TARGET = 38;
/** Share of the target from which on nothing is escalated. */
const HOPELESS_SHARE = 3;
/** Part of the largest model's cost below which another model is worth a try. */
const WORTHWHILE = 0.9;

export interface CascadeState {
  readonly models: readonly string[];
  readonly model: string;
  readonly confidence: number;
  /** Attempts that the route still allows. */
  readonly attemptsLeft: number;
  readonly budgetUse: number;
  /** Time since the request came, ms. */
  readonly spentMs: number;
  /** Expected time to the head of the larger model's answer, ms. */
  readonly largerStartMs: number;
  /** Time to the first event that the route aims at, ms. */
  readonly targetMs: number;
  /** Price of a model's token; undefined where it is not known. */
  readonly getCost: (model: string) => number | undefined;
  /** Chance that a model settles the doubt; `guess` is that of the unknown. */
  readonly estimateSettled: (model: string, guess: number) => number;
}

export function chooseFirstModel(models: readonly string[]): string {
  return models[0] ?? "";
}

/** Confidence under which the larger model is asked; falls with its wait. */
export function computeConfidenceBound(startShare: number): number {
  if (startShare <= EASY_SHARE) return CONFIDENCE_BOUND;
  if (startShare >= HOPELESS_SHARE) return 0;
  if (startShare <= 1) {
    const part = (startShare - EASY_SHARE) / (1 - EASY_SHARE);
    return CONFIDENCE_BOUND - part * (CONFIDENCE_BOUND - BOUND_AT_TARGET);
  }
  const part = (startShare - 1) / (HOPELESS_SHARE - 1);
  return BOUND_AT_TARGET * (1 - part);
}

/** The model to ask next; undefined when the answer is good enough. */
export function chooseNextModel(state: CascadeState): string | undefined {
  const largest = state.models.at(-1);
  if (largest === undefined || state.model === largest) return undefined;
  if (state.attemptsLeft <= 0 || state.budgetUse >= BUDGET_BOUND) {
    return undefined;
  }
  const startMs = state.spentMs + state.largerStartMs;
  const bound = computeConfidenceBound(startMs / state.targetMs);
  if (state.confidence >= bound) return undefined;
  return chooseCheapest(state, largest);
}

/** True where a model settles the doubt about the answer of a smaller one. */
export function isSettled(confidence: number): boolean {
  return confidence >= CONFIDENCE_BOUND;
}

/** The model with the least expected cost, where it may fail to settle it. */
function chooseCheapest(state: CascadeState, largest: string): string {
  const { models, model, confidence, getCost, estimateSettled } = state;
  const most = getCost(largest);
  // One attempt for the model in between, and one for the largest after it.
  if (most === undefined || state.attemptsLeft < 2) return largest;
  const guess = confidence / CONFIDENCE_BOUND;
  let best = largest;
  let bestCost = WORTHWHILE * most;
  for (const middle of models.slice(models.indexOf(model) + 1, -1)) {
    const cost = getCost(middle);
    if (cost === undefined) continue;
    const expected = cost + (1 - estimateSettled(middle, guess)) * most;
    if (expected >= bestCost) continue;
    best = middle;
    bestCost = expected;
  }
  return best;
}
