/**
 * Keeps the fleet state of a process up to date. Watchers watch the object
 * store. The other processes poll watchers, first those of their data centre.
 */

import { setMaxListeners } from "node:events";
import { performance } from "node:perf_hooks";
import type { ObjectStore } from "../adapters/index.js";
import {
  formatSource,
  hasMajority,
  NEVER_MS,
  type Peer,
  type RatingIncrease,
  type RatingIncreaseListener,
  RatingTotals,
  type Refusal,
} from "../core/index.js";
import { runWithTimeout, waitFor } from "../runtime/run_with_timeout.js";
import type {
  ConfirmStateReply,
  ConfirmStateRequest,
  FleetState,
} from "../schema/index.js";
import { ConfigExchange, getAskerName } from "./config_exchange.js";
import { ConfigHolder } from "./config_holder.js";
import type { ConfigView } from "./config_view.js";
import { ConfirmationRenewer } from "./confirmation_renewer.js";
import { type AskPeer, PeerClients } from "./peer_clients.js";
import { PeerOrder } from "./peer_order.js";
import { RevisionFetcher } from "./revision_fetcher.js";
import { StoreWatch } from "./store_watch.js";

export interface ConfigSyncOptions {
  readonly name: string;
  readonly dataCentre: string;
  /** Absent for an endpoint, which asks entries only. */
  readonly store?: ObjectStore;
  /** The fleet as the host list has it, this process included. */
  readonly listPeers: () => readonly Peer[];
  readonly freshnessMs?: number;
  /** Called with ratings that other entries reported. */
  readonly onRatingIncrease?: RatingIncreaseListener;
  readonly log?: (event: string, fields: Record<string, unknown>) => void;
  /** Replaces the gRPC call in tests. @internal */
  readonly ask?: AskPeer;
  /** Monotonic clock. @internal */
  readonly getNowMs?: () => number;
  /** Maximum length of a store watch or long poll. @internal */
  readonly waitMs?: number;
  /** @internal */
  readonly getRandom?: () => number;
}

/** The freshness bound covers a store watch and a long poll in a row. */
const DEFAULT_WAIT_MS = 2_000;
/** Long enough for a watcher to fetch the new revision. */
const SPREAD_TIMEOUT_MS = 2_000;
const STALL_CHECK_PERIOD_MS = 250;
const PRUNING_PAUSE_MS = 5_000;

/** Which watchers hold a revision. */
export interface RevisionSpread {
  readonly watchers: readonly string[];
  readonly holding: readonly string[];
  /** True when more than half of the watchers hold it. */
  readonly accepted: boolean;
}

export class ConfigSync implements ConfigView {
  readonly #options: ConfigSyncOptions;
  readonly #holder: ConfigHolder;
  readonly #ratingTotals = new RatingTotals();
  readonly #source: string;
  readonly #clients = new PeerClients();
  readonly #exchange: ConfigExchange;
  readonly #peerOrder: PeerOrder;
  readonly #renewer: ConfirmationRenewer;
  readonly #fetcher: RevisionFetcher;
  readonly #storeWatch: StoreWatch | undefined;
  readonly #getNowMs: () => number;

