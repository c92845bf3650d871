/**
 * Renews the confirmation that the held revision is the latest: a watcher asks
 * the store, every other process asks a peer.
 */

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

export interface ConfirmationRenewerOptions {
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

/** Time that a long poll's answer may come late. */
const ANSWER_MARGIN_MS = 700;
const IMMEDIATE_ANSWER_TIMEOUT_MS = 1_000;
/** Mean pause between two attempts during a store outage. */
const OUTAGE_RETRY_PAUSE_MS = 600;
/** Avoids a busy loop if a store or peer answers a long poll at once. */
const MIN_ROUND_MS = 50;
/**
 * In a healthy chain of processes a confirmation is at most 4 s old; a long
 * poll of 2 s adds to that.
 */
const MAX_ANSWER_AGE_MS = 6_500;
const WATCHERS_CACHE_MS = 1_000;
/** Mean pause between two exchanges of rating totals among watchers. */
const RATING_EXCHANGE_PAUSE_MS = 3_000;

export class ConfirmationRenewer {
  readonly #options: ConfirmationRenewerOptions;
  #watchers: readonly Peer[] = [];
  #watchersChosenAtMs = Number.NEGATIVE_INFINITY;
  /**
   * The watchers at this process's last contact with the store. A host list
   * that loses a data centre in a partition must not shrink the majority.
   */
  #watchersAtLastContact: readonly string[] = [];
  /** Last store contact of this process or, if later, of another watcher. */
  #lastContactAtMs = Number.NEGATIVE_INFINITY;
  /** True at the start and after a failed poll: the next is no long poll. */
  #isNextPollImmediate = true;
  #lastStoreCallFailed = false;

  constructor(options: ConfirmationRenewerOptions) {
    this.#options = options;
  }

  get isWatcher(): boolean {
    const { name, storeWatch } = this.#options;
    return (
      storeWatch !== undefined &&
      this.listWatchers().some((peer) => peer.name === name)
    );
  }

  /** The current watchers; cached, since choosing them hashes all names. */
  listWatchers(): readonly Peer[] {
    const { getNowMs, listPeers } = this.#options;
    const nowMs = getNowMs();
    if (nowMs - this.#watchersChosenAtMs >= WATCHERS_CACHE_MS) {
      this.#watchers = chooseWatchers(listPeers());
      this.#watchersChosenAtMs = nowMs;
    }
    return this.#watchers;
  }

  /** Age of this process's own last store contact, as told to others. */
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
    // All watchers are asked at once, and each call adds a listener.
    setMaxListeners(0, signal);
    while (!signal.aborted) {
      const startMs = getNowMs();
      if (this.isWatcher) await this.#renewFromStore(signal);
      else await this.#renewFromPeer(signal);
      const restMs = MIN_ROUND_MS - (getNowMs() - startMs);
      if (restMs > 0) await waitFor(restMs, signal);
    }
  }

  /** Exchanges rating totals with a random watcher, until the abort. */
  async runRatingExchange(signal: AbortSignal): Promise<void> {
    const { name, exchange, getRandom } = this.#options;
    while (!signal.aborted) {
      await waitFor(RATING_EXCHANGE_PAUSE_MS * (0.5 + getRandom()), signal);
      if (signal.aborted || !this.isWatcher) continue;
      const others = this.listWatchers().filter((peer) => peer.name !== name);
      const peer = others[Math.floor(getRandom() * others.length)];
      if (peer === undefined) continue;
      const timeoutMs = IMMEDIATE_ANSWER_TIMEOUT_MS;
      await exchange.ask(peer, { isImmediate: true, timeoutMs, signal });
    }
  }

  async #renewFromStore(signal: AbortSignal): Promise<void> {
    const { storeWatch, log } = this.#options;
    if (storeWatch === undefined) return;
    const failure = this.#lastStoreCallFailed
      ? await this.#readDuringOutage(storeWatch, signal)
      : await this.#watchOrRead(storeWatch, signal);
    if (signal.aborted) return;
    if (failure === undefined) {
      if (this.#lastStoreCallFailed) log("store-reached", {});
      this.#lastStoreCallFailed = false;
      this.#recordOwnContact(storeWatch);
      return;
    }
    if (!this.#lastStoreCallFailed) log("store-failed", { failure });
    this.#lastStoreCallFailed = true;
    await this.#confirmIfStoreIsDown(signal);
  }

  /** Reads instead of a watch when nothing is confirmed: start or stall. */
  #watchOrRead(storeWatch: StoreWatch, signal: AbortSignal) {
    const { holder, getNowMs } = this.#options;
    const isConfirmed = holder.freshness.getAgeMs(getNowMs()) < NEVER_MS;
    return isConfirmed ? storeWatch.watch(signal) : storeWatch.read(signal);
  }

