/**
 * Keeps the fleet state of a process fresh. Watchers watch the object store;
 * the other processes ask a watcher of their data centre, then of others.
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
import { ConfigExchange, getAsker } from "./config_exchange.js";
import { ConfigHolder } from "./config_holder.js";
import { type AskPeer, PeerClients } from "./config_peers.js";
import { ConfigRounds } from "./config_rounds.js";
import type { ConfigView } from "./config_view.js";
import { PeerOrder } from "./peer_order.js";
import { RevisionFetcher } from "./revision_fetch.js";
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
  readonly onEvidence?: RatingIncreaseListener;
  readonly log?: (event: string, fields: Record<string, unknown>) => void;
  /** @internal */
  readonly ask?: AskPeer;
  /** Monotonic clock. @internal */
  readonly getNowMs?: () => number;
  /** Length of store watches and long polls. @internal */
  readonly waitMs?: number;
  /** @internal */
  readonly getRandom?: () => number;
}

/** Of a store watch and a long poll; the bound covers two of them and more. */
const DEFAULT_WAIT_MS = 2_000;
/** Covers a watcher's fetch of the new revision. */
const SPREAD_TIMEOUT_MS = 2_000;
const TICK_MS = 250;
const PRUNING_PAUSE_MS = 5_000;
/** Who of the watchers holds a revision. */
export interface Spread {
  readonly watchers: readonly string[];
  readonly holding: readonly string[];
  /** True when more than half of the watchers hold it. */
  readonly accepted: boolean;
}

export class ConfigSync implements ConfigView {
  readonly #options: ConfigSyncOptions;
  readonly #holder: ConfigHolder;
  readonly #totals = new RatingTotals();
  readonly #source: string;
  readonly #clients = new PeerClients();
  readonly #exchange: ConfigExchange;
  readonly #order: PeerOrder;
  readonly #rounds: ConfigRounds;
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
    // The wall clock only orders the lives of a process.
    this.#source = formatSource(name, Date.now());
    this.#exchange = new ConfigExchange({
      source: this.#source,
      dataCentre,
      holder,
      totals: this.#totals,
      onEvidence: options.onEvidence ?? (() => {}),
      ask: options.ask ?? this.#clients.ask,
      getNowMs,
    });
    this.#order = new PeerOrder({ name, dataCentre }, getRandom);
    const waitMs = options.waitMs ?? DEFAULT_WAIT_MS;
    const storeWatch =
      store && new StoreWatch({ store, holder, getNowMs, waitMs });
    const parts = {
      holder,
      exchange: this.#exchange,
      order: this.#order,
      storeWatch,
      listPeers,
    };
    this.#storeWatch = storeWatch;
    this.#fetcher = new RevisionFetcher(parts);
    this.#rounds = new ConfigRounds({
      ...parts,
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
    return this.#rounds.isWatcher;
  }

  /** Time since the revision was last confirmed; null before the first time. */
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
  async start(signal: AbortSignal): Promise<void> {
    this.#fetcher.start(signal);
    try {
      await Promise.all([
        this.#rounds.run(signal),
        this.#rounds.runExchange(signal),
        this.#runTicks(signal),
        this.#runPruning(signal),
      ]);
    } finally {
      this.#clients.close();
    }
  }

  /** Adds ratings that this process has seen; other entries learn of them. */
  addRatings(increase: RatingIncrease): void {
    this.#totals.add(this.#source, increase);
  }

  /** Records what a process reported of itself by another way. */
  recordRevision(process: string, revision: number): void {
    this.#exchange.recordRevision(process, revision);
  }

  /** Revision that each process of the host list is known to hold. */
  listRevisions(): { process: string; revision: number | undefined }[] {
    return this.#options.listPeers().map((peer) => ({
      process: peer.name,
      revision:
        peer.name === this.#options.name
          ? this.#holder.revision
          : this.#exchange.getRevision(peer.name),
    }));
  }

  /** Reads the head now, so that the held state is the latest if it can be. */
  async refresh(signal: AbortSignal): Promise<void> {
    await this.#storeWatch?.read(signal);
  }

  /** Takes over a state that this process committed. */
  adoptCommitted(state: FleetState): void {
    this.#holder.freshness.recordHead(state.revision);
    if (state.revision > this.#holder.revision) this.#holder.adopt(state);
  }

  async fetchRevision(revision: number, signal: AbortSignal): Promise<void> {
    await this.#fetcher.fetch({ revision, informant: "", signal });
  }

  /**
   * Asks each watcher with a revision; one that is behind fetches it. More
   * than half of them must hold it before its ticket counts as accepted.
   */
  async spreadRevision(revision: number, signal: AbortSignal): Promise<Spread> {
    const watchers = this.#rounds.listWatchers();
    setMaxListeners(0, signal);
    const question = { immediate: true, timeoutMs: SPREAD_TIMEOUT_MS, signal };
    const names = await Promise.all(
      watchers.map(async (peer) => {
        if (peer.name === this.#options.name) {
          return this.#holder.revision >= revision ? peer.name : undefined;
        }
        const answer = await this.#exchange.ask(peer, question);
        if (answer.isErr() || answer.value.revision < revision) return;
        return peer.name;
      }),
    );
    const holding = names.filter((name) => name !== undefined);
    const members = watchers.map((peer) => peer.name);
    const accepted = hasMajority(members, new Set(holding));
    return { watchers: members, holding, accepted };
  }

  /** Answers `ConfirmState`. @internal */
  async confirmState(
    request: ConfirmStateRequest,
    signal: AbortSignal,
  ): Promise<ConfirmStateReply> {
    const arrivedAtMs = this.#getNowMs();
    const asker = getAsker(request);
    this.#exchange.recordRevision(asker, request.revision);
    this.#exchange.mergeEvidence(request.evidence);
    const { revision } = request;
    await this.#fetcher.fetch({ revision, informant: asker, signal });
    if (!request.seeksEvidence && this.#holder.revision <= request.revision) {
      const timeoutMs = this.#options.waitMs ?? DEFAULT_WAIT_MS;
      await runWithTimeout({ signal, timeoutMs }, (scope) =>
        this.#holder.waitForRenewal(scope),
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
      .some((p) => p.role === "entry" && p.name === getAsker(request));
    return {
      revision,
      state: revision > request.revision ? json : "",
      // Counted from the question's arrival: the asker subtracts it from the
      // moment of sending, and the wait in between must not count twice.
      confirmedAgeMs: Math.ceil(freshness.getAgeMs(arrivedAtMs)),
      storeAgeMs: Math.floor(this.#rounds.getStoreAgeMs(this.#getNowMs())),
      watcher: this.#rounds.isWatcher,
      evidence: isEntry ? this.#totals.takeChangesFor(request.process) : [],
    };
  }

  async #runTicks(signal: AbortSignal): Promise<void> {
    const { freshness } = this.#holder;
    while (!signal.aborted) {
      if (freshness.recordTick(this.#getNowMs())) {
        this.#options.log?.("process-stalled", {});
      }
      await waitFor(TICK_MS, signal);
    }
  }

  /** Forgets the processes that are gone. */
  async #runPruning(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const peers = this.#options.listPeers();
      this.#clients.prune(peers);
      this.#exchange.prune(peers);
      this.#order.prune(peers);
      await waitFor(PRUNING_PAUSE_MS, signal);
    }
  }
}
