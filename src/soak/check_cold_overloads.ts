/** Checks that cold back ends get no more calls than they can take. */

import type { Findings } from "./findings.js";
import type { Journal, Period } from "./journal.js";
import { LOAD_REPORT_LAG_MS } from "./layout.js";
import type { BackEndRun, ColdOverload } from "./standin_records.js";

/** Time between two load reports that the endpoint reads from its engine. */
const LOAD_REPORT_PERIOD_MS = 500;
/** Time for a failure or report to reach the gate on a busy machine. */
const REACTION_MS = 500;

export interface ColdOverloadsInput {
  readonly journal: Journal;
  readonly runs: readonly BackEndRun[];
  readonly overloads: readonly ColdOverload[];
  /** Endpoints whose back end reports a cold flag. */
  readonly engines: ReadonlySet<string>;
}

/** Merges periods of one back end that overlap. */
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

/** Time from which the endpoint must know that its back end is cold. */
function computeDetectableMs(
  period: Period,
  input: ColdOverloadsInput,
): number {
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
    ? period.fromMs + LOAD_REPORT_LAG_MS + LOAD_REPORT_PERIOD_MS
    : Number.POSITIVE_INFINITY;
  const reportedMs = Math.min(flagMs, ...failures);
  // A frozen process sees neither until it resumes.
  const freezes = journal.freezes.filter(
    (freeze) => freeze.subject === subject && freeze.fromMs <= reportedMs,
  );
  const resumedMs = Math.max(
    0,
    ...freezes
      .filter((freeze) => freeze.toMs > reportedMs)
      .map((freeze) => freeze.toMs),
  );
  const readMs = resumedMs > 0 ? resumedMs + LOAD_REPORT_PERIOD_MS : reportedMs;
  return readMs + REACTION_MS;
}

export function checkColdOverloads(
  input: ColdOverloadsInput,
  findings: Findings,
): void {
  const { journal, runs, overloads } = input;
  for (const period of listMergedPeriods(journal.colds)) {
    const detectableMs = computeDetectableMs(period, input);
    const isJudged = (item: { endpoint: string }, atMs: number) =>
      item.endpoint === period.subject &&
      atMs > detectableMs &&
      atMs <= period.toMs;
    const judged = runs.filter((run) => isJudged(run, run.arrivedMs));
    findings.addCase("coldOverload", judged.length);
    for (const overload of overloads) {
      if (!isJudged(overload, overload.atMs)) continue;
      findings.addViolation(
        "coldOverload",
        `${overload.endpoint} at ${overload.atMs}, cold since ${period.fromMs}, known at ${detectableMs}`,
      );
    }
  }
}