  constructor(options: ConfigSyncOptions) {
    const { name, dataCentre, store, listPeers } = options;
    const getNowMs = options.getNowMs ?? (() => performance.now());
    const getRandom = options.getRandom ?? Math.random;
    const holder = new ConfigHolder(options.freshnessMs);
    this.#options = options;
    this.#getNowMs = getNowMs;
    this.#holder = holder;
    // The wall clock is used only to order the runs of one process.
    this.#source = formatSource(name, Date.now());
    this.#exchange = new ConfigExchange({
      source: this.#source,
      dataCentre,
      holder,
      ratingTotals: this.#ratingTotals,
      onRatingIncrease: options.onRatingIncrease ?? (() => {}),
      ask: options.ask ?? this.#clients.ask,
      getNowMs,
    });
    this.#peerOrder = new PeerOrder({ name, dataCentre }, getRandom);
    const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
    const storeWatch =
      store && new StoreWatch({ store, holder, getNowMs, waitMs });
    const shared = {
      holder,
      exchange: this.#exchange,
      order: this.#peerOrder,
      storeWatch,
      listPeers,
    };
    this.#storeWatch = storeWatch;
    this.#fetcher = new RevisionFetcher(shared);
    this.#renewer = new ConfirmationRenewer({
      ...shared,
      name,
      waitMs,
      getNowMs,
      getRandom,
      log: options.log ?? (() => {}),
    });
  }

  get state(): FleetState {
    return this.#holder.state;
  }

  /** True when this process watches the store. */
  get isWatcher(): boolean {
    return this.#renewer.isWatcher;
  }

  /** Time since the last confirmation; null if there is none. */
  getConfirmationAgeMs(): number | null {
    const ageMs = this.#holder.freshness.getAgeMs(this.#getNowMs());
    return ageMs >= NEVER_MS ? null : Math.round(ageMs);
  }

  checkFreshness(): Refusal | undefined {
    return this.#holder.freshness.check(this.#getNowMs());
  }

  addListener(
    listener: (state: FleetState) => void,
    signal: AbortSignal,
  ): void {
    this.#holder.addListener(listener, signal);
  }

  /**
   * Runs until the signal aborts. Rejects when an invariant does not hold; the
   * process must end then.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.#fetcher.setLifetime(signal);
    try {
      await Promise.all([
        this.#renewer.run(signal),
        this.#renewer.runRatingExchange(signal),
        this.#detectStalls(signal),
        this.#runPruning(signal),
      ]);
    } finally {
      this.#clients.close();
    }
  }

  /** Adds ratings that this process received; other entries are told. */
  addRatings(increase: RatingIncrease): void {
    this.#ratingTotals.add(this.#source, increase);
  }

  /** Records a revision that a process reported outside `ConfirmState`. */
  recordRevision(process: string, revision: number): void {
    this.#exchange.recordRevision(process, revision);
  }

  /** Last known revision of each process of the host list. */
  listRevisions(): { process: string; revision: number | undefined }[] {
    return this.#options.listPeers().map((peer) => ({
      process: peer.name,
      revision:
        peer.name === this.#options.name
          ? this.#holder.revision
          : this.#exchange.getKnownRevision(peer.name),
    }));
  }

  /** Reads the head from the store now and fetches a newer revision. */
  async refresh(signal: AbortSignal): Promise<void> {
    await this.#storeWatch?.read(signal);
  }

  /** Adopts a state that this process committed. */
  adoptCommitted(state: FleetState): void {
    this.#holder.freshness.recordHead(state.revision);
    if (state.revision > this.#holder.revision) this.#holder.adopt(state);
  }

  async fetchRevision(revision: number, signal: AbortSignal): Promise<void> {
    await this.#fetcher.fetch({ revision, knownBy: "", signal });
  }

  /**
   * Tells each watcher about a revision, so that those behind fetch it. The
   * ticket is accepted when more than half of the watchers hold the revision.
   */
  async spreadRevision(
    revision: number,
    signal: AbortSignal,
  ): Promise<RevisionSpread> {
    const watchers = this.#renewer.listWatchers();
    setMaxListeners(0, signal);
    const askOptions = {
      isImmediate: true,
      timeoutMs: SPREAD_TIMEOUT_MS,
      signal,
    };
    const names = await Promise.all(
      watchers.map(async (peer) => {
        if (peer.name === this.#options.name) {
          return this.#holder.revision >= revision ? peer.name : undefined;
        }
        const answer = await this.#exchange.ask(peer, askOptions);
        if (answer.isErr() || answer.value.revision < revision) return;
        return peer.name;
      }),
    );
    const holding = names.filter((name) => name !== undefined);
    const watcherNames = watchers.map((peer) => peer.name);
    const accepted = hasMajority(watcherNames, new Set(holding));
    return { watchers: watcherNames, holding, accepted };
  }

  /** Answers `ConfirmState`. @internal */
  async confirmState(
    request: ConfirmStateRequest,
    signal: AbortSignal,
  ): Promise<ConfirmStateReply> {
    const arrivedAtMs = this.#getNowMs();
    const asker = getAskerName(request);
    this.#exchange.recordRevision(asker, request.revision);
    this.#exchange.mergeRatings(request.evidence);
    const { revision } = request;
    await this.#fetcher.fetch({ revision, knownBy: asker, signal });
    if (!request.seeksEvidence && this.#holder.revision <= request.revision) {
      const timeoutMs = this.#options.waitMs ?? DEFAULT_WAIT_MS;
      await runWithTimeout({ signal, timeoutMs }, (scope) =>
        this.#holder.waitForUpdate(scope),
      );
    }
    return this.#createReply(request, arrivedAtMs);
  }

  #createReply(
    request: ConfirmStateRequest,
    arrivedAtMs: number,
  ): ConfirmStateReply {
    const { revision, json, freshness } = this.#holder;
    const isEntry = this.#options
      .listPeers()
      .some((p) => p.role === "entry" && p.name === getAskerName(request));
    return {
      revision,
      state: revision > request.revision ? json : "",
      // Measured when the request arrived, without the wait for an update: the
      // asker subtracts it from the time at which it sent the request.
      confirmedAgeMs: Math.ceil(freshness.getAgeMs(arrivedAtMs)),
      storeAgeMs: Math.floor(this.#renewer.getStoreAgeMs(this.#getNowMs())),
      watcher: this.#renewer.isWatcher,
      evidence: isEntry
        ? this.#ratingTotals.takeChangesFor(request.process)
        : [],
    };
  }

  async #detectStalls(signal: AbortSignal): Promise<void> {
    const { freshness } = this.#holder;
    while (!signal.aborted) {
      if (freshness.recordTick(this.#getNowMs())) {
        this.#options.log?.("process-stalled", {});
      }
      await waitFor(STALL_CHECK_PERIOD_MS, signal);
    }
  }

  /** Removes state of processes that the host list no longer names. */
  async #runPruning(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peers = this.#options.listPeers();
      this.#clients.prune(peers);
      this.#exchange.prune(peers);
      this.#peerOrder.prune(peers);
      await waitFor(PRUNING_PAUSE_MS, signal);
    }
  }
}
