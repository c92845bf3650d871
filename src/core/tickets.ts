/**
 * Applies numbered change tickets to the fleet state. A ticket takes effect
 * as a whole or not at all, and a late ticket never undoes a later one.
 */

import { err, ok, type Result } from "neverthrow";
import type { AcceptedTicket, FleetState, Ticket } from "../schema/index.js";

export type TicketFailure =
  | { kind: "superseded"; subject: string; by: number }
  | { kind: "number-taken"; number: number; revision: number }
  | { kind: "dangling-reference"; subject: string; reference: string };

export type TicketOutcome =
  | { kind: "applied"; state: FleetState }
  | { kind: "already-accepted"; revision: number };

/** Number of latest accepted tickets kept to recognise a repeated one. */
const MAX_KEPT_TICKETS = 500;

const COLLECTIONS = {
  accounts: "account",
  versions: "version",
  classes: "class",
  services: "service",
  rollouts: "rollout",
  dataCentres: "dataCentre",
  endpoints: "endpoint",
} as const;

type CollectionName = keyof typeof COLLECTIONS;

const COLLECTION_NAMES = Object.keys(COLLECTIONS) as CollectionName[];

interface SubjectChange {
  collection: CollectionName;
  key: string;
  subject: string;
  /** Absent when the ticket removes the subject. */
  value?: unknown;
}

function getKey(value: object): string {
  if ("name" in value) return String(value.name);
  return "version" in value ? String(value.version) : "";
}

function listSetChanges(ticket: Ticket): SubjectChange[] {
  return COLLECTION_NAMES.flatMap((collection) =>
    (ticket[collection] ?? []).map((value) => {
      const key = getKey(value);
      return {
        collection,
        key,
        subject: `${COLLECTIONS[collection]}/${key}`,
        value,
      };
    }),
  );
}

function listRemovals(ticket: Ticket): SubjectChange[] {
  return (ticket.remove ?? []).flatMap((subject) => {
    const [kind, ...rest] = subject.split("/");
    const collection = COLLECTION_NAMES.find(
      (name) => COLLECTIONS[name] === kind,
    );
    if (collection === undefined) return [];
    return [{ collection, key: rest.join("/"), subject }];
  });
}

/** Names every subject that the ticket sets or removes. */
export function listSubjects(ticket: Ticket): string[] {
  return [...listSetChanges(ticket), ...listRemovals(ticket)].map(
    (change) => change.subject,
  );
}

function findDanglingReference(state: FleetState): TicketFailure | undefined {
  for (const account of Object.values(state.accounts)) {
    const subject = `account/${account.name}`;
    const references: [string, boolean][] = [
      ...account.versions.map((name): [string, boolean] => [
        `version/${name}`,
        Object.hasOwn(state.versions, name),
      ]),
      ...account.services.map((name): [string, boolean] => [
        `service/${name}`,
        Object.hasOwn(state.services, name),
      ]),
      ...account.classes.map((name): [string, boolean] => [
        `class/${name}`,
        Object.hasOwn(state.classes, name),
      ]),
    ];
    const missing = references.find(([, exists]) => !exists);
    if (missing !== undefined) {
      return { kind: "dangling-reference", subject, reference: missing[0] };
    }
  }
  return undefined;
}

function findSupersedingTicket(
  state: FleetState,
  ticket: Ticket,
): TicketFailure | undefined {
  for (const subject of listSubjects(ticket)) {
    const by = state.subjects[subject] ?? 0;
    if (by > ticket.number) return { kind: "superseded", subject, by };
  }
  return undefined;
}

function applyChanges(state: FleetState, ticket: Ticket): FleetState {
  const next: FleetState = structuredClone(state);
  for (const change of [...listSetChanges(ticket), ...listRemovals(ticket)]) {
    const collection = next[change.collection] as Record<string, unknown>;
    if (change.value === undefined) delete collection[change.key];
    else collection[change.key] = change.value;
    next.subjects[change.subject] = ticket.number;
    // An operator's ticket on a version or its roll-out ends the guard's hold.
    if (change.collection === "rollouts" || change.collection === "versions") {
      delete next.holds[change.key];
    }
  }
  return next;
}

/**
 * Drops old tickets, except those that last changed a subject. Without its
 * record, the number of such a ticket would be accepted again with other
 * content.
 */
function listKeptTickets(
  subjects: FleetState["subjects"],
  tickets: AcceptedTicket[],
): AcceptedTicket[] {
  const numbersInForce = new Set(Object.values(subjects));
  const firstKept = tickets.length - MAX_KEPT_TICKETS;
  return tickets.filter(
    (ticket, index) => index >= firstKept || numbersInForce.has(ticket.number),
  );
}

/**
 * Applies a ticket. `sha256` is the hash of its content: the same number with
 * the same hash is a repeat, with another hash it is a conflict.
 */
export function applyTicket(
  state: FleetState,
  ticket: Ticket,
  sha256: string,
): Result<TicketOutcome, TicketFailure> {
  const accepted = state.tickets.find((t) => t.number === ticket.number);
  if (accepted !== undefined) {
    const { revision } = accepted;
    return accepted.sha256 === sha256
      ? ok({ kind: "already-accepted", revision })
      : err({ kind: "number-taken", number: ticket.number, revision });
  }
  const superseded = findSupersedingTicket(state, ticket);
  if (superseded !== undefined) return err(superseded);

  const next = applyChanges(state, ticket);
  const dangling = findDanglingReference(next);
  if (dangling !== undefined) return err(dangling);

  next.revision = state.revision + 1;
  next.tickets = listKeptTickets(next.subjects, [
    ...state.tickets,
    { number: ticket.number, sha256, revision: next.revision },
  ]);
  return ok({ kind: "applied", state: next });
}

/** Puts a version on hold for new work until an operator decides on it. */
export function applyHold(
  state: FleetState,
  version: string,
  reason: string,
): FleetState {
  if (Object.hasOwn(state.holds, version)) return state;
  const revision = state.revision + 1;
  return {
    ...state,
    revision,
    holds: { ...state.holds, [version]: { version, reason, revision } },
  };
}
