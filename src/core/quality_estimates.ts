/**
 * Quality of versions per request class, estimated as Beta posteriors from the
 * judge's verdicts and from later ratings.
 *
 * A verdict on a first cascade step is an unbiased but noisy sample. A rating
 * is exact, but doesn't tell the step that gave the answer: an answer that
 * passed as a first step is better than the version's average, an escalated one
 * worse. The shares of these roles among this entry's answers correct for it.
 */

import {
  computePassChance,
  computePassedQuality,
  estimateJudge,
  JUDGE_PRIOR,
  type JudgeEstimate,
  type JudgeSample,
} from "./judge_estimate.js";

/**
 * Role in which a version gave the final answer: alone, as a first step that
 * the judge passed, or after the judge rejected the first step.
 */
export type AnswerRole = "single" | "passed" | "escalated";

export interface QualityEstimate {
  /** Expected share of acceptable answers. */
  readonly mean: number;
  readonly variance: number;
}

/**
 * Verdicts or ratings above which the counts are halved, so that the estimates
 * follow slow changes.
 */
const MAX_EVIDENCE_COUNT = 4_000;
/**
 * Slope from a version's quality to a measured share below which the share
 * tells too little of the quality.
 */
const MIN_INVERTED_SLOPE = 0.2;
/** Bounds of an estimated share. */
const MIN_SHARE = 0.02;
const MAX_SHARE = 0.995;
/** Beta prior of a version without evidence. */
const PRIOR = { mean: 0.7, weight: 4 };
/** Beta prior of the most expensive version: operators pay for its quality. */
const MOST_EXPENSIVE_PRIOR = { mean: 0.965, weight: 40 };
/**
 * Standard deviation of the judge's estimated error rates. It keeps verdicts
 * alone from making a version's share more certain than the judge is.
 */
const JUDGE_ERROR_DEVIATION = 0.02;

interface VersionRecord {
  /** Verdicts on the version as a first step. */
  judged: number;
  passed: number;
  /** Ratings of final answers. */
  accepted: number;
  rejected: number;
  /** Answers by role; escalated ones by the version that was rejected. */
  single: number;
  passedAnswers: number;
  readonly escalatedFrom: Map<string, number>;
}

function createRecord(): VersionRecord {
  return {
    judged: 0,
    passed: 0,
    accepted: 0,
    rejected: 0,
    single: 0,
    passedAnswers: 0,
    escalatedFrom: new Map(),
  };
}

function computeBoundedShare(share: number): number {
  return Math.min(MAX_SHARE, Math.max(MIN_SHARE, share));
}

function createBeta(mean: number, weight: number): QualityEstimate {
  return { mean, variance: (mean * (1 - mean)) / (weight + 1) };
}

/**
 * Estimate of a share from counts. The variance is that of the share with two
 * more of each outcome: the plain share of a short run without a failure would
 * have no variance.
 */
function estimateShare(good: number, total: number): QualityEstimate {
  const shrunk = (good + 2) / (total + 4);
  return {
    mean: (good + 0.5) / (total + 1),
    variance: (shrunk * (1 - shrunk)) / (total + 4),
  };
}

/** Estimate of x, given an estimate of offset + slope * x. */
function computeLinearSolution(
  estimate: QualityEstimate,
  offset: number,
  slope: number,
): QualityEstimate {
  return {
    mean: computeBoundedShare((estimate.mean - offset) / slope),
    variance: estimate.variance / slope ** 2,
  };
}

/** Mean of two estimates, weighted by the inverse of their variances. */
function combine(a: QualityEstimate, b: QualityEstimate): QualityEstimate {
  const weightA = 1 / a.variance;
  const weightB = 1 / b.variance;
  return {
    mean: (a.mean * weightA + b.mean * weightB) / (weightA + weightB),
    variance: 1 / (weightA + weightB),
  };
}

export class QualityEstimates {
  readonly #records = new Map<string, Map<string, VersionRecord>>();
  #judge: JudgeEstimate = JUDGE_PRIOR;
  #mostExpensiveByClass = new Map<string, string>();

  get judge(): JudgeEstimate {
    return this.#judge;
  }

  /** Sets the most expensive version of a class, whose prior is higher. */
  setMostExpensive(requestClass: string, version: string): void {
    this.#mostExpensiveByClass.set(requestClass, version);
  }

