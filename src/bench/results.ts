/** Collects the results of a run. */

import { build } from "hdr-histogram-js";
import type { Arrival, Assumptions } from "./assumptions.js";
import { computeCarriedShares } from "./carried_shares.js";

const MAX_LATENCY_MS = 600_000;

class ClassResult {
  offered = 0;
  answered = 0;
  acceptableAnswers = 0;
  /** Requests that arrive while a data centre is out. */
  dcLeaveArrived = 0;
  dcLeaveAnswered = 0;
  /** Part of these that the other data centres could carry. */
  dcLeaveOffered = 0;
  readonly latencies = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 3,
  });

  summarize() {
    const percentile = (percent: number) =>
      this.answered === 0 ? null : this.latencies.getValueAtPercentile(percent);
    return {
      offered: this.offered,
      answered: this.answered,
      quality:
        this.answered === 0 ? null : this.acceptableAnswers / this.answered,
      p50Ms: percentile(50),
      p95Ms: percentile(95),
      p99Ms: percentile(99),
    };
  }
}

export interface AnswerRecord {
  isAcceptable: boolean;
  latencyMs: number;
}

export class Results {
  readonly #assumptions: Assumptions;
  readonly #classes = new Map<string, ClassResult>();
  readonly #total = new ClassResult();
  cost = 0;
  badVersionRequests = 0;
  /** Requests that the roll-outs allow the versions that turned bad. */
  expectedBadVersionRequests = 0;
  readonly #carriedShares = new Map<string, Map<string, number>>();
  readonly #requestsPerSecond: number;
  holdAtMs: number | undefined;
  attempts = 0;

  constructor(assumptions: Assumptions, requestsPerSecond: number) {
    this.#assumptions = assumptions;
    this.#requestsPerSecond = requestsPerSecond;
    for (const name of Object.keys(assumptions.classes)) {
      this.#classes.set(name, new ClassResult());
    }
  }

  recordArrival(arrival: Arrival): void {
    this.#total.offered++;
    const result = this.#classes.get(arrival.className);
    if (result === undefined) return;
    result.offered++;
    const outDataCentre = this.#findOutDataCentre(arrival);
    if (outDataCentre === undefined) return;
    let carriedShares = this.#carriedShares.get(outDataCentre);
    if (carriedShares === undefined) {
      carriedShares = computeCarriedShares(
        this.#assumptions,
        outDataCentre,
        this.#requestsPerSecond,
      );
      this.#carriedShares.set(outDataCentre, carriedShares);
    }
    result.dcLeaveArrived++;
    result.dcLeaveOffered += carriedShares.get(arrival.className) ?? 0;
  }

  recordAnswer(arrival: Arrival, answer: AnswerRecord): void {
    if (answer.latencyMs > arrival.classSpec.deadlineMs) return;
    for (const result of [this.#total, this.#classes.get(arrival.className)]) {
      if (result === undefined) continue;
      result.answered++;
      if (answer.isAcceptable) result.acceptableAnswers++;
      const latencyMs = Math.min(MAX_LATENCY_MS, Math.round(answer.latencyMs));
      result.latencies.recordValue(latencyMs);
    }
    const result = this.#classes.get(arrival.className);
    if (result === undefined) return;
    if (this.#findOutDataCentre(arrival) !== undefined) {
      result.dcLeaveAnswered++;
    }
  }

  #findOutDataCentre({ atMs }: Arrival): string | undefined {
    const lastEvent = this.#assumptions.events.findLast(
      (event) => event.kind.startsWith("dataCentre") && event.atMs <= atMs,
    );
    return lastEvent?.kind === "dataCentreOut"
      ? lastEvent.dataCentre
      : undefined;
  }

  #summarizeDataCentreLeave() {
    const classes = [...this.#classes];
    const sum = (getCount: (result: ClassResult) => number) =>
      classes.reduce((total, [, result]) => total + getCount(result), 0);
    const offered = sum((result) => result.dcLeaveOffered);
    return {
      dcLeaveAnswered: sum((result) => result.dcLeaveAnswered),
      dcLeaveOffered: Math.round(offered),
      // More answers than could be carried in one class offset no other class.
      dcLeaveShare:
        sum(({ dcLeaveAnswered, dcLeaveOffered }) =>
          Math.min(dcLeaveAnswered, dcLeaveOffered),
        ) / Math.max(1, offered),
      dcLeaveArrived: sum((result) => result.dcLeaveArrived),
      dcLeaveByClass: Object.fromEntries(
        classes.map(([name, result]) => [
          name,
          {
            arrived: result.dcLeaveArrived,
            offered: Math.round(result.dcLeaveOffered),
            answered: result.dcLeaveAnswered,
          },
        ]),
      ),
    };
  }

  summarize<T extends object>(extra: T) {
    const qualityRatios = [...this.#classes].flatMap(([name, result]) => {
      const target = this.#assumptions.classes[name]?.qualityTarget ?? 0;
      if (target === 0 || result.answered === 0) return [];
      return [result.acceptableAnswers / result.answered / target];
    });
    const dcLeave = this.#summarizeDataCentreLeave();
    const { p50Ms, p95Ms, p99Ms, offered, answered } = this.#total.summarize();
    return {
      cost: this.cost / Math.max(1, answered),
      quality: Math.min(...qualityRatios),
      qualityTarget: 1,
      p50Ms,
      p95Ms,
      p99Ms,
      badVersionRequests: this.badVersionRequests,
      badVersionRatio:
        this.badVersionRequests / Math.max(1, this.expectedBadVersionRequests),
      ...dcLeave,
      offered,
      answered,
      classes: Object.fromEntries(
        [...this.#classes].map(([name, result]) => [name, result.summarize()]),
      ),
      holdAtMs: this.holdAtMs ?? null,
      attempts: this.attempts,
      ...extra,
    };
  }
}
