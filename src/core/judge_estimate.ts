/**
 * The judge that checks the first step of a cascade: what its verdicts say of
 * the answers, and estimates of its error rates.
 */

/** Error rates of the judge. */
export interface JudgeEstimate {
  /** Chance that it passes an acceptable answer. */
  sensitivity: number;
  /** Chance that it rejects an unacceptable answer. */
  specificity: number;
}

/** Chance that the judge passes an answer of a version of this quality. */
export function computePassChance(mean: number, judge: JudgeEstimate): number {
  return mean * judge.sensitivity + (1 - mean) * (1 - judge.specificity);
}

/** Quality of the answers that the judge passes. */
export function computePassedQuality(mean: number, judge: JudgeEstimate) {
  return (mean * judge.sensitivity) / computePassChance(mean, judge);
}

/**
 * Quality of the second version on the requests whose first answer the judge
 * rejected. It assumes that the second version answers acceptably wherever the
 * first does; of all possible overlaps, it gains least with this one.
 */
export function computeEscalatedQuality(
  firstMean: number,
  secondMean: number,
  judge: JudgeEstimate,
): number {
  const { sensitivity, specificity } = judge;
  const rescued = Math.min(firstMean, secondMean) * (1 - sensitivity);
  const improved = Math.max(0, secondMean - firstMean) * specificity;
  return (rescued + improved) / (1 - computePassChance(firstMean, judge));
}

/** Error rates assumed before any evidence. */
export const JUDGE_PRIOR: JudgeEstimate = {
  sensitivity: 0.9,
  specificity: 0.9,
};
/**
 * Weights of the prior, in ratings: they stand for a deviation of 5% in the
 * sensitivity and of 30% in the chance to pass an unacceptable answer. With a
 * weaker prior the estimated sensitivity of a judge of 0.92 varied from 0.80 to
 * 0.99.
 */
const SENSITIVITY_PRIOR_WEIGHT = 800;
const MISS_CHANCE_PRIOR_WEIGHT = 25;

/** Counts of a version that was only a first step in one class. */
export interface JudgeSample {
  readonly ratedCount: number;
  /** Share of rated answers that were acceptable; all had passed. */
  readonly acceptedShare: number;
  readonly passShare: number;
}

/**
 * Estimates the judge's error rates. For a first step with pass share r and
 * share q of acceptable answers among the rated ones,
 * q·r = a·sensitivity and (1-q)·r = (1-a)·(1-specificity), so
 * q·r / sensitivity + (1-q)·r / (1-specificity) = 1 whatever the version's
 * share a of acceptable answers. Least squares over all classes and versions
 * gives both, drawn towards the prior.
 */
export function estimateJudge(samples: readonly JudgeSample[]): JudgeEstimate {
  const priorInverseSensitivity = 1 / JUDGE_PRIOR.sensitivity;
  const priorInverseMissChance = 1 / (1 - JUDGE_PRIOR.specificity);
  // Sums of the normal equations of a ridge regression towards the prior, in
  // units of each prior value.
  let xx = SENSITIVITY_PRIOR_WEIGHT / priorInverseSensitivity ** 2;
  let yy = MISS_CHANCE_PRIOR_WEIGHT / priorInverseMissChance ** 2;
  let xy = 0;
  let xz = SENSITIVITY_PRIOR_WEIGHT / priorInverseSensitivity;
  let yz = MISS_CHANCE_PRIOR_WEIGHT / priorInverseMissChance;
  for (const { ratedCount, acceptedShare, passShare } of samples) {
    const x = acceptedShare * passShare;
    const y = (1 - acceptedShare) * passShare;
    xx += ratedCount * x * x;
    yy += ratedCount * y * y;
    xy += ratedCount * x * y;
    xz += ratedCount * x;
    yz += ratedCount * y;
  }
  const determinant = xx * yy - xy * xy;
  const inverseSensitivity = (xz * yy - yz * xy) / determinant;
  const inverseMissChance = (yz * xx - xz * xy) / determinant;
  const bound = (value: number) => Math.min(0.99, Math.max(0.6, value));
  return {
    sensitivity: bound(1 / inverseSensitivity),
    specificity: bound(1 - 1 / inverseMissChance),
  };
}
