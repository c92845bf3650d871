/** Fetches a revision when another process knows a higher one. */

import type { Peer } from "../core/index.js";
import {
  failProcess,
  runWithTimeout,
  waitFor,
} from "../runtime/run_with_timeout.js";
import type { ConfigExchange } from "./config_exchange.js";
import type { ConfigHolder } from "./config_holder.js";
import type { PeerOrder } from "./peer_order.js";
import type { StoreWatch } from "./store_watch.js";

/** A revision that another process knows. */
export interface RevisionHint {
  readonly revision: number;
  /** Name of that process; empty when it is not known. */
  readonly knownBy: string;
  readonly signal: AbortSignal;
}

export interface RevisionFetcherOptions {
  readonly holder: ConfigHolder;
  readonly exchange: ConfigExchange;
  readonly order: PeerOrder;
  readonly storeWatch: StoreWatch | undefined;
  readonly listPeers: () => readonly Peer[];
}

const FETCH_TIMEOUT_MS = 1_500;
/** Peers are asked after this; the store normally answers in milliseconds. */
const STORE_HEAD_START_MS = 300;
const MAX_FETCHES = 2;
const MAX_OTHER_PEERS = 2;

export class RevisionFetcher {
  readonly #options: RevisionFetcherOptions;
  #fetchInProgress: Promise<void> | undefined;
  #lifetime: AbortSignal = new AbortController().signal;

  constructor(options: RevisionFetcherOptions) {
    this.#options = options;
  }

  /** Fetches are shared, so they end with the process, not with a caller. */
  setLifetime(signal: AbortSignal): void {
    this.#lifetime = signal;
  }

  /** Gives up after two fetches; callers check which revision is held. */
  async fetch(hint: RevisionHint): Promise<void> {
    // A fetch in progress may have begun before the revision was committed.
    for (let attempt = 0; attempt < MAX_FETCHES; attempt++) {
      if (hint.revision <= this.#options.holder.revision) return;
      if (hint.signal.aborted) return;
      this.#fetchInProgress ??= this.#fetchOnce(hint)
        .catch(failProcess)
        .finally(() => {
          this.#fetchInProgress = undefined;
        });
      // A fetch that another caller started must not delay this caller.
      await Promise.race([
        this.#fetchInProgress,
        waitFor(FETCH_TIMEOUT_MS, hint.signal),
      ]);
    }
  }

  #fetchOnce(hint: RevisionHint): Promise<void> {
    const { holder, exchange, storeWatch } = this.#options;
    const timeoutMs = FETCH_TIMEOUT_MS;
    const limits = { signal: this.#lifetime, timeoutMs };
    return runWithTimeout(limits, async (signal) => {
      const read = storeWatch?.read(signal);
      await Promise.race([read, waitFor(STORE_HEAD_START_MS, signal)]);
      if (holder.revision >= hint.revision) return;
      const askOptions = { isImmediate: true, timeoutMs, signal };
      const answers = this.#listPeersToAsk(hint.knownBy).map((peer) =>
        exchange.ask(peer, askOptions),
      );
      await Promise.race([
        Promise.all([read, ...answers]),
        holder.waitForRevision(hint.revision, signal),
      ]);
    });
  }

  #listPeersToAsk(knownBy: string): Peer[] {
    const { order, listPeers } = this.#options;
    const ordered = order.list(listPeers());
    const others = ordered.filter((peer) => peer.name !== knownBy);
    const known = ordered.filter((peer) => peer.name === knownBy);
    return [...known, ...others.slice(0, MAX_OTHER_PEERS)];
  }
}
