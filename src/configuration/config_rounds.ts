/** The rounds in which a process renews its confirmation. */

import { setMaxListeners } from "node:events";
import {
  chooseWatchers,
  isOutageConfirmed,
  NEVER_MS,
  type Peer,
  type WatcherAnswer,
} from "../core/index.js";
import { waitFor } from "../runtime/run_with_timeout.js";
import type { ConfigExchange, PeerAnswer } from "./config_exchange.js";
import type { ConfigHolder } from "./config_holder.js";
import type { PeerOrder } from "./peer_order.js";
import type { StoreWatch } from "./store_watch.js";

export interface RoundOptions {
  readonly name: string;
  readonly holder: ConfigHolder;
  readonly exchange: ConfigExchange;
  readonly order: PeerOrder;
  readonly storeWatch: StoreWatch | undefined;
  readonly listPeers: () => readonly Peer[];
  /** Length of a long poll. */
  readonly waitMs: number;
  readonly getNowMs: () => number;
  readonly getRandom: () => number;
  readonly log: (event: string, fields: Record<string, unknown>) => void;
}

/** Time for a late answer to a long poll. */
const LATE_MS = 700;
const IMMEDIATE_TIMEOUT_MS = 1_000;
/** Between two rounds while the store does not answer. */
const OUTAGE_PAUSE_MS = 600;
/** Guards against a store or peer that answers a long wait at once. */
const MIN_ROUND_MS = 50;
/** A healthy chain gives confirmations of at most 4 s, and a long poll. */
const STALE_ANSWER_MS = 6_500;
const CHOICE_KEPT_MS = 1_000;
/** Between two exchanges of rating totals among watchers. */
const EXCHANGE_PAUSE_MS = 3_000;

export class ConfigRounds {
  readonly #options: RoundOptions;
  #watchers: readonly Peer[] = [];
  #chosenAtMs = Number.NEGATIVE_INFINITY;
  /**
   * The watchers at the last own contact with the store. A host list that
   * loses a data centre during a partition must not shrink the majority.
   */
  #contactWatchers: readonly string[] = [];
  /** The last contact with the store, own or reported by a watcher. */
  #contactAtMs = Number.NEGATIVE_INFINITY;
  /** True after a failed poll: the next answer is due at once. */
  #isUrgent = true;
  #storeFailed = false;

  constructor(options: RoundOptions) {
    this.#options = options;
  }

  get isWatcher(): boolean {
    const { name, storeWatch } = this.#options;
    return (
      storeWatch !== undefined &&
      this.listWatchers().some((peer) => peer.name === name)
    );
  }

  /** The watchers; the choice hashes all names, so it is kept for a while. */
  listWatchers(): readonly Peer[] {
    const { getNowMs, listPeers } = this.#options;
    const nowMs = getNowMs();
    if (nowMs - this.#chosenAtMs >= CHOICE_KEPT_MS) {
      this.#watchers = chooseWatchers(listPeers());
      this.#chosenAtMs = nowMs;
    }
    return this.#watchers;
  }

  /** Age of this process's own last store contact, for other watchers. */
  getStoreAgeMs(nowMs: number): number {
    const contact = this.#options.storeWatch?.contact;
    if (contact === undefined || this.#options.holder.freshness.isBehind) {
      return NEVER_MS;
    }
    return Math.max(0, nowMs - contact.receivedAtMs);
  }

  /** Renews the confirmation until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { getNowMs } = this.#options;
    // All watchers are asked at once, each call with its own listener.
    setMaxListeners(0, signal);
    while (!signal.aborted) {
      const startMs = getNowMs();
      if (this.isWatcher) await this.#watch(signal);
      else await this.#poll(signal);
      const restMs = MIN_ROUND_MS - (getNowMs() - startMs);
      if (restMs > 0) await waitFor(restMs, signal);
    }
  }

  /** Exchanges rating totals with another watcher, from time to time. */
  async runExchange(signal: AbortSignal): Promise<void> {
    const { name, exchange, getRandom } = this.#options;
    while (!signal.aborted) {
      await waitFor(EXCHANGE_PAUSE_MS * (0.5 + getRandom()), signal);
      if (signal.aborted || !this.isWatcher) continue;
      const others = this.listWatchers().filter((peer) => peer.name !== name);
      const peer = others[Math.floor(getRandom() * others.length)];
      if (peer === undefined) continue;
      const timeoutMs = IMMEDIATE_TIMEOUT_MS;
      await exchange.ask(peer, { immediate: true, timeoutMs, signal });
    }
  }

