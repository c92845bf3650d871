/**
 * Commits tickets and holds: an immutable revision object first, then a
 * conditional update of the head, which is the commit point.
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
  readCurrent,
  readRevision,
} from "./revision_store.js";

export interface Committed {
  readonly kind: "committed";
  readonly revision: number;
  /** The state that this process read or wrote last; has the change. */
  readonly state: FleetState;
  /** True when an earlier call had already committed the change. */
  readonly repeated: boolean;
}

export interface CommittedTicket extends Committed {
  readonly number: number;
}

export type CommitFailure =
  | InvalidTicket
  | TicketFailure
  /** The state with the change is larger than an object may be. */
  | { readonly kind: "too-large"; readonly bytes: number }
  /** Nothing was committed. */
  | { readonly kind: "store-unavailable"; readonly detail: string }
  /** The head update may have taken effect; a repeat finds out. */
  | { readonly kind: "outcome-unknown"; readonly detail: string }
  /** An operator decided on the version after the guard did. */
  | { readonly kind: "outdated-hold"; readonly version: string };

/** A version that the roll-out guard cuts. */
export interface HoldRequest {
  readonly version: string;
  readonly reason: string;
  /** The state on which the guard decided. */
  readonly basis: FleetState;
}

/** Objects hold 1 MB; the rest is for the store's own envelope. */
const MAX_REVISION_BYTES = 1_000_000;
/** Shorter than an operator's patience, longer than several lost replies. */
const COMMIT_DEADLINE_MS = 6_000;
const MAX_PAUSE_MS = 200;

/** Gives the next state, or the answer when there is nothing to write. */
type Change = (
  state: FleetState,
) => Result<FleetState | { readonly repeatedAt: number }, CommitFailure>;

type HeadWrite = "written" | "lost" | "unknown" | "unavailable";

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
  // The key holds the hash of the content, so a whole object there is ours.
  return (await readRevision(store, head, signal)).isOk();
}

async function writeHead(
  store: ObjectStore,
  request: WriteRequest,
  signal: AbortSignal,
): Promise<HeadWrite> {
  const written = await store.write(request, signal);
  if (written.isOk()) return "written";
  if (written.error.kind === "conflict") return "lost";
  return written.error.kind === "outcome-unknown" ? "unknown" : "unavailable";
}

async function pause(attempt: number, signal: AbortSignal): Promise<void> {
  const limit = Math.min(MAX_PAUSE_MS, 5 * 2 ** Math.min(attempt, 8));
  await waitFor(Math.random() * limit, signal);
}

class Commit {
  readonly #store: ObjectStore;
  readonly #cause: RevisionCause;
  readonly #change: Change;
  readonly #signal: AbortSignal;
  /** Store version that a head update of unknown outcome expects. */
  #pendingVersion: number | undefined;
  #detail = "the store did not answer";

  constructor(
    store: ObjectStore,
    options: { cause: RevisionCause; change: Change; signal: AbortSignal },
  ) {
    this.#store = store;
    this.#cause = options.cause;
    this.#change = options.change;
    this.#signal = options.signal;
  }

  async run(): Promise<Result<Committed, CommitFailure>> {
    for (let attempt = 0; !this.#signal.aborted; attempt++) {
      const outcome = await this.#tryOnce();
      if (outcome !== undefined) return outcome;
      await pause(attempt, this.#signal);
    }
    return this.#pendingVersion === undefined
      ? err({ kind: "store-unavailable", detail: this.#detail })
      : err({ kind: "outcome-unknown", detail: this.#detail });
  }

  async #tryOnce(): Promise<Result<Committed, CommitFailure> | undefined> {
    const read = await readCurrent(this.#store, this.#signal);
    if (read.isErr()) {
      this.#detail = JSON.stringify(read.error);
      return undefined;
    }
    const current = read.value;
    // Another update used up the expected version, so a late one of ours
    // can't take effect any more unless it is already in the history.
    if (this.#pendingVersion !== current.version) {
      this.#pendingVersion = undefined;
    }
    const next = this.#change(current.state);
    if (next.isErr()) return err(next.error);
    if ("repeatedAt" in next.value) {
      const revision = next.value.repeatedAt;
      return ok(this.#createAnswer(current.state, revision, true));
    }
    return this.#write(current, next.value);
  }

  async #write(
    current: CurrentRevision,
    state: FleetState,
  ): Promise<Result<Committed, CommitFailure> | undefined> {
    const previousSha = current.head?.sha ?? "";
    const document = { state, cause: this.#cause, previousSha };
    const bytes = Buffer.byteLength(JSON.stringify(document));
    if (bytes > MAX_REVISION_BYTES) return err({ kind: "too-large", bytes });
    if (!(await writeRevision(this.#store, document, this.#signal))) {
      this.#detail = "the revision could not be written";
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
      return ok(this.#createAnswer(state, state.revision, false));
    }
    if (outcome === "unknown") this.#pendingVersion = current.version;
    this.#detail = `the head update's outcome is "${outcome}"`;
    return undefined;
  }

  #createAnswer(
    state: FleetState,
    revision: number,
    repeated: boolean,
  ): Committed {
    return { kind: "committed", revision, state, repeated };
  }
}

function runCommit(
  store: ObjectStore,
  options: { cause: RevisionCause; change: Change; signal: AbortSignal },
): Promise<Result<Committed, CommitFailure>> {
  const { signal } = options;
  return runWithTimeout({ signal, timeoutMs: COMMIT_DEADLINE_MS }, (scope) =>
    new Commit(store, { ...options, signal: scope }).run(),
  );
}

/** Commits a ticket. Its spread is a matter of the answer's acceptance. */
export async function commitTicket(
  store: ObjectStore,
  ticket: unknown,
  signal: AbortSignal,
): Promise<Result<CommittedTicket, CommitFailure>> {
  const checked = checkTicket(ticket);
  if (checked.isErr()) return err(checked.error);
  const sha256 = hashDocument(checked.value);
  const change: Change = (state) =>
    applyTicket(state, checked.value, sha256).map((outcome) =>
      outcome.kind === "applied"
        ? outcome.state
        : { repeatedAt: outcome.revision },
    );
  const cause = { ticket: checked.value };
  const committed = await runCommit(store, { cause, change, signal });
  return committed.map((value) => ({ ...value, number: checked.value.number }));
}

/** Number of the last ticket that decided on the version or its roll-out. */
function findDecision(state: FleetState, version: string): number {
  return Math.max(
    state.subjects[`version/${version}`] ?? 0,
    state.subjects[`rollout/${version}`] ?? 0,
  );
}

/** Commits a hold, unless an operator has decided on the version since. */
export async function commitHold(
  store: ObjectStore,
  hold: HoldRequest,
  signal: AbortSignal,
): Promise<Result<Committed, CommitFailure>> {
  const { version, reason, basis } = hold;
  const change: Change = (state) => {
    const held = state.holds[version];
    if (held !== undefined) return ok({ repeatedAt: held.revision });
    if (findDecision(state, version) !== findDecision(basis, version)) {
      return err({ kind: "outdated-hold", version });
    }
    return ok(applyHold(state, version, reason));
  };
  const cause = { hold: { version, reason } };
  return runCommit(store, { cause, change, signal });
}