  async #readDuringOutage(storeWatch: StoreWatch, signal: AbortSignal) {
    const { getRandom } = this.#options;
    await waitFor(OUTAGE_RETRY_PAUSE_MS * (0.5 + getRandom()), signal);
    // Asking the watchers must not wait for a store that does not answer.
    const [failure] = await Promise.all([
      storeWatch.read(signal),
      this.#confirmIfStoreIsDown(signal),
    ]);
    return failure;
  }

  #recordOwnContact(storeWatch: StoreWatch): void {
    this.#watchersAtLastContact = this.#listWatcherNames();
    this.#recordContact(storeWatch.contact?.receivedAtMs ?? 0);
  }

  #recordContact(atMs: number): void {
    this.#lastContactAtMs = Math.max(this.#lastContactAtMs, atMs);
  }

  #listWatcherNames(): string[] {
    return this.listWatchers().map((peer) => peer.name);
  }

  /**
   * Asks all watchers at once and confirms the held revision if a majority of
   * them can't reach the store either, since then no ticket is accepted.
   */
  async #confirmIfStoreIsDown(signal: AbortSignal): Promise<void> {
    const { name, holder, exchange, getNowMs, listPeers } = this.#options;
    const sentAtMs = getNowMs();
    const quorums = [this.#watchersAtLastContact, this.#listWatcherNames()];
    const names = new Set(quorums.flat());
    const peers = listPeers().filter(
      (peer) => names.has(peer.name) && peer.name !== name,
    );
    const timeoutMs = IMMEDIATE_ANSWER_TIMEOUT_MS;
    const askOptions = { isImmediate: true, timeoutMs, signal };
    const results = await Promise.all(
      peers.map((peer) => exchange.ask(peer, askOptions)),
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
    const contactAgeMs = nowMs - this.#lastContactAtMs;
    if (isOutageConfirmed({ self, contactAgeMs, answers, quorums })) {
      holder.confirm({ sentAtMs, ageMs: 0, revision: self.revision });
    }
    for (const answer of answers) this.#recordReportedContact(answer);
  }

  /** Another watcher's contact counts if both hold the same revision. */
  #recordReportedContact(answer: PeerAnswer): void {
    const { holder } = this.#options;
    if (answer.revision !== holder.revision || !answer.watcher) return;
    if (answer.storeAgeMs >= NEVER_MS) return;
    this.#recordContact(answer.sentAtMs - answer.storeAgeMs);
  }

  async #renewFromPeer(signal: AbortSignal): Promise<void> {
    const { exchange, order, getNowMs, listPeers, waitMs } = this.#options;
    const choice = order.choose(listPeers(), getNowMs());
    if (choice === undefined) return waitFor(OUTAGE_RETRY_PAUSE_MS, signal);
    const { peer, backoffMs } = choice;
    // A short wait, since the host list may name other peers meanwhile.
    if (backoffMs > 0) {
      return waitFor(Math.min(backoffMs, OUTAGE_RETRY_PAUSE_MS), signal);
    }
    const isImmediate = this.#isNextPollImmediate;
    const answer = await exchange.ask(peer, {
      isImmediate,
      timeoutMs: isImmediate
        ? IMMEDIATE_ANSWER_TIMEOUT_MS
        : waitMs + ANSWER_MARGIN_MS,
      signal,
    });
    if (signal.aborted) return;
    const failed = answer.isErr() || this.#isOutdated(answer.value);
    this.#isNextPollImmediate = failed;
    if (!failed) return order.recordSuccess(peer.name);
    order.recordFailure(peer.name, getNowMs());
    await waitFor(MIN_ROUND_MS, signal);
  }

  /** True when the answer is too old to count; another peer is asked next. */
  #isOutdated(answer: PeerAnswer): boolean {
    const ageMs =
      this.#options.getNowMs() - answer.sentAtMs + answer.confirmedAgeMs;
    return ageMs > MAX_ANSWER_AGE_MS;
  }
}
