/** Records request outcomes: log, metrics, service-level counts, ratings. */

import { type Logger, METRICS, type Metrics } from "../adapters/index.js";
import type { RequestOutcome } from "../request/request_outcome.js";
import type { EntryReports } from "./entry_reports.js";
import type { RatingCollector } from "./rating_collector.js";

export interface OutcomeRecorderOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly reports: EntryReports;
  readonly ratings: RatingCollector | undefined;
  readonly getRevision: () => number;
}

export class OutcomeRecorder {
  readonly #options: OutcomeRecorderOptions;

  constructor(options: OutcomeRecorderOptions) {
    this.#options = options;
  }

  record(outcome: RequestOutcome): void {
    const { reports, ratings } = this.#options;
    this.#sendMetrics(outcome);
    this.#log(outcome);
    const event = reports.record(outcome);
    const { route, version, answer } = outcome;
    if (answer === undefined || route.kind !== "model") return;
    const { id: requestId, requestClass } = route;
    ratings?.submit({ requestId, requestClass, version, answer }, event);
  }

  #sendMetrics(outcome: RequestOutcome): void {
    const { metrics } = this.#options;
    const { route, durationMs, firstByteMs, refusal, receipt } = outcome;
    const tags = { class: route.requestClass, account: route.account };
    metrics.addCount(METRICS.requests, tags);
    metrics.recordTime(METRICS.latency, durationMs, tags);
    if (firstByteMs !== undefined) {
      metrics.recordTime(METRICS.firstByte, firstByteMs, tags);
    }
    if (receipt !== undefined) {
      metrics.addCount(METRICS.cost, tags, receipt.cost);
    }
    if (refusal !== undefined) {
      metrics.addCount(METRICS.refusals, { ...tags, code: refusal.code });
    }
  }

  #log(outcome: RequestOutcome): void {
    const { route, version, endpoint, dataCentre, refusal } = outcome;
    this.#options.log.info("request", {
      request: route.id,
      account: route.account,
      class: route.requestClass,
      version,
      endpoint,
      // Every log line already has the entry's own data centre.
      endpointDataCentre: dataCentre,
      revision: this.#options.getRevision(),
      attempts: outcome.attempts,
      ms: Math.round(outcome.durationMs),
      firstByteMs:
        outcome.firstByteMs === undefined
          ? undefined
          : Math.round(outcome.firstByteMs),
      code: refusal?.code ?? "ok",
      ran: refusal?.ran,
    });
  }
}
