/** Counts an entry's request outcomes and creates the operators' reports. */

import { match } from "ts-pattern";
import type { ObjectStore } from "../adapters/index.js";
import { readBurnReport, readCostReport } from "../billing/reports.js";
import { SloCounter } from "../billing/slo_counter.js";
import {
  createRefusal,
  formatBurnReport,
  formatCostReport,
  isServiceFailure,
  type Refusal,
  renderBurnHtml,
  type SloEvent,
} from "../core/index.js";
import type { RequestOutcome } from "../request/request_outcome.js";
import type { Clock } from "../runtime/clock.js";
import type { Objective } from "../schema/index.js";
import type { Report } from "./operator_server.js";

export interface EntryReportsOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** The entry process, as `{entry}-{incarnation}`. */
  readonly source: string;
  readonly objectives: Readonly<Record<string, Objective>>;
}

/** Key of the objective for accounts that have none of their own. */
const ANY_ACCOUNT = "*";

export class EntryReports {
  readonly #options: EntryReportsOptions;
  readonly #counter: SloCounter;

  constructor(options: EntryReportsOptions) {
    this.#options = options;
    this.#counter = new SloCounter(options);
  }

  /** Writes the counts each minute until the signal aborts. */
  start(signal: AbortSignal): Promise<void> {
    return this.#counter.start(signal);
  }

  close(signal: AbortSignal): Promise<unknown> {
    return Promise.resolve(this.#counter.close(signal));
  }

  /** Counts a request; returns its event, for a rating that comes later. */
  record(outcome: RequestOutcome): SloEvent {
    const { route, version, dataCentre, durationMs, refusal } = outcome;
    const event: SloEvent = {
      atMs: this.#options.clock.now(),
      account: route.account,
      requestClass: route.requestClass,
      version: version || route.service,
      dataCentre,
      total: 1,
      failed: refusal !== undefined && isServiceFailure(refusal),
      slow: durationMs > this.#getLatencyLimitMs(route.account),
    };
    this.#counter.add(event);
    return event;
  }

  recordRating(event: SloEvent, acceptable: boolean): void {
    this.#counter.add({
      ...event,
      total: 0,
      failed: false,
      slow: false,
      acceptable,
    });
  }

  async createReport(
    kind: "cost" | "burn",
    hours: number,
    signal: AbortSignal,
  ): Promise<Report | Refusal> {
    return await match(kind)
      .with("cost", () => this.#createCostReport(hours, signal))
      .with("burn", () => this.#createBurnReport(hours, signal))
      .exhaustive();
  }

  #getLatencyLimitMs(account: string): number {
    const { objectives } = this.#options;
    const objective = objectives[account] ?? objectives[ANY_ACCOUNT];
    return objective?.latencyMs ?? Number.POSITIVE_INFINITY;
  }

  async #createCostReport(hours: number, signal: AbortSignal) {
    const nowMs = this.#options.clock.now();
    const period = { nowMs, hours, signal };
    const report = await readCostReport(this.#options.store, period);
    if (report.isErr()) return refuseUnreadableReport(report.error.kind);
    return { text: formatCostReport(report.value), report: report.value };
  }

  async #createBurnReport(hours: number, signal: AbortSignal) {
    const { store, objectives, clock } = this.#options;
    const period = { nowMs: clock.now(), hours, signal };
    const report = await readBurnReport(store, objectives, period);
    if (report.isErr()) return refuseUnreadableReport(report.error.kind);
    return {
      text: formatBurnReport(report.value),
      html: renderBurnHtml(report.value),
      report: report.value,
    };
  }
}

function refuseUnreadableReport(failureKind: string): Refusal {
  return createRefusal(
    "store-unavailable",
    `The object store could not be read: ${failureKind}`,
  );
}
