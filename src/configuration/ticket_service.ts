/** Commits operators' tickets, spreads them and reports their status. */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore } from "../adapters/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { ConfigSync, RevisionSpread } from "./config_sync.js";
import {
  type CommitFailure,
  type CommitResult,
  commitHold,
  commitTicket,
  type HoldRequest,
} from "./ticket_commit.js";

/** Answer to a committed ticket; while `spreading`, send it again later. */
export interface TicketAnswer {
  /** `accepted` when more than half of the watchers hold the revision. */
  readonly kind: "accepted" | "spreading";
  readonly number: number;
  readonly revision: number;
  /** True when an earlier call had committed the ticket. */
  readonly repeated: boolean;
  readonly watchers: readonly string[];
  readonly holding: readonly string[];
}

export interface ProcessRevision {
  readonly process: string;
  /** Undefined when the process has not reported a revision. */
  readonly revision: number | undefined;
}

export type TicketStatus =
  | {
      /** `superseded` when later tickets have changed all of its subjects. */
      readonly kind: "accepted" | "spreading" | "superseded";
      readonly number: number;
      readonly revision: number;
      readonly processes: readonly ProcessRevision[];
    }
  | {
      readonly kind: "unknown";
      readonly number: number;
      /** False when this process can't tell whether its state is current. */
      readonly isFresh: boolean;
    };

export interface TicketServiceOptions {
  readonly store: ObjectStore;
  readonly sync: ConfigSync;
}

/** Attempts to reach a majority of the watchers. */
const MAX_SPREAD_ATTEMPTS = 3;
const SPREAD_PAUSE_MS = 300;

export class TicketService {
  readonly #options: TicketServiceOptions;

  constructor(options: TicketServiceOptions) {
    this.#options = options;
  }

  async submit(
    ticket: unknown,
    signal: AbortSignal,
  ): Promise<Result<TicketAnswer, CommitFailure>> {
    const { store, sync } = this.#options;
    const committed = await commitTicket(store, ticket, signal);
    if (committed.isErr()) return err(committed.error);
    const { state, revision, repeated, number } = committed.value;
    sync.adoptCommitted(state);
    const spread = await this.#spreadToMajority(revision, signal);
    const { watchers, holding } = spread;
    const kind = spread.accepted ? "accepted" : "spreading";
    return ok({ kind, number, revision, repeated, watchers, holding });
  }

  /** Commits a hold; it spreads through store watches and polls alone. */
  async commitHold(
    request: HoldRequest,
    signal: AbortSignal,
  ): Promise<Result<CommitResult, CommitFailure>> {
    const { store, sync } = this.#options;
    const committed = await commitHold(store, request, signal);
    if (committed.isOk()) sync.adoptCommitted(committed.value.state);
    return committed;
  }

  async getStatus(number: number, signal: AbortSignal): Promise<TicketStatus> {
    const { sync } = this.#options;
    await sync.refresh(signal);
    const { tickets, subjects } = sync.state;
    const found = tickets.find((ticket) => ticket.number === number);
    if (found === undefined) {
      const isFresh = sync.checkFreshness() === undefined;
      return { kind: "unknown", number, isFresh };
    }
    const { revision } = found;
    const { accepted } = await sync.spreadRevision(revision, signal);
    const processes = sync.listRevisions();
    if (!Object.values(subjects).includes(number)) {
      return { kind: "superseded", number, revision, processes };
    }
    const kind = accepted ? "accepted" : "spreading";
    return { kind, number, revision, processes };
  }

  async #spreadToMajority(
    revision: number,
    signal: AbortSignal,
  ): Promise<RevisionSpread> {
    const { sync } = this.#options;
    for (let attempt = 1; ; attempt++) {
      const spread = await sync.spreadRevision(revision, signal);
      if (
        spread.accepted ||
        attempt === MAX_SPREAD_ATTEMPTS ||
        signal.aborted
      ) {
        return spread;
      }
      await waitFor(SPREAD_PAUSE_MS, signal);
    }
  }
}
