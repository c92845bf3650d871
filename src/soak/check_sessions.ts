/** Checks that sessions keep their versions. */

import type { FleetState } from "../schema/index.js";
import type { Findings } from "./findings.js";
import type { CallRecord } from "./journal.js";
import type { RevisionHistory } from "./revision_history.js";

function isForbidden(
  state: FleetState,
  account: string,
  version: string,
): boolean {
  const isActive = state.versions[version]?.state === "active";
  const isOfAccount = state.accounts[account]?.versions.includes(version);
  return !isActive || isOfAccount !== true;
}

/** Only a withdrawal or lost permission moves a session, and is reported. */
export function checkSessions(
  calls: readonly CallRecord[],
  history: RevisionHistory,
  findings: Findings,
): void {
  const sessions = new Map<string, CallRecord[]>();
  for (const call of calls) {
    if (call.session === undefined) continue;
    sessions.set(call.session, [...(sessions.get(call.session) ?? []), call]);
  }
  for (const sessionCalls of sessions.values()) {
    sessionCalls.sort((left, right) => left.sentMs - right.sentMs);
    checkSession(sessionCalls, history, findings);
  }
}

function checkSession(
  calls: readonly CallRecord[],
  history: RevisionHistory,
  findings: Findings,
): void {
  let lastAnswered: CallRecord | undefined;
  /** A lost answer since then may have reported the move. */
  let mayHaveMissedNotice = false;
  for (const call of calls) {
    const { outcome, account } = call;
    if (outcome.kind !== "answered") {
      mayHaveMissedNotice = true;
      continue;
    }
    if (lastAnswered?.outcome.kind === "answered") {
      const { version } = lastAnswered.outcome;
      const hasMoved = outcome.version !== version;
      const states = history.listPossibleStatesBetween(
        lastAnswered.sentMs,
        call.doneMs,
      );
      const mayMove = states.some((state) =>
        isForbidden(state, account, version),
      );
      const isReported =
        outcome.sessionMoved !== undefined || mayHaveMissedNotice;
      // An entry that has not seen the ticket yet serves the version that the
      // session had before the move.
      const mayBeOutdated = states.some((state) =>
        isForbidden(state, account, outcome.version),
      );
      findings.check(
        "sessionMoved",
        !hasMoved || (mayMove && isReported) || mayBeOutdated,
        () =>
          `session ${call.session} went from ${version} to ${outcome.version} in request ${outcome.requestId} sent at ${call.sentMs}, due: ${mayMove}, told: ${outcome.sessionMoved}`,
      );
    }
    lastAnswered = call;
    mayHaveMissedNotice = false;
  }
}
