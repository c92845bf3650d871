/** Checks what callers saw against what the back ends ran. */

import { REFUSAL_CODES } from "../core/index.js";
import type { Findings } from "./findings.js";
import type { CallRecord, Journal, ProcessLifetime } from "./journal.js";
import type { BackEndRun } from "./standin_records.js";

/** A call without an answer within this time counts as lost. */
const MAX_ANSWER_MS = 30_000;

function describeCall(call: CallRecord): string {
  return JSON.stringify(call).slice(0, 600);
}

export function checkAnswers(
  calls: readonly CallRecord[],
  findings: Findings,
): void {
  const firstTexts = new Map<string, string>();
  for (const call of calls) {
    const { outcome, idempotencyKey } = call;
    if (outcome.kind !== "answered") continue;
    findings.check("wrongOrPartialAnswer", outcome.isWhole, () =>
      describeCall(call),
    );
    if (idempotencyKey === undefined) continue;
    const first = firstTexts.get(idempotencyKey) ?? outcome.text;
    firstTexts.set(idempotencyKey, first);
    findings.check(
      "wrongOrPartialAnswer",
      first === outcome.text,
      () => `${describeCall(call)}, an earlier answer: ${first}`,
    );
  }
}

export function checkNotRunRefusals(
  calls: readonly CallRecord[],
  runs: readonly BackEndRun[],
  findings: Findings,
): void {
  const byRequest = new Map(
    runs.filter((run) => run.hasRun).map((run) => [run.requestId, run]),
  );
  for (const call of calls) {
    const { outcome } = call;
    if (outcome.kind !== "refused" || outcome.ran !== "no") continue;
    const run = byRequest.get(outcome.requestId);
    findings.check(
      "falseNotRun",
      run === undefined,
      () => `${describeCall(call)} ran: ${JSON.stringify(run)}`,
    );
  }
}

export function checkDuplicateRuns(
  runs: readonly BackEndRun[],
  findings: Findings,
): void {
  const byKey = new Map<string, BackEndRun[]>();
  for (const run of runs) {
    if (run.idempotencyKey === "" || !run.hasRun) continue;
    byKey.set(run.idempotencyKey, [
      ...(byKey.get(run.idempotencyKey) ?? []),
      run,
    ]);
  }
  for (const [key, keyRuns] of byKey) {
    findings.check(
      "ranTwice",
      keyRuns.length === 1,
      () => `${key}: ${JSON.stringify(keyRuns)}`,
    );
  }
}

function findLifetime(
  journal: Journal,
  call: CallRecord,
): ProcessLifetime | undefined {
  return journal
    .listLifetimes(call.entry)
    .findLast((lifetime) => lifetime.startedMs <= call.sentMs);
}

/** True when the entry ran from the call until its end or the time limit. */
function isServingThroughout(
  lifetime: ProcessLifetime | undefined,
  call: CallRecord,
): boolean {
  if (lifetime === undefined) return false;
  const endMs = Math.min(call.doneMs, call.sentMs + MAX_ANSWER_MS);
  return [lifetime.killedMs, lifetime.stopRequestedMs, lifetime.endedMs].every(
    (atMs) => atMs === undefined || atMs > endMs,
  );
}

function isAnswerOrTypedRefusal(call: CallRecord): boolean {
  const { outcome } = call;
  if (outcome.kind !== "refused") return true;
  return (
    Object.hasOwn(REFUSAL_CODES, outcome.code) &&
    outcome.retryAfter !== undefined
  );
}

export function checkLostRequests(journal: Journal, findings: Findings): void {
  for (const call of journal.calls) {
    if (call.isAbandoned) continue;
    const { outcome } = call;
    if (outcome.kind === "broken") {
      const lifetime = findLifetime(journal, call);
      // An entry's end breaks its calls; planned stops have their own check.
      if (!isServingThroughout(lifetime, call)) continue;
      findings.check("lostRequest", false, () => describeCall(call));
      continue;
    }
    const isInTime = call.doneMs - call.sentMs <= MAX_ANSWER_MS;
    findings.check(
      "lostRequest",
      isInTime && isAnswerOrTypedRefusal(call),
      () => describeCall(call),
    );
  }
}

/** True when only the graceful shutdown can have ended the process. */
function isEndedByStopOnly(
  lifetime: ProcessLifetime,
  journal: Journal,
): boolean {
  if (lifetime.killedMs !== undefined) return false;
  const { endedMs = Number.POSITIVE_INFINITY } = lifetime;
  return !journal.freezes.some(
    (period) => period.subject === lifetime.member && period.toMs > endedMs,
  );
}

export function checkPlannedStops(journal: Journal, findings: Findings): void {
  for (const lifetime of journal.lives) {
    const { stopRequestedMs, member } = lifetime;
    if (stopRequestedMs === undefined || !isEndedByStopOnly(lifetime, journal))
      continue;
    findings.check(
      "cutByPlannedStop",
      lifetime.status?.code === 0,
      () => `${member} ended with ${JSON.stringify(lifetime.status)}`,
    );
    for (const call of journal.calls) {
      if (call.entry !== member || call.isAbandoned) continue;
      if (call.sentMs < lifetime.startedMs || call.sentMs > stopRequestedMs)
        continue;
      if (call.doneMs < stopRequestedMs) continue;
      findings.check("cutByPlannedStop", call.outcome.kind !== "broken", () =>
        describeCall(call),
      );
    }
  }
}