  async #watch(signal: AbortSignal): Promise<void> {
    const { storeWatch, log } = this.#options;
    if (storeWatch === undefined) return;
    const failure = this.#storeFailed
      ? await this.#readDuringOutage(storeWatch, signal)
      : await this.#watchOrRead(storeWatch, signal);
    if (signal.aborted) return;
    if (failure === undefined) {
      if (this.#storeFailed) log("store-reached", {});
      this.#storeFailed = false;
      this.#recordStoreContact(storeWatch);
      return;
    }
    if (!this.#storeFailed) log("store-failed", { failure });
    this.#storeFailed = true;
    await this.#seekEvidence(signal);
  }

  /** Reads at once after a start or a stall, when nothing is confirmed. */
  #watchOrRead(storeWatch: StoreWatch, signal: AbortSignal) {
    const { holder, getNowMs } = this.#options;
    const isConfirmed = holder.freshness.getAgeMs(getNowMs()) < NEVER_MS;
    return isConfirmed ? storeWatch.watch(signal) : storeWatch.read(signal);
  }

  async #readDuringOutage(storeWatch: StoreWatch, signal: AbortSignal) {
    const { getRandom } = this.#options;
    await waitFor(OUTAGE_PAUSE_MS * (0.5 + getRandom()), signal);
    // The evidence must not wait for a store that does not answer.
    const [failure] = await Promise.all([
      storeWatch.read(signal),
      this.#seekEvidence(signal),
    ]);
    return failure;
  }

  #recordStoreContact(storeWatch: StoreWatch): void {
    this.#contactWatchers = this.#listWatcherNames();
    this.#recordContact(storeWatch.contact?.receivedAtMs ?? 0);
  }

  #recordContact(atMs: number): void {
    this.#contactAtMs = Math.max(this.#contactAtMs, atMs);
  }

  #listWatcherNames(): string[] {
    return this.listWatchers().map((peer) => peer.name);
  }

  /** Asks all watchers at once, and judges whether the store is out for all. */
  async #seekEvidence(signal: AbortSignal): Promise<void> {
    const { name, holder, exchange, getNowMs, listPeers } = this.#options;
    const sentAtMs = getNowMs();
    const quorums = [this.#contactWatchers, this.#listWatcherNames()];
    const names = new Set(quorums.flat());
    const peers = listPeers().filter(
      (peer) => names.has(peer.name) && peer.name !== name,
    );
    const timeoutMs = IMMEDIATE_TIMEOUT_MS;
    const question = { immediate: true, timeoutMs, signal };
    const results = await Promise.all(
      peers.map((peer) => exchange.ask(peer, question)),
    );
    const answers = results.flatMap((result) =>
      result.isOk() ? [result.value] : [],
    );
    const nowMs = getNowMs();
    const self: WatcherAnswer = {
      name,
      revision: holder.revision,
      storeAgeMs: this.getStoreAgeMs(nowMs),
      watcher: true,
    };
    const contactAgeMs = nowMs - this.#contactAtMs;
    if (isOutageConfirmed({ self, contactAgeMs, answers, quorums })) {
      holder.confirm({ sentAtMs, ageMs: 0, revision: self.revision });
    }
    for (const answer of answers) this.#recordReportedContact(answer);
  }

  /** What another watcher saw in the store counts as a contact of this one. */
  #recordReportedContact(answer: PeerAnswer): void {
    const { holder } = this.#options;
    if (answer.revision !== holder.revision || !answer.watcher) return;
    if (answer.storeAgeMs >= NEVER_MS) return;
    this.#recordContact(answer.sentAtMs - answer.storeAgeMs);
  }

  async #poll(signal: AbortSignal): Promise<void> {
    const { exchange, order, getNowMs, listPeers, waitMs } = this.#options;
    const choice = order.choose(listPeers(), getNowMs());
    if (choice === undefined) return waitFor(OUTAGE_PAUSE_MS, signal);
    const { peer, backoffMs } = choice;
    // The host list may name other peers in the meantime.
    if (backoffMs > 0) {
      return waitFor(Math.min(backoffMs, OUTAGE_PAUSE_MS), signal);
    }
    const immediate = this.#isUrgent;
    const answer = await exchange.ask(peer, {
      immediate,
      timeoutMs: immediate ? IMMEDIATE_TIMEOUT_MS : waitMs + LATE_MS,
      signal,
    });
    if (signal.aborted) return;
    const failed = answer.isErr() || this.#isStale(answer.value);
    this.#isUrgent = failed;
    if (!failed) return order.recordSuccess(peer.name);
    order.recordFailure(peer.name, getNowMs());
    await waitFor(MIN_ROUND_MS, signal);
  }

  /** An answer that confirms nothing: another process may be better off. */
  #isStale(answer: PeerAnswer): boolean {
    const ageMs =
      this.#options.getNowMs() - answer.sentAtMs + answer.confirmedAgeMs;
    return ageMs > STALE_ANSWER_MS;
  }
}
