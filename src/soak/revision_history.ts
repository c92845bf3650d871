/** The committed fleet states, and which of them may be in force at a time. */

import type { FleetState, Ticket } from "../schema/index.js";
import type { TicketRecord } from "./journal.js";
import type { StoreWrite } from "./standin_records.js";

/** Promised time until an accepted change is in force everywhere. */
export const IN_FORCE_DELAY_MS = 11_000;
/** The record's times are whole milliseconds. */
const ROUNDING_MS = 1;

export interface Commit {
  readonly revision: number;
  readonly state: FleetState;
  /** Ticket that made the revision; absent for a hold of the guard. */
  readonly ticket: Ticket | undefined;
  readonly committedMs: number;
  /** Time of the first answer that reported it as accepted. */
  readonly acceptedMs: number;
}

interface RevisionDocument {
  readonly state: FleetState;
  readonly cause: { readonly ticket?: Ticket };
}

export class RevisionHistory {
  readonly commits: readonly Commit[];

  constructor(writes: readonly StoreWrite[], tickets: readonly TicketRecord[]) {
    const documents = new Map<string, RevisionDocument>();
    const acceptedTimes = findAcceptanceTimes(tickets);
    const commits: Commit[] = [];
    for (const { key, value, atMs } of writes) {
      if (key.startsWith("config/revisions/")) {
        documents.set(key, value as RevisionDocument);
      }
      if (key !== "config/head") continue;
      const head = value as { key: string };
      const document = documents.get(head.key);
      if (document === undefined) {
        throw new Error(`config/head names the missing revision "${head.key}"`);
      }
      const { state, cause } = document;
      commits.push({
        revision: state.revision,
        state,
        ticket: cause.ticket,
        committedMs: atMs,
        acceptedMs:
          acceptedTimes.get(state.revision) ?? Number.POSITIVE_INFINITY,
      });
    }
    this.commits = commits;
  }

  /** The highest revision that must be in force everywhere by this time. */
  getOldestAllowedRevision(atMs: number): number {
    const due = this.commits.filter(
      (commit) => commit.acceptedMs + IN_FORCE_DELAY_MS < atMs,
    );
    return Math.max(0, ...due.map((commit) => commit.revision));
  }

  /** States by which a process may start work at this time. */
  listPossibleStates(atMs: number): FleetState[] {
    const oldestRevision = this.getOldestAllowedRevision(atMs);
    return this.commits
      .filter(
        (commit) =>
          commit.revision >= oldestRevision &&
          commit.committedMs <= atMs + ROUNDING_MS,
      )
      .map((commit) => commit.state);
  }

  /** States by which a process may start work between the two times. */
  listPossibleStatesBetween(fromMs: number, toMs: number): FleetState[] {
    const oldestRevision = this.getOldestAllowedRevision(fromMs);
    return this.commits
      .filter(
        (commit) =>
          commit.revision >= oldestRevision &&
          commit.committedMs <= toMs + ROUNDING_MS,
      )
      .map((commit) => commit.state);
  }
}

function findAcceptanceTimes(tickets: readonly TicketRecord[]) {
  const acceptedTimes = new Map<number, number>();
  for (const { result, revision, doneMs } of tickets) {
    if (result !== "accepted") continue;
    const earlier = acceptedTimes.get(revision) ?? Number.POSITIVE_INFINITY;
    acceptedTimes.set(revision, Math.min(earlier, doneMs));
  }
  return acceptedTimes;
}
