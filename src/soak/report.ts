/** The result of a run as text and as one JSON object. */

import { type Findings, PROPERTIES } from "./findings.js";
import type { CallRecord, Journal } from "./journal.js";

interface ReportInput {
  readonly seed: number;
  readonly seconds: number;
  readonly guard: string | undefined;
  readonly journal: Journal;
  readonly findings: Findings;
}

const MAX_DETAILS_SHOWN = 5;

/** Counts as refused only "not run" refusals, which are safe to send again. */
function countCalls(calls: readonly CallRecord[]) {
  const counts = { answered: 0, refused: 0, unknown: 0, abandoned: 0 };
  for (const { outcome, isAbandoned } of calls) {
    if (isAbandoned) counts.abandoned += 1;
    else if (outcome.kind === "answered") counts.answered += 1;
    else if (outcome.kind === "refused" && outcome.ran === "no") {
      counts.refused += 1;
    } else counts.unknown += 1;
  }
  return counts;
}

function countRefusals(calls: readonly CallRecord[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { outcome } of calls) {
    if (outcome.kind !== "refused") continue;
    counts[outcome.code] = (counts[outcome.code] ?? 0) + 1;
  }
  return counts;
}

export function createReport(input: ReportInput) {
  const { seed, seconds, guard, journal, findings } = input;
  const { calls, tickets } = journal;
  return {
    seed,
    seconds,
    ...(guard === undefined ? {} : { guard }),
    requests: calls.length,
    ...countCalls(calls),
    refusals: countRefusals(calls),
    tickets: tickets.length,
    ticketsAccepted: new Set(
      tickets
        .filter((record) => record.result === "accepted")
        .map((record) => record.ticket.number),
    ).size,
    faults: Object.fromEntries([...journal.faults].sort()),
    cases: findings.countCases(),
    violations: findings.countViolations(),
    notExercised: findings.listNotExercised(),
  };
}

export function printFindings(findings: Findings): void {
  for (const property of PROPERTIES) {
    const details = findings.listViolations(property);
    for (const detail of details.slice(0, MAX_DETAILS_SHOWN)) {
      process.stdout.write(`${property}: ${detail}\n`);
    }
    const rest = details.length - MAX_DETAILS_SHOWN;
    if (rest > 0) process.stdout.write(`${property}: and ${rest} more\n`);
  }
}
