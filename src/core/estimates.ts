/**
 * Quality of versions, learnt from judge verdicts and late ratings, as Beta
 * posteriors per request class.
 *
 * A verdict on a first cascade step is an unbiased but noisy sample. A rating
 * is exact, but says nothing of the step that produced the answer: a passed
 * first step is better than the version's average, an escalated answer worse.
 * The mix of roles that this entry has answered with corrects for that.
 */

import {
  computePassChance,
  computePassedQuality,
  estimateJudge,
  JUDGE_PRIOR,
  type JudgeEstimate,
  type JudgeSample,
} from "./judge.js";

/** How a version came to give the final answer. */
export type AnswerRole = "single" | "passed" | "escalated";

export interface QualityEstimate {
  /** Expected share of acceptable answers. */
  readonly mean: number;
  readonly variance: number;
}

/** Weight of evidence kept, so that the estimates follow slow change. */
const MAX_EVIDENCE = 4_000;
/** Least slope at which a rated share says something of the version. */
const MIN_SLOPE = 0.2;
const MIN_SHARE = 0.02;
const MAX_SHARE = 0.995;
/** Beta prior of a version that nothing is known of. */
const PRIOR = { mean: 0.7, weight: 4 };
/** Beta prior of the dearest version: operators pay for its quality. */
const DEAREST_PRIOR = { mean: 0.965, weight: 40 };
/**
 * Standard deviation of the judge's estimated chances. Verdicts alone never
 * make a version's share more certain than the judge is.
 */
const JUDGE_DEVIATION = 0.02;

interface VersionRecord {
  judged: number;
  passed: number;
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
 * Estimate of a share from counts. The variance comes from the share with two
 * more of each outcome: the plain share of a short run without a failure would
 * claim certainty.
 */
function estimateShare(good: number, total: number): QualityEstimate {
  const shrunk = (good + 2) / (total + 4);
  return {
    mean: (good + 0.5) / (total + 1),
    variance: (shrunk * (1 - shrunk)) / (total + 4),
  };
}

/** Estimate of x from an estimate of offset + slope * x. */
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
  #dearest = new Map<string, string>();

  get judge(): JudgeEstimate {
    return this.#judge;
  }

  /** Names the dearest version of a class, whose prior is higher. */
  setDearest(requestClass: string, version: string): void {
    this.#dearest.set(requestClass, version);
  }

  #find(requestClass: string, version: string): VersionRecord {
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
    const record = this.#find(requestClass, version);
    if (record.judged >= MAX_EVIDENCE) {
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
    const record = this.#find(requestClass, version);
    if (record.accepted + record.rejected >= MAX_EVIDENCE) {
      record.accepted /= 2;
      record.rejected /= 2;
    }
    record.accepted += counts.accepted;
    record.rejected += counts.rejected;
  }

  recordAnswer(
    requestClass: string,
    version: string,
    how: { role: AnswerRole; from?: string },
  ): void {
    const record = this.#find(requestClass, version);
    if (how.role === "single") record.single++;
    else if (how.role === "passed") record.passedAnswers++;
    else if (how.from !== undefined) {
      const count = record.escalatedFrom.get(how.from) ?? 0;
      record.escalatedFrom.set(how.from, count + 1);
    }
  }

  /** Forgets a version whose behaviour has changed. */
  reset(version: string): void {
    for (const versions of this.#records.values()) versions.delete(version);
  }

  /** Verdicts and ratings seen, for the guard and for exploration. */
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
    const isDearest = this.#dearest.get(requestClass) === version;
    const prior = isDearest ? DEAREST_PRIOR : PRIOR;
    let estimate = createBeta(prior.mean, prior.weight);
    const record = this.#records.get(requestClass)?.get(version);
    if (record === undefined) return estimate;
    if (record.judged > 0) estimate = combine(estimate, this.#invert(record));
    const rated = this.#correctRatings(requestClass, record, estimate.mean);
    if (rated !== undefined) estimate = combine(estimate, rated);
    return { ...estimate, mean: computeBoundedShare(estimate.mean) };
  }

  /** Share of acceptable answers that explains the share of passes. */
  #invert({ judged, passed }: VersionRecord): QualityEstimate {
    const { sensitivity, specificity } = this.#judge;
    const slope = Math.max(MIN_SLOPE, sensitivity + specificity - 1);
    const { mean, variance } = computeLinearSolution(
      estimateShare(passed, judged),
      1 - specificity,
      slope,
    );
    const doubt = (JUDGE_DEVIATION / slope) ** 2;
    return {
      mean,
      variance: variance + doubt * (mean ** 2 + (1 - mean) ** 2),
    };
  }

  #correctRatings(
    requestClass: string,
    record: VersionRecord,
    guess: number,
  ): QualityEstimate | undefined {
    const { accepted, rejected, single, passedAnswers } = record;
    const rated = accepted + rejected;
    const escalated = [...record.escalatedFrom.values()].reduce(
      (sum, count) => sum + count,
      0,
    );
    const answers = single + passedAnswers + escalated;
    if (rated === 0) return undefined;
    // Other entries' ratings arrive before any own answer.
    if (answers === 0) return estimateShare(accepted, rated);
    const judge = this.#judge;
    let slope = single / answers;
    let offset = (passedAnswers / answers) * computePassedQuality(guess, judge);
    for (const [from, count] of record.escalatedFrom) {
      const first = this.estimateFirst(requestClass, from);
      const rejects = 1 - computePassChance(first, judge);
      const share = count / answers;
      // Linear in the second version's share, above the first's.
      slope += (share * judge.specificity) / rejects;
      const at0 = first * (1 - judge.sensitivity) - first * judge.specificity;
      offset += (share * at0) / rejects;
    }
    if (slope < MIN_SLOPE) return undefined;
    return computeLinearSolution(estimateShare(accepted, rated), offset, slope);
  }

  /** Estimate of a first step, from its verdicts only. */
  estimateFirst(requestClass: string, version: string): number {
    const record = this.#records.get(requestClass)?.get(version);
    const prior = createBeta(PRIOR.mean, PRIOR.weight);
    if (record === undefined || record.judged === 0) return prior.mean;
    return computeBoundedShare(combine(prior, this.#invert(record)).mean);
  }

  /** Learns the judge from first steps with both verdicts and ratings. */
  estimateJudge(): void {
    const samples: JudgeSample[] = [];
    for (const versions of this.#records.values()) {
      for (const record of versions.values()) {
        const rated = record.accepted + record.rejected;
        const isFirst = record.single === 0 && record.escalatedFrom.size === 0;
        if (!isFirst || rated === 0 || record.judged === 0) continue;
        samples.push({
          rated,
          acceptedShare: record.accepted / rated,
          passShare: record.passed / record.judged,
        });
      }
    }
    this.#judge = estimateJudge(samples);
  }
}
