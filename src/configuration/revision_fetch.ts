/** Fetches a revision at once when another process knows a higher one. */

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
  /** The process that knows it; empty when it is unknown. */
  readonly informant: string;
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
/** The store answers in milliseconds; after this the peers are asked too. */
const STORE_HEAD_START_MS = 300;
const MAX_FETCHES = 2;
const MAX_INFORMANTS = 2;

export class RevisionFetcher {
  readonly #options: RevisionFetcherOptions;
  #fetching: Promise<void> | undefined;
  #lifetime: AbortSignal = new AbortController().signal;

  constructor(options: RevisionFetcherOptions) {
    this.#options = options;
  }

  /** Ends fetches with the process and not with the caller that began them. */
  start(signal: AbortSignal): void {
    this.#lifetime = signal;
  }

  /** Gives up after two fetches; the caller sees the revision held then. */
  async fetch(hint: RevisionHint): Promise<void> {
    // A fetch under way may have begun before the revision was committed.
    for (let attempt = 0; attempt < MAX_FETCHES; attempt++) {
      if (hint.revision <= this.#options.holder.revision) return;
      if (hint.signal.aborted) return;
      this.#fetching ??= this.#fetchNow(hint)
        .catch(failProcess)
        .finally(() => {
          this.#fetching = undefined;
        });
      // Another caller's fetch must not hold this one up.
      await Promise.race([
        this.#fetching,
        waitFor(FETCH_TIMEOUT_MS, hint.signal),
      ]);
    }
  }

  #fetchNow(hint: RevisionHint): Promise<void> {
    const { holder, exchange, storeWatch } = this.#options;
    const timeoutMs = FETCH_TIMEOUT_MS;
    const bounds = { signal: this.#lifetime, timeoutMs };
    return runWithTimeout(bounds, async (signal) => {
      const read = storeWatch?.read(signal);
      await Promise.race([read, waitFor(STORE_HEAD_START_MS, signal)]);
      if (holder.revision >= hint.revision) return;
      const question = { immediate: true, timeoutMs, signal };
      const asks = this.#listInformants(hint.informant).map((peer) =>
        exchange.ask(peer, question),
      );
      await Promise.race([
        Promise.all([read, ...asks]),
        holder.waitForRevision(hint.revision, signal),
      ]);
    });
  }

  #listInformants(informant: string): Peer[] {
    const { order, listPeers } = this.#options;
    const ordered = order.list(listPeers());
    const others = ordered.filter((peer) => peer.name !== informant);
    const named = ordered.filter((peer) => peer.name === informant);
    return [...named, ...others.slice(0, MAX_INFORMANTS)];
  }
}
