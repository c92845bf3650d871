/** Takes the fleet state over from the object store. */

import type { ObjectStore } from "../adapters/index.js";
import { runWithTimeout } from "../runtime/run_with_timeout.js";
import type { ConfigHolder } from "./config_holder.js";
import {
  HEAD_KEY,
  type HeadPosition,
  parseHead,
  type RevisionFailure,
  readRevision,
} from "./revision_store.js";

/** A watch that is this late counts as failed. */
const LATE_MS = 700;
/** A healthy store answers in milliseconds. */
const READ_TIMEOUT_MS = 1_000;

export interface StoreWatchOptions {
  readonly store: ObjectStore;
  readonly holder: ConfigHolder;
  readonly getNowMs: () => number;
  /** Length of a watch. */
  readonly waitMs: number;
}

/** Moments of the last contact with the store, in this process's life. */
export interface StoreContact {
  readonly sentAtMs: number;
  readonly receivedAtMs: number;
}

export class StoreWatch {
  readonly #options: StoreWatchOptions;
  #headVersion = 0;
  #contact: StoreContact | undefined;

  constructor(options: StoreWatchOptions) {
    this.#options = options;
  }

  /** Absent until the store has answered once. */
  get contact(): StoreContact | undefined {
    return this.#contact;
  }

  /** Waits for another head; gives undefined when the state is confirmed. */
  watch(signal: AbortSignal): Promise<RevisionFailure | undefined> {
    const { store, waitMs } = this.#options;
    const timeoutMs = waitMs + LATE_MS;
    return runWithTimeout({ signal, timeoutMs }, (scope) =>
      this.#fetch(
        () =>
          store.watch(
            { key: HEAD_KEY, version: this.#headVersion, waitMs },
            scope,
          ),
        scope,
      ),
    );
  }

  /** Reads the head now; gives undefined when the state is confirmed. */
  read(signal: AbortSignal): Promise<RevisionFailure | undefined> {
    return runWithTimeout({ signal, timeoutMs: READ_TIMEOUT_MS }, (scope) =>
      this.#fetch(() => this.#options.store.read(HEAD_KEY, scope), scope),
    );
  }

  async #fetch(
    ask: () => ReturnType<ObjectStore["read"]>,
    signal: AbortSignal,
  ): Promise<RevisionFailure | undefined> {
    const sentAtMs = this.#options.getNowMs();
    const answer = await ask();
    if (answer.isErr()) return answer.error;
    this.#contact = { sentAtMs, receivedAtMs: this.#options.getNowMs() };
    const position = parseHead(answer.value);
    if (position.isErr()) return position.error;
    return this.#takeOver(position.value, { sentAtMs, signal });
  }

  async #takeOver(
    position: HeadPosition,
    options: { sentAtMs: number; signal: AbortSignal },
  ): Promise<RevisionFailure | undefined> {
    const { holder, store } = this.#options;
    const { head } = position;
    const revision = head?.revision ?? 0;
    holder.freshness.recordHead(revision);
    if (head !== undefined && revision > holder.revision) {
      const state = await readRevision(store, head, options.signal);
      if (state.isErr()) return state.error;
      // Another answer may have brought a higher revision in the meantime.
      if (revision > holder.revision) holder.adopt(state.value);
    }
    this.#headVersion = Math.max(this.#headVersion, position.version);
    // A head below the held revision is an old answer, or a store that lost
    // updates: neither confirms anything.
    if (revision < holder.revision) return undefined;
    holder.confirm({ sentAtMs: options.sentAtMs, ageMs: 0, revision });
    return undefined;
  }
}
