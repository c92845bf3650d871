/** Judges what callers saw, and the runs behind it. */

import { REFUSAL_CODES } from "../core/index.js";
import type { Findings } from "./findings.js";
import type { CallRecord, Journal, Life } from "./journal.js";
import type { Run } from "./records.js";

const LOST_MS = 30_000;

function describeCall(call: CallRecord): string {
  return JSON.stringify(call).slice(0, 600);
}

export function checkAnswers(
  calls: readonly CallRecord[],
  findings: Findings,
): void {
  const orders = new Map<string, string>();
  for (const call of calls) {
    const { outcome, idempotencyKey } = call;
    if (outcome.kind !== "answered") continue;
    findings.check("wrongOrPartialAnswer", outcome.isWhole, () =>
      describeCall(call),
    );
    if (idempotencyKey === undefined) continue;
    const first = orders.get(idempotencyKey) ?? outcome.text;
    orders.set(idempotencyKey, first);
    findings.check(
      "wrongOrPartialAnswer",
      first === outcome.text,
      () => `${describeCall(call)}, an earlier answer: ${first}`,
    );
  }
}

export function checkRefusals(
  calls: readonly CallRecord[],
  runs: readonly Run[],
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

export function checkOrders(runs: readonly Run[], findings: Findings): void {
  const byKey = new Map<string, Run[]>();
  for (const run of runs) {
    if (run.idempotencyKey === "" || !run.hasRun) continue;
    byKey.set(run.idempotencyKey, [
      ...(byKey.get(run.idempotencyKey) ?? []),
      run,
    ]);
  }
  for (const [key, list] of byKey) {
    findings.check(
      "ranTwice",
      list.length === 1,
      () => `${key}: ${JSON.stringify(list)}`,
    );
  }
}

function findLife(journal: Journal, call: CallRecord): Life | undefined {
  return journal
    .listLives(call.entry)
    .findLast((life) => life.startedMs <= call.sentMs);
}

/** True when the entry served from the call to its end or the limit. */
function hasLivedThrough(life: Life | undefined, call: CallRecord): boolean {
  if (life === undefined) return false;
  const endMs = Math.min(call.doneMs, call.sentMs + LOST_MS);
  return [life.killedMs, life.stopRequestedMs, life.endedMs].every(
    (atMs) => atMs === undefined || atMs > endMs,
  );
}

function isTyped(call: CallRecord): boolean {
  const { outcome } = call;
  if (outcome.kind !== "refused") return true;
  return (
    Object.hasOwn(REFUSAL_CODES, outcome.code) &&
    outcome.retryAfter !== undefined
  );
}

export function checkLost(journal: Journal, findings: Findings): void {
  for (const call of journal.calls) {
    if (call.isAbandoned) continue;
    const { outcome } = call;
    if (outcome.kind === "broken") {
      const life = findLife(journal, call);
      // The entry's end breaks its calls, unless the end was a planned stop.
      if (!hasLivedThrough(life, call)) continue;
      findings.check("lostRequest", false, () => describeCall(call));
      continue;
    }
    const isInTime = call.doneMs - call.sentMs <= LOST_MS;
    findings.check("lostRequest", isInTime && isTyped(call), () =>
      describeCall(call),
    );
  }
}

/** True for an end that only the graceful shutdown can have caused. */
function isStopOnly(life: Life, journal: Journal): boolean {
  if (life.killedMs !== undefined) return false;
  const { endedMs = Number.POSITIVE_INFINITY } = life;
  return !journal.freezes.some(
    (period) => period.subject === life.member && period.toMs > endedMs,
  );
}

export function checkStops(journal: Journal, findings: Findings): void {
  for (const life of journal.lives) {
    const { stopRequestedMs, member } = life;
    if (stopRequestedMs === undefined || !isStopOnly(life, journal)) continue;
    findings.check(
      "cutByPlannedStop",
      life.status?.code === 0,
      () => `${member} ended with ${JSON.stringify(life.status)}`,
    );
    for (const call of journal.calls) {
      if (call.entry !== member || call.isAbandoned) continue;
      if (call.sentMs < life.startedMs || call.sentMs > stopRequestedMs)
        continue;
      if (call.doneMs < stopRequestedMs) continue;
      findings.check("cutByPlannedStop", call.outcome.kind !== "broken", () =>
        describeCall(call),
      );
    }
  }
}
