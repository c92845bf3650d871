/** Judges that cold back ends get no more work than they carry. */

import type { Findings } from "./findings.js";
import type { Journal, Period } from "./journal.js";
import { LOAD_LAG_MS } from "./layout.js";
import type { ColdOverload, Run } from "./records.js";

/** Between two reports of an engine that the endpoint reads. */
const REPORT_PERIOD_MS = 500;
/** For a failure or a report to reach the gate on a busy machine. */
const NOTICE_MS = 500;

export interface ColdInput {
  readonly journal: Journal;
  readonly runs: readonly Run[];
  readonly overloads: readonly ColdOverload[];
  /** Endpoints whose back end reports a cold flag. */
  readonly engines: ReadonlySet<string>;
}

/** Joins periods of one back end that overlap. */
function listMergedPeriods(periods: readonly Period[]): Period[] {
  const merged: Period[] = [];
  const sorted = [...periods].sort((a, b) => a.fromMs - b.fromMs);
  for (const period of sorted) {
    const last = merged.findLast((item) => item.subject === period.subject);
    if (last === undefined || period.fromMs > last.toMs) {
      merged.push({ ...period });
    } else {
      last.toMs = Math.max(last.toMs, period.toMs);
    }
  }
  return merged;
}

function isWithin(atMs: number, period: Period): boolean {
  return atMs >= period.fromMs && atMs <= period.toMs;
}

/** When the endpoint's process can know that its back end is cold. */
function findKnownMs(period: Period, input: ColdInput): number {
  const { journal, runs, overloads, engines } = input;
  const { subject } = period;
  const failures = [
    ...runs
      .filter((run) => run.endpoint === subject && run.outcome === "failed")
      .map((run) => run.endMs ?? Number.POSITIVE_INFINITY),
    ...overloads
      .filter((overload) => overload.endpoint === subject)
      .map((overload) => overload.atMs),
  ].filter((atMs) => isWithin(atMs, period));
  const flagMs = engines.has(subject)
    ? period.fromMs + LOAD_LAG_MS + REPORT_PERIOD_MS
    : Number.POSITIVE_INFINITY;
  const seenMs = Math.min(flagMs, ...failures);
  // A halted process sees neither until it is woken.
  const halted = journal.freezes.filter(
    (freeze) => freeze.subject === subject && freeze.fromMs <= seenMs,
  );
  const wokenMs = Math.max(
    0,
    ...halted.filter((freeze) => freeze.toMs > seenMs).map((f) => f.toMs),
  );
  const reportMs = wokenMs > 0 ? wokenMs + REPORT_PERIOD_MS : seenMs;
  return reportMs + NOTICE_MS;
}

export function checkCold(input: ColdInput, findings: Findings): void {
  const { journal, runs, overloads } = input;
  for (const period of listMergedPeriods(journal.colds)) {
    const knownMs = findKnownMs(period, input);
    const isJudged = (item: { endpoint: string }, atMs: number) =>
      item.endpoint === period.subject && atMs > knownMs && atMs <= period.toMs;
    const judged = runs.filter((run) => isJudged(run, run.arrivedMs));
    findings.addCase("coldOverload", judged.length);
    for (const overload of overloads) {
      if (!isJudged(overload, overload.atMs)) continue;
      findings.addViolation(
        "coldOverload",
        `${overload.endpoint} at ${overload.atMs}, cold since ${period.fromMs}, known at ${knownMs}`,
      );
    }
  }
}
