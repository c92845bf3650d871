/** Watches the head in the object store and adopts the state it names. */

import type { ObjectStore } from "../adapters/index.js";
import { runWithTimeout } from "../runtime/run_with_timeout.js";
import type { ConfigHolder } from "./config_holder.js";
import {
  HEAD_KEY,
  parseHead,
  type RevisionFailure,
  readRevision,
  type VersionedHead,
} from "./revision_store.js";

/** A watch fails when its answer is later than this. */
const ANSWER_MARGIN_MS = 700;
/** A healthy store answers a read in milliseconds. */
const READ_TIMEOUT_MS = 1_000;

export interface StoreWatchOptions {
  readonly store: ObjectStore;
  readonly holder: ConfigHolder;
  readonly getNowMs: () => number;
  /** Time after which the store answers a watch without a change. */
  readonly waitMs: number;
}

/** Times of the last call that the store answered. */
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

  /** Undefined until the store has answered once. */
  get contact(): StoreContact | undefined {
    return this.#contact;
  }

  /** Waits for a change of the head; undefined means that no call failed. */
  watch(signal: AbortSignal): Promise<RevisionFailure | undefined> {
    const { store, waitMs } = this.#options;
    const timeoutMs = waitMs + ANSWER_MARGIN_MS;
    return runWithTimeout({ signal, timeoutMs }, (scope) =>
      this.#requestHead(
        () =>
          store.watch(
            { key: HEAD_KEY, version: this.#headVersion, waitMs },
            scope,
          ),
        scope,
      ),
    );
  }

  /** Reads the head now; undefined means that no call failed. */
  read(signal: AbortSignal): Promise<RevisionFailure | undefined> {
    return runWithTimeout({ signal, timeoutMs: READ_TIMEOUT_MS }, (scope) =>
      this.#requestHead(() => this.#options.store.read(HEAD_KEY, scope), scope),
    );
  }

  async #requestHead(
    requestObject: () => ReturnType<ObjectStore["read"]>,
    signal: AbortSignal,
  ): Promise<RevisionFailure | undefined> {
    const sentAtMs = this.#options.getNowMs();
    const answer = await requestObject();
    if (answer.isErr()) return answer.error;
    this.#contact = { sentAtMs, receivedAtMs: this.#options.getNowMs() };
    const versionedHead = parseHead(answer.value);
    if (versionedHead.isErr()) return versionedHead.error;
    return this.#applyHead(versionedHead.value, { sentAtMs, signal });
  }

  async #applyHead(
    versionedHead: VersionedHead,
    options: { sentAtMs: number; signal: AbortSignal },
  ): Promise<RevisionFailure | undefined> {
    const { holder, store } = this.#options;
    const { head } = versionedHead;
    const revision = head?.revision ?? 0;
    holder.freshness.recordHead(revision);
    if (head !== undefined && revision > holder.revision) {
      const state = await readRevision(store, head, options.signal);
      if (state.isErr()) return state.error;
      // Another call may have brought a higher revision in the meantime.
      if (revision > holder.revision) holder.adopt(state.value);
    }
    this.#headVersion = Math.max(this.#headVersion, versionedHead.version);
    // A head below the held revision is outdated, or the store lost updates;
    // neither confirms the held revision.
    if (revision < holder.revision) return undefined;
    holder.confirm({ sentAtMs: options.sentAtMs, ageMs: 0, revision });
    return undefined;
  }
}
