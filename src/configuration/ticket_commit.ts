/**
 * Commits tickets and holds. Writes an immutable revision object, then updates
 * the head on condition of its version; that update is the commit point.
 */

import { err, ok, type Result } from "neverthrow";
import type { ObjectStore, WriteRequest } from "../adapters/index.js";
import {
  applyHold,
  applyTicket,
  checkTicket,
  hashDocument,
  type InvalidTicket,
  type TicketFailure,
} from "../core/index.js";
import { runWithTimeout, waitFor } from "../runtime/run_with_timeout.js";
import type { FleetState } from "../schema/index.js";
import {
  type CurrentRevision,
  createHead,
  HEAD_KEY,
  type RevisionCause,
  type RevisionDocument,
  readCurrentRevision,
  readRevision,
} from "./revision_store.js";

export interface CommitResult {
  readonly kind: "committed";
  readonly revision: number;
  /** Latest state that this process read or wrote; includes the change. */
  readonly state: FleetState;
  /** True when an earlier call had already committed the change. */
  readonly repeated: boolean;
}

export interface TicketCommitResult extends CommitResult {
  readonly number: number;
}

export type CommitFailure =
  | InvalidTicket
  | TicketFailure
  /** The state with the change is larger than an object may be. */
  | { readonly kind: "too-large"; readonly bytes: number }
  /** Nothing was committed. */
  | { readonly kind: "store-unavailable"; readonly detail: string }
  /** The head update may have taken effect; sending it again tells. */
  | { readonly kind: "outcome-unknown"; readonly detail: string }
  /** A ticket changed the version after the guard had decided. */
  | { readonly kind: "outdated-hold"; readonly version: string };

/** A version that the roll-out guard puts on hold. */
export interface HoldRequest {
  readonly version: string;
  readonly reason: string;
  /** The state on which the guard decided. */
  readonly baseState: FleetState;
}

/** The store holds objects up to 1 MB; the rest is for its own envelope. */
const MAX_REVISION_BYTES = 1_000_000;
/** Short enough for an operator to wait; covers several lost replies. */
const COMMIT_DEADLINE_MS = 6_000;
const MAX_RETRY_PAUSE_MS = 200;

/** Gives the next state, or the revision that already has the change. */
type StateChange = (
  state: FleetState,
) => Result<FleetState | { readonly earlierRevision: number }, CommitFailure>;

/** `lost` when another process updated the head first. */
type HeadWriteOutcome = "written" | "lost" | "unknown" | "unavailable";

async function writeRevision(
  store: ObjectStore,
  document: RevisionDocument,
  signal: AbortSignal,
): Promise<boolean> {
  const head = createHead(document);
  const request = { key: head.key, value: document, ifVersion: 0 };
  const written = await store.write(request, signal);
  if (written.isOk()) return true;
  const { kind } = written.error;
  if (kind !== "conflict" && kind !== "outcome-unknown") return false;
  // The key contains the content's hash, so an intact object is the same.
  return (await readRevision(store, head, signal)).isOk();
}

async function writeHead(
  store: ObjectStore,
  request: WriteRequest,
  signal: AbortSignal,
): Promise<HeadWriteOutcome> {
  const written = await store.write(request, signal);
  if (written.isOk()) return "written";
  if (written.error.kind === "conflict") return "lost";
  return written.error.kind === "outcome-unknown" ? "unknown" : "unavailable";
}

async function waitBeforeRetry(
  attempt: number,
  signal: AbortSignal,
): Promise<void> {
  const maxPauseMs = Math.min(
    MAX_RETRY_PAUSE_MS,
    5 * 2 ** Math.min(attempt, 8),
  );
  await waitFor(Math.random() * maxPauseMs, signal);
}

class CommitRun {
  readonly #store: ObjectStore;
  readonly #cause: RevisionCause;
  readonly #change: StateChange;
  readonly #signal: AbortSignal;
  /** Head version on which an update of unknown outcome was conditional. */
  #unconfirmedVersion: number | undefined;
  #failureDetail = "the store did not answer";

  constructor(
    store: ObjectStore,
    options: { cause: RevisionCause; change: StateChange; signal: AbortSignal },
  ) {
    this.#store = store;
    this.#cause = options.cause;
    this.#change = options.change;
    this.#signal = options.signal;
  }

