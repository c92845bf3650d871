/** Judges change tickets: accepted ones stay, and are in force in time. */

import { hashDocument } from "../core/index.js";
import type { FleetState } from "../schema/index.js";
import type { Findings } from "./findings.js";
import type { Commit, History } from "./history.js";
import type { CallRecord, TicketRecord } from "./journal.js";
import type { EngineOrder } from "./records.js";

/** Codes by which an entry says that the ticket is not in force. */
const REFUSED = new Set([
  "superseded",
  "number-taken",
  "store-unavailable",
  "invalid-ticket",
  "dangling-reference",
]);

function findLowered(
  before: FleetState | undefined,
  after: FleetState,
): string | undefined {
  return Object.entries(before?.subjects ?? {}).find(
    ([subject, number]) => (after.subjects[subject] ?? 0) < number,
  )?.[0];
}

function checkChain(commits: readonly Commit[], findings: Findings): void {
  let before: Commit | undefined;
  for (const commit of commits) {
    const { revision, state, ticket } = commit;
    const lowered = findLowered(before?.state, state);
    findings.check(
      "ticketReverted",
      revision === (before?.revision ?? 0) + 1 && lowered === undefined,
      () =>
        `revision ${revision} of ticket ${ticket?.number} follows ${before?.revision}, lowers ${lowered}`,
    );
    before = commit;
  }
}

/** What a ticket's number decides on must be as the ticket says. */
function checkAccepted(
  record: TicketRecord,
  history: History,
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

function checkRefused(
  record: TicketRecord,
  records: readonly TicketRecord[],
  history: History,
  findings: Findings,
): void {
  const { number } = record.ticket;
  const content = hashDocument(record.ticket);
  // Another call with this number and content may have committed it.
  const isAlone = records.every(
    (other) =>
      other === record ||
      hashDocument(other.ticket) !== content ||
      (REFUSED.has(other.result) && other.doneMs <= record.doneMs),
  );
  const commit = history.commits.find(
    ({ ticket }) => ticket !== undefined && hashDocument(ticket) === content,
  );
  if (!isAlone || record.result === "number-taken") return;
  findings.check(
    "ticketReverted",
    commit === undefined,
    () =>
      `ticket ${number} was refused as ${record.result}, and is revision ${commit?.revision}`,
  );
}

export function checkTickets(
  records: readonly TicketRecord[],
  history: History,
  findings: Findings,
): void {
  checkChain(history.commits, findings);
  for (const record of records) {
    if (record.result === "accepted") {
      checkAccepted(record, history, findings);
    } else if (REFUSED.has(record.result)) {
      checkRefused(record, records, history, findings);
    }
  }
}

/** An answer to a call sent after the bound comes from a late revision. */
export function checkLate(
  calls: readonly CallRecord[],
  history: History,
  findings: Findings,
): void {
  for (const call of calls) {
    const { outcome } = call;
    if (outcome.kind !== "answered") continue;
    const oldest = history.getOldest(call.sentMs);
    findings.check(
      "ticketLate",
      outcome.revision >= oldest,
      () =>
        `${call.entry} answered request ${outcome.requestId}, sent at ${call.sentMs}, with revision ${outcome.revision}, ${oldest} was due`,
    );
  }
}

/**
 * An order with an old fencing number comes from a former holder, whose view
 * of the tickets is old; taking it undoes a later ticket's assignment.
 */
export function checkEngineOrders(
  orders: readonly EngineOrder[],
  findings: Findings,
): void {
  for (const order of orders) {
    const isGood = order.refused || !(order.stale || order.overlapping);
    findings.check(
      "ticketReverted",
      isGood,
      () => `engine order ${JSON.stringify(order)}`,
    );
  }
}
