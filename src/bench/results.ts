/** Collects what a run reports. */

import { build } from "hdr-histogram-js";
import type { Arrival, Assumptions } from "./workload.js";

const MAX_LATENCY_MS = 600_000;

class ClassResult {
  offered = 0;
  answered = 0;
  acceptable = 0;
  readonly latencies = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MS,
    numberOfSignificantValueDigits: 3,
  });

  summarize() {
    const percentile = (share: number) =>
      this.answered === 0 ? null : this.latencies.getValueAtPercentile(share);
    return {
      offered: this.offered,
      answered: this.answered,
      quality: this.answered === 0 ? null : this.acceptable / this.answered,
      p50Ms: percentile(50),
      p95Ms: percentile(95),
      p99Ms: percentile(99),
    };
  }
}

export interface AnswerRecord {
  acceptable: boolean;
  latencyMs: number;
}

export class Results {
  readonly #assumptions: Assumptions;
  readonly #classes = new Map<string, ClassResult>();
  readonly #total = new ClassResult();
  cost = 0;
  badVersionRequests = 0;
  badVersionExpected = 0;
  dcLeaveOffered = 0;
  dcLeaveAnswered = 0;
  holdAtMs: number | undefined;
  attempts = 0;

  constructor(assumptions: Assumptions) {
    this.#assumptions = assumptions;
    for (const name of Object.keys(assumptions.classes)) {
      this.#classes.set(name, new ClassResult());
    }
  }

  recordOffered(arrival: Arrival): void {
    this.#total.offered++;
    const result = this.#classes.get(arrival.className);
    if (result !== undefined) result.offered++;
    if (this.#isDataCentreOut(arrival)) this.dcLeaveOffered++;
  }

  recordAnswer(arrival: Arrival, answer: AnswerRecord): void {
    if (answer.latencyMs > arrival.spec.deadlineMs) return;
    for (const result of [this.#total, this.#classes.get(arrival.className)]) {
      if (result === undefined) continue;
      result.answered++;
      if (answer.acceptable) result.acceptable++;
      const latencyMs = Math.min(MAX_LATENCY_MS, Math.round(answer.latencyMs));
      result.latencies.recordValue(latencyMs);
    }
    if (this.#isDataCentreOut(arrival)) this.dcLeaveAnswered++;
  }

  #isDataCentreOut({ atMs }: Arrival): boolean {
    const last = this.#assumptions.events.findLast(
      (event) => event.kind.startsWith("dataCentre") && event.atMs <= atMs,
    );
    return last?.kind === "dataCentreOut";
  }

  summarize<T extends object>(extra: T) {
    const ratios = [...this.#classes].flatMap(([name, result]) => {
      const target = this.#assumptions.classes[name]?.qualityTarget ?? 0;
      if (target === 0 || result.answered === 0) return [];
      return [result.acceptable / result.answered / target];
    });
    const { p50Ms, p95Ms, p99Ms, offered, answered } = this.#total.summarize();
    return {
      cost: this.cost / Math.max(1, answered),
      quality: Math.min(...ratios),
      qualityTarget: 1,
      p50Ms,
      p95Ms,
      p99Ms,
      badVersionRequests: this.badVersionRequests,
      badVersionRatio:
        this.badVersionRequests / Math.max(1, this.badVersionExpected),
      dcLeaveAnswered: this.dcLeaveAnswered,
      dcLeaveOffered: this.dcLeaveOffered,
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
