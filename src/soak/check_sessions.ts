/** Judges that sessions keep their versions. */

import type { FleetState } from "../schema/index.js";
import type { Findings } from "./findings.js";
import type { History } from "./history.js";
import type { CallRecord } from "./journal.js";

function isForbidden(
  state: FleetState,
  account: string,
  version: string,
): boolean {
  const isActive = state.versions[version]?.state === "active";
  const isOfAccount = state.accounts[account]?.versions.includes(version);
  return !isActive || isOfAccount !== true;
}

/** A change is due only to a withdrawal or lost permission, and is told. */
export function checkSessions(
  calls: readonly CallRecord[],
  history: History,
  findings: Findings,
): void {
  const sessions = new Map<string, CallRecord[]>();
  for (const call of calls) {
    if (call.session === undefined) continue;
    sessions.set(call.session, [...(sessions.get(call.session) ?? []), call]);
  }
  for (const list of sessions.values()) {
    list.sort((left, right) => left.sentMs - right.sentMs);
    checkSession(list, history, findings);
  }
}

function checkSession(
  calls: readonly CallRecord[],
  history: History,
  findings: Findings,
): void {
  let last: CallRecord | undefined;
  /** An answer since then may have told of the move and got lost. */
  let wasUntold = false;
  for (const call of calls) {
    const { outcome, account } = call;
    if (outcome.kind !== "answered") {
      wasUntold = true;
      continue;
    }
    if (last?.outcome.kind === "answered") {
      const { version } = last.outcome;
      const hasMoved = outcome.version !== version;
      const states = history.listStatesBetween(last.sentMs, call.doneMs);
      const isDue = states.some((state) =>
        isForbidden(state, account, version),
      );
      const isTold = outcome.sessionMoved !== undefined || wasUntold;
      findings.check(
        "sessionMoved",
        !hasMoved || (isDue && isTold),
        () =>
          `session ${call.session} went from ${version} to ${outcome.version} in request ${outcome.requestId} sent at ${call.sentMs}, due: ${isDue}, told: ${outcome.sessionMoved}`,
      );
    }
    last = call;
    wasUntold = false;
  }
}
