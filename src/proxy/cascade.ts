/**
 * Which model of a route answers. The smallest goes first; an answer that it
 * doubts itself is dropped before the caller gets any of it, and the largest
 * model is asked. The model in between costs half of the largest and is hardly
 * better than the smallest, so it is passed over.
 */

/** Confidence at which an answer of a smaller model is good enough. */
const CONFIDENCE_BOUND = 55;
/** Share of the repeat budget in use above which doubts are tolerated. */
const BUDGET_BOUND = 0.95;

export interface CascadeState {
  readonly models: readonly string[];
  readonly model: string;
  readonly confidence: number;
  /** Attempts that the route still allows. */
  readonly attemptsLeft: number;
  readonly budgetUse: number;
  /** Expected time to the head of the larger model's answer, ms. */
  readonly largerStartMs: number;
  /** Time that is left until the answer would be late, ms. */
  readonly leftMs: number;
}

export function chooseFirstModel(models: readonly string[]): string {
  return models[0] ?? "";
}

/** The model to ask next; undefined when the answer is good enough. */
export function chooseNextModel(state: CascadeState): string | undefined {
  const largest = state.models.at(-1);
  if (largest === undefined || state.model === largest) return undefined;
  if (state.confidence >= CONFIDENCE_BOUND) return undefined;
  if (state.attemptsLeft <= 0 || state.budgetUse >= BUDGET_BOUND) {
    return undefined;
  }
  return largest;
}