  async run(): Promise<Result<CommitResult, CommitFailure>> {
    for (let attempt = 0; !this.#signal.aborted; attempt++) {
      const outcome = await this.#attempt();
      if (outcome !== undefined) return outcome;
      await waitBeforeRetry(attempt, this.#signal);
    }
    return this.#unconfirmedVersion === undefined
      ? err({ kind: "store-unavailable", detail: this.#failureDetail })
      : err({ kind: "outcome-unknown", detail: this.#failureDetail });
  }

  async #attempt(): Promise<Result<CommitResult, CommitFailure> | undefined> {
    const read = await readCurrentRevision(this.#store, this.#signal);
    if (read.isErr()) {
      this.#failureDetail = JSON.stringify(read.error);
      return undefined;
    }
    const current = read.value;
    // The head has changed, so the pending update can't take effect any more;
    // if it already has, the change is found in the state.
    if (this.#unconfirmedVersion !== current.version) {
      this.#unconfirmedVersion = undefined;
    }
    const next = this.#change(current.state);
    if (next.isErr()) return err(next.error);
    if ("earlierRevision" in next.value) {
      const revision = next.value.earlierRevision;
      return ok(this.#createResult(current.state, revision, true));
    }
    return this.#write(current, next.value);
  }

  async #write(
    current: CurrentRevision,
    state: FleetState,
  ): Promise<Result<CommitResult, CommitFailure> | undefined> {
    const previousSha = current.head?.sha ?? "";
    const document = { state, cause: this.#cause, previousSha };
    const bytes = Buffer.byteLength(JSON.stringify(document));
    if (bytes > MAX_REVISION_BYTES) return err({ kind: "too-large", bytes });
    if (!(await writeRevision(this.#store, document, this.#signal))) {
      this.#failureDetail = "the revision could not be written";
      return undefined;
    }
    const outcome = await writeHead(
      this.#store,
      {
        key: HEAD_KEY,
        value: createHead(document),
        ifVersion: current.version,
      },
      this.#signal,
    );
    if (outcome === "written") {
      return ok(this.#createResult(state, state.revision, false));
    }
    if (outcome === "unknown") this.#unconfirmedVersion = current.version;
    this.#failureDetail = `the head update's outcome is "${outcome}"`;
    return undefined;
  }

  #createResult(
    state: FleetState,
    revision: number,
    repeated: boolean,
  ): CommitResult {
    return { kind: "committed", revision, state, repeated };
  }
}

function runCommit(
  store: ObjectStore,
  options: { cause: RevisionCause; change: StateChange; signal: AbortSignal },
): Promise<Result<CommitResult, CommitFailure>> {
  const { signal } = options;
  return runWithTimeout({ signal, timeoutMs: COMMIT_DEADLINE_MS }, (scope) =>
    new CommitRun(store, { ...options, signal: scope }).run(),
  );
}

/** Commits a ticket; the caller then spreads the revision. */
export async function commitTicket(
  store: ObjectStore,
  ticket: unknown,
  signal: AbortSignal,
): Promise<Result<TicketCommitResult, CommitFailure>> {
  const checked = checkTicket(ticket);
  if (checked.isErr()) return err(checked.error);
  const sha256 = hashDocument(checked.value);
  const change: StateChange = (state) =>
    applyTicket(state, checked.value, sha256).map((outcome) =>
      outcome.kind === "applied"
        ? outcome.state
        : { earlierRevision: outcome.revision },
    );
  const cause = { ticket: checked.value };
  const committed = await runCommit(store, { cause, change, signal });
  return committed.map((value) => ({ ...value, number: checked.value.number }));
}

/** Number of the last ticket that changed the version or its roll-out. */
function findLastTicketNumber(state: FleetState, version: string): number {
  return Math.max(
    state.subjects[`version/${version}`] ?? 0,
    state.subjects[`rollout/${version}`] ?? 0,
  );
}

/** Commits a hold, unless a ticket has changed the version since. */
export async function commitHold(
  store: ObjectStore,
  hold: HoldRequest,
  signal: AbortSignal,
): Promise<Result<CommitResult, CommitFailure>> {
  const { version, reason, baseState } = hold;
  const change: StateChange = (state) => {
    const held = state.holds[version];
    if (held !== undefined) return ok({ earlierRevision: held.revision });
    if (
      findLastTicketNumber(state, version) !==
      findLastTicketNumber(baseState, version)
    ) {
      return err({ kind: "outdated-hold", version });
    }
    return ok(applyHold(state, version, reason));
  };
  const cause = { hold: { version, reason } };
  return runCommit(store, { cause, change, signal });
}
