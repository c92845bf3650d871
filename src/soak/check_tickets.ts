/** Checks that accepted change tickets stay, and are in force in time. */

import { hashDocument } from "../core/index.js";
import type { FleetState } from "../schema/index.js";
import type { Findings } from "./findings.js";
import type { CallRecord, TicketRecord } from "./journal.js";
import type { Commit, RevisionHistory } from "./revision_history.js";
import type { EngineOrder } from "./standin_records.js";

/** Codes by which an entry says that the ticket is not in force. */
const REFUSAL_RESULTS = new Set([
  "superseded",
  "number-taken",
  "store-unavailable",
  "invalid-ticket",
  "dangling-reference",
]);

function findLoweredSubject(
  previous: FleetState | undefined,
  next: FleetState,
): string | undefined {
  return Object.entries(previous?.subjects ?? {}).find(
    ([subject, number]) => (next.subjects[subject] ?? 0) < number,
  )?.[0];
}

function checkRevisionChain(
  commits: readonly Commit[],
  findings: Findings,
): void {
  let previous: Commit | undefined;
  for (const commit of commits) {
    const { revision, state, ticket } = commit;
    const loweredSubject = findLoweredSubject(previous?.state, state);
    findings.check(
      "ticketReverted",
      revision === (previous?.revision ?? 0) + 1 &&
        loweredSubject === undefined,
      () =>
        `revision ${revision} of ticket ${ticket?.number} follows ${previous?.revision}, lowers ${loweredSubject}`,
    );
    previous = commit;
  }
}

/** The commit with the ticket's number must be the revision it got. */
function checkAcceptedTicket(
  record: TicketRecord,
  history: RevisionHistory,
  findings: Findings,
): void {
  const { number } = record.ticket;
  const commit = history.commits.find((item) => item.ticket?.number === number);
  findings.check(
    "ticketReverted",
    commit !== undefined && commit.revision === record.revision,
    () =>
      `ticket ${number} was accepted as revision ${record.revision}, the store has ${commit?.revision}`,
  );
}

function checkRefusedTicket(
  record: TicketRecord,
  records: readonly TicketRecord[],
  history: RevisionHistory,
  findings: Findings,
): void {
  const { number } = record.ticket;
  const content = hashDocument(record.ticket);
  // Another call with this number and content may have committed it.
  const isOnlyAttempt = records.every(
    (other) =>
      other === record ||
      hashDocument(other.ticket) !== content ||
      (REFUSAL_RESULTS.has(other.result) && other.doneMs <= record.doneMs),
  );
  const commit = history.commits.find(
    ({ ticket }) => ticket !== undefined && hashDocument(ticket) === content,
  );
  if (!isOnlyAttempt || record.result === "number-taken") return;
  findings.check(
    "ticketReverted",
    commit === undefined,
    () =>
      `ticket ${number} was refused as ${record.result}, and is revision ${commit?.revision}`,
  );
}

export function checkTickets(
  records: readonly TicketRecord[],
  history: RevisionHistory,
  findings: Findings,
): void {
  checkRevisionChain(history.commits, findings);
  for (const record of records) {
    if (record.result === "accepted") {
      checkAcceptedTicket(record, history, findings);
    } else if (REFUSAL_RESULTS.has(record.result)) {
      checkRefusedTicket(record, records, history, findings);
    }
  }
}

/** An answer must not come from a revision older than its call allows. */
export function checkRevisionAge(
  calls: readonly CallRecord[],
  history: RevisionHistory,
  findings: Findings,
): void {
  for (const call of calls) {
    const { outcome } = call;
    if (outcome.kind !== "answered") continue;
    const oldestAllowed = history.getOldestAllowedRevision(call.sentMs);
    findings.check(
      "ticketLate",
      outcome.revision >= oldestAllowed,
      () =>
        `${call.entry} answered request ${outcome.requestId}, sent at ${call.sentMs}, with revision ${outcome.revision}, ${oldestAllowed} was due`,
    );
  }
}

/**
 * An order with an old fencing number comes from a former lease holder, whose
 * view of the tickets is outdated; an engine that accepts it reverts a later
 * ticket's assignment.
 */
export function checkEngineOrders(
  orders: readonly EngineOrder[],
  findings: Findings,
): void {
  for (const order of orders) {
    const isAllowed = order.refused || !(order.stale || order.overlapping);
    findings.check(
      "ticketReverted",
      isAllowed,
      () => `engine order ${JSON.stringify(order)}`,
    );
  }
}
