/** Checks a ticket against its JSON Schema and rules that no schema states. */

import { err, ok, type Result } from "neverthrow";
import type { Ticket } from "../schema/documents.js";
import { ticketSchema } from "../schema/schemas.js";
import { createDocumentCheck, type DocumentFault } from "./document_check.js";
import { listSubjects } from "./tickets.js";

/** The first invalid key of a ticket, its value and what was expected. */
export interface InvalidTicket {
  readonly kind: "invalid-ticket";
  /** Path of the key, such as /rollouts/0/share. */
  readonly key: string;
  /** The value as JSON, shortened. */
  readonly value: string;
  readonly expected: string;
}

const MAX_VALUE_CHARACTERS = 120;

const checkSchema = createDocumentCheck<Ticket>(ticketSchema);

/** Faults in the number and subjects that the schema can't express. */
function listContentFaults(ticket: Ticket): DocumentFault[] {
  // Beyond this, JSON parsing turns different numbers into the same one.
  if (!Number.isSafeInteger(ticket.number)) {
    const expected = `an integer up to ${Number.MAX_SAFE_INTEGER}`;
    return [{ path: ["number"], value: ticket.number, expected }];
  }
  const subjects = listSubjects(ticket);
  if (subjects.length === 0) {
    const expected = "at least one subject to set or remove";
    return [{ path: [], value: "no subject", expected }];
  }
  const repeated = subjects.filter(
    (subject, index) => subjects.indexOf(subject) < index,
  );
  return [...new Set(repeated)].map((subject) => ({
    path: [],
    value: subject,
    expected: "each subject once",
  }));
}

/** Returns the ticket or all its faults, so that a file's can be listed. */
export function checkTicketDocument(
  value: unknown,
): Result<Ticket, DocumentFault[]> {
  return checkSchema(value).andThen((ticket) => {
    const faults = listContentFaults(ticket);
    return faults.length === 0 ? ok(ticket) : err(faults);
  });
}

/** Returns the ticket or its first fault. */
export function checkTicket(value: unknown): Result<Ticket, InvalidTicket> {
  return checkTicketDocument(value).mapErr(([fault]) => ({
    kind: "invalid-ticket" as const,
    key: `/${fault?.path.join("/") ?? ""}`,
    value: (JSON.stringify(fault?.value) ?? "nothing").slice(
      0,
      MAX_VALUE_CHARACTERS,
    ),
    expected: fault?.expected ?? "a valid ticket",
  }));
}
