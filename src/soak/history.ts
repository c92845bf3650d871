/** The committed fleet states, and which of them may be in force when. */

import type { FleetState, Ticket } from "../schema/index.js";
import type { TicketRecord } from "./journal.js";
import type { StoreWrite } from "./records.js";

/** The users' bound for a change to be in force everywhere. */
export const IN_FORCE_MS = 11_000;
/** The record's times are whole milliseconds. */
const ROUNDING_MS = 1;

export interface Commit {
  readonly revision: number;
  readonly state: FleetState;
  /** Ticket that made the revision; absent for a hold of the guard. */
  readonly ticket: Ticket | undefined;
  readonly committedMs: number;
  /** First answer that called it accepted. */
  readonly acceptedMs: number;
}

interface RevisionValue {
  readonly state: FleetState;
  readonly cause: { readonly ticket?: Ticket };
}

export class History {
  readonly commits: readonly Commit[];

  constructor(writes: readonly StoreWrite[], tickets: readonly TicketRecord[]) {
    const documents = new Map<string, RevisionValue>();
    const accepted = findAcceptances(tickets);
    const commits: Commit[] = [];
    for (const { key, value, atMs } of writes) {
      if (key.startsWith("config/revisions/")) {
        documents.set(key, value as RevisionValue);
      }
      if (key !== "config/head") continue;
      const head = value as { key: string };
      const document = documents.get(head.key);
      if (document === undefined) {
        throw new Error(`The head names "${head.key}", which is not there`);
      }
      const { state, cause } = document;
      commits.push({
        revision: state.revision,
        state,
        ticket: cause.ticket,
        committedMs: atMs,
        acceptedMs: accepted.get(state.revision) ?? Number.POSITIVE_INFINITY,
      });
    }
    this.commits = commits;
  }

  /** The highest revision that must be in force at the time. */
  getOldest(atMs: number): number {
    const due = this.commits.filter(
      (commit) => commit.acceptedMs + IN_FORCE_MS < atMs,
    );
    return Math.max(0, ...due.map((commit) => commit.revision));
  }

  /** States by which a process may start work at the time. */
  listStates(atMs: number): FleetState[] {
    const oldest = this.getOldest(atMs);
    return this.commits
      .filter(
        (commit) =>
          commit.revision >= oldest && commit.committedMs <= atMs + ROUNDING_MS,
      )
      .map((commit) => commit.state);
  }

  /** States that were possible at some time between the two. */
  listStatesBetween(fromMs: number, toMs: number): FleetState[] {
    const oldest = this.getOldest(fromMs);
    return this.commits
      .filter(
        (commit) =>
          commit.revision >= oldest && commit.committedMs <= toMs + ROUNDING_MS,
      )
      .map((commit) => commit.state);
  }
}

function findAcceptances(tickets: readonly TicketRecord[]) {
  const accepted = new Map<number, number>();
  for (const { result, revision, doneMs } of tickets) {
    if (result !== "accepted") continue;
    const earlier = accepted.get(revision) ?? Number.POSITIVE_INFINITY;
    accepted.set(revision, Math.min(earlier, doneMs));
  }
  return accepted;
}