  #findOrCreate(requestClass: string, version: string): VersionRecord {
    let versions = this.#records.get(requestClass);
    if (versions === undefined) {
      versions = new Map();
      this.#records.set(requestClass, versions);
    }
    let record = versions.get(version);
    if (record === undefined) {
      record = createRecord();
      versions.set(version, record);
    }
    return record;
  }

  recordVerdict(requestClass: string, version: string, passed: boolean): void {
    const record = this.#findOrCreate(requestClass, version);
    if (record.judged >= MAX_EVIDENCE_COUNT) {
      record.judged /= 2;
      record.passed /= 2;
    }
    record.judged++;
    if (passed) record.passed++;
  }

  recordRatings(
    requestClass: string,
    version: string,
    counts: { accepted: number; rejected: number },
  ): void {
    const record = this.#findOrCreate(requestClass, version);
    if (record.accepted + record.rejected >= MAX_EVIDENCE_COUNT) {
      record.accepted /= 2;
      record.rejected /= 2;
    }
    record.accepted += counts.accepted;
    record.rejected += counts.rejected;
  }

  recordAnswer(
    requestClass: string,
    version: string,
    answer: { role: AnswerRole; rejectedVersion?: string },
  ): void {
    const record = this.#findOrCreate(requestClass, version);
    if (answer.role === "single") record.single++;
    else if (answer.role === "passed") record.passedAnswers++;
    else if (answer.rejectedVersion !== undefined) {
      const count = record.escalatedFrom.get(answer.rejectedVersion) ?? 0;
      record.escalatedFrom.set(answer.rejectedVersion, count + 1);
    }
  }

  /** Drops the evidence on a version whose quality has changed. */
  dropEvidence(version: string): void {
    for (const versions of this.#records.values()) versions.delete(version);
  }

  /** Number of verdicts and ratings on the version. */
  countEvidence(requestClass: string, version: string): number {
    const record = this.#records.get(requestClass)?.get(version);
    if (record === undefined) return 0;
    return record.judged + record.accepted + record.rejected;
  }

  /** Verdicts on the version as a first step. */
  countVerdicts(requestClass: string, version: string) {
    const record = this.#records.get(requestClass)?.get(version);
    return { good: record?.passed ?? 0, total: record?.judged ?? 0 };
  }

  estimate(requestClass: string, version: string): QualityEstimate {
    const isMostExpensive =
      this.#mostExpensiveByClass.get(requestClass) === version;
    const prior = isMostExpensive ? MOST_EXPENSIVE_PRIOR : PRIOR;
    let estimate = createBeta(prior.mean, prior.weight);
    const record = this.#records.get(requestClass)?.get(version);
    if (record === undefined) return estimate;
    if (record.judged > 0)
      estimate = combine(estimate, this.#estimateFromVerdicts(record));
    const fromRatings = this.#estimateFromRatings(
      requestClass,
      record,
      estimate.mean,
    );
    if (fromRatings !== undefined) estimate = combine(estimate, fromRatings);
    return { ...estimate, mean: computeBoundedShare(estimate.mean) };
  }

  /** Estimates the share of acceptable answers from the share of passes. */
  #estimateFromVerdicts({ judged, passed }: VersionRecord): QualityEstimate {
    const { sensitivity, specificity } = this.#judge;
    const slope = Math.max(MIN_INVERTED_SLOPE, sensitivity + specificity - 1);
    const { mean, variance } = computeLinearSolution(
      estimateShare(passed, judged),
      1 - specificity,
      slope,
    );
    const judgeVariance = (JUDGE_ERROR_DEVIATION / slope) ** 2;
    return {
      mean,
      variance: variance + judgeVariance * (mean ** 2 + (1 - mean) ** 2),
    };
  }

  /**
   * Estimates the share of acceptable answers from ratings, corrected by the
   * roles of the answers; undefined when the ratings tell too little.
   */
  #estimateFromRatings(
    requestClass: string,
    record: VersionRecord,
    meanBeforeRatings: number,
  ): QualityEstimate | undefined {
    const { accepted, rejected, single, passedAnswers } = record;
    const ratedCount = accepted + rejected;
    const escalatedCount = [...record.escalatedFrom.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const answers = single + passedAnswers + escalatedCount;
    if (ratedCount === 0) return undefined;
    // Ratings from other entries can arrive before this entry has answered.
    if (answers === 0) return estimateShare(accepted, ratedCount);
    const judge = this.#judge;
    let slope = single / answers;
    let offset =
      (passedAnswers / answers) *
      computePassedQuality(meanBeforeRatings, judge);
    for (const [rejectedVersion, count] of record.escalatedFrom) {
      const firstMean = this.estimateFirstStep(requestClass, rejectedVersion);
      const rejectChance = 1 - computePassChance(firstMean, judge);
      const share = count / answers;
      // An escalated answer's quality is linear in the second version's share
      // where that is above the first's; see `computeEscalatedQuality`.
      slope += (share * judge.specificity) / rejectChance;
      const qualityAtZero =
        firstMean * (1 - judge.sensitivity) - firstMean * judge.specificity;
      offset += (share * qualityAtZero) / rejectChance;
    }
    if (slope < MIN_INVERTED_SLOPE) return undefined;
    return computeLinearSolution(
      estimateShare(accepted, ratedCount),
      offset,
      slope,
    );
  }

  /** Quality of a version as a first step, estimated from its verdicts only. */
  estimateFirstStep(requestClass: string, version: string): number {
    const record = this.#records.get(requestClass)?.get(version);
    const prior = createBeta(PRIOR.mean, PRIOR.weight);
    if (record === undefined || record.judged === 0) return prior.mean;
    return computeBoundedShare(
      combine(prior, this.#estimateFromVerdicts(record)).mean,
    );
  }

  /**
   * Updates the judge's error rates from versions that were only first steps
   * and have both verdicts and ratings.
   */
  updateJudge(): void {
    const samples: JudgeSample[] = [];
    for (const versions of this.#records.values()) {
      for (const record of versions.values()) {
        const ratedCount = record.accepted + record.rejected;
        const isOnlyFirst =
          record.single === 0 && record.escalatedFrom.size === 0;
        if (!isOnlyFirst || ratedCount === 0 || record.judged === 0) continue;
        samples.push({
          ratedCount,
          acceptedShare: record.accepted / ratedCount,
          passShare: record.passed / record.judged,
        });
      }
    }
    this.#judge = estimateJudge(samples);
  }
}
