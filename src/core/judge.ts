/** The synchronous judge: what its verdicts say, and how good it is. */

/** Chances of the synchronous judge. */
export interface JudgeEstimate {
  sensitivity: number;
  specificity: number;
}

/** Quality of an answer, given how it came about. */
export function computePassChance(mean: number, judge: JudgeEstimate): number {
  return mean * judge.sensitivity + (1 - mean) * (1 - judge.specificity);
}

export function computePassedQuality(mean: number, judge: JudgeEstimate) {
  return (mean * judge.sensitivity) / computePassChance(mean, judge);
}

/**
 * Quality of the second version on what the judge rejected of the first. It
 * assumes that the second also solves all that the first solves; of all
 * overlaps this one leaves the second the least to gain.
 */
export function computeEscalatedQuality(
  first: number,
  second: number,
  judge: JudgeEstimate,
): number {
  const { sensitivity, specificity } = judge;
  const wronged = Math.min(first, second) * (1 - sensitivity);
  const gained = Math.max(0, second - first) * specificity;
  return (wronged + gained) / (1 - computePassChance(first, judge));
}

/** Judge before any evidence. */
export const JUDGE_PRIOR: JudgeEstimate = {
  sensitivity: 0.9,
  specificity: 0.9,
};
/**
 * Weight of the prior in ratings: a deviation of 5% in the sensitivity and of
 * 30% in the chance to miss. A looser prior let the sensitivity wander between
 * 0.80 and 0.99 on a judge of 0.92.
 */
const SENSITIVITY_WEIGHT = 800;
const MISS_WEIGHT = 25;

/** A version that was only a first step, in one class. */
export interface JudgeSample {
  readonly rated: number;
  /** Share of rated answers that were acceptable; all had passed. */
  readonly acceptedShare: number;
  readonly passShare: number;
}

/**
 * Learns the judge. For a first step with pass share r and rated share q of
 * passed answers, q·r = a·sensitivity and (1-q)·r = (1-a)·(1-specificity),
 * so q·r / sensitivity + (1-q)·r / (1-specificity) = 1 whatever the
 * version's share a. Least squares over all classes and versions gives both,
 * pulled towards the prior.
 */
export function estimateJudge(samples: readonly JudgeSample[]): JudgeEstimate {
  const x0 = 1 / JUDGE_PRIOR.sensitivity;
  const y0 = 1 / (1 - JUDGE_PRIOR.specificity);
  // The prior enters as a ridge in units of each unknown's own size.
  let xx = SENSITIVITY_WEIGHT / x0 ** 2;
  let yy = MISS_WEIGHT / y0 ** 2;
  let xy = 0;
  let xz = SENSITIVITY_WEIGHT / x0;
  let yz = MISS_WEIGHT / y0;
  for (const { rated, acceptedShare, passShare } of samples) {
    const x = acceptedShare * passShare;
    const y = (1 - acceptedShare) * passShare;
    xx += rated * x * x;
    yy += rated * y * y;
    xy += rated * x * y;
    xz += rated * x;
    yz += rated * y;
  }
  const determinant = xx * yy - xy * xy;
  const inverseSensitivity = (xz * yy - yz * xy) / determinant;
  const inverseMiss = (yz * xx - xz * xy) / determinant;
  const limit = (value: number) => Math.min(0.99, Math.max(0.6, value));
  return {
    sensitivity: limit(1 / inverseSensitivity),
    specificity: limit(1 - 1 / inverseMiss),
  };
}
