/**
 * Keeps up with all objects of one kind: a whole list, then its changes, from
 * the store or from another entry that reads it.
 */

import type { Logger } from "../adapters/logs.js";
import { pauseFor } from "../adapters/pause.js";
import {
  ChangeLog,
  type RelayedView,
  type SuspendClock,
  type TakenNews,
} from "../proxy/index.js";
import { STORE_FAILURE, type StoreFailure } from "./errors.js";
import {
  type Kind,
  type ObjectEvent,
  parseEvent,
  type StoreClient,
  type StoredObject,
  serializeEvent,
} from "./store_client.js";

/** First pause after a failed call, ms; doubles up to the longest. */
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 500;

export interface WatchHandlers {
  onList(objects: readonly StoredObject[]): void;
  onChange(object: StoredObject): void;
  onDelete(name: string): void;
  /** What is held was current at this time of the suspend clock. */
  onConfirm?(atMs: number): void;
  /** The store answers again after it did not for the given time. */
  onRegained?(lostMs: number): void;
}

export interface WatchOptions {
  readonly kind: Kind;
  readonly store: StoreClient;
  /**
   * Longest wait of the next watch call, ms, by the age of the view; bounds
   * how old it may become.
   */
  readonly getWaitMs: (ageMs: number) => number;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly random: () => number;
  readonly handlers: WatchHandlers;
  /** The view has changed or was lost. */
  readonly onNews: () => void;
  readonly signal: AbortSignal;
}

export class StoreWatch implements RelayedView {
  readonly #options: WatchOptions;
  #at: number | undefined;
  #lostAtMs: number | undefined;
  #pauseMs = FIRST_PAUSE_MS;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  readonly #changes = new ChangeLog<ObjectEvent>();
  #isFollowing = false;
  #wake: () => void = () => {};

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** True once a whole list was read. */
  get isLoaded(): boolean {
    return this.#at !== undefined;
  }

  get kind(): string {
    return this.#options.kind;
  }

  get revision(): number | undefined {
    return this.#at;
  }

  get ageMs(): number {
    return this.#options.clock.now() - this.#confirmedAtMs;
  }

  get isLost(): boolean {
    return this.#lostAtMs !== undefined;
  }

  hasNewsSince(revision: number): boolean {
    return this.#changes.hasNewsSince(revision);
  }

  listSince(revision: number): readonly Uint8Array[] | undefined {
    return this.#changes.listSince(revision)?.map(serializeEvent);
  }

  take(news: TakenNews): void {
    // The store told more in the meantime.
    if (this.#at !== news.since) return;
    const results = news.changes.map(parseEvent);
    this.#logSkipped(
      results.flatMap((result) =>
        result.isErr() ? [result.error.detail] : [],
      ),
    );
    this.#apply(
      results.flatMap((result) => (result.isOk() ? [result.value] : [])),
      news.revision,
    );
    this.#confirm(news.confirmedAtMs);
    this.#regain();
  }

  follow(isFollowing: boolean): void {
    this.#isFollowing = isFollowing;
    if (!isFollowing) this.#wake();
  }

  /** Waits while another entry reads for this one. */
  async #waitForTurn(): Promise<void> {
    const { signal } = this.#options;
    if (!this.#isFollowing || signal.aborted) return;
    await new Promise<void>((resolve) => {
      this.#wake = () => {
        signal.removeEventListener("abort", this.#wake);
        resolve();
      };
      signal.addEventListener("abort", this.#wake, { once: true });
    });
  }

  #apply(events: readonly ObjectEvent[], revision: number): void {
    const { handlers, onNews } = this.#options;
    for (const event of events) {
      const { object, isDeleted } = event;
      if (isDeleted) handlers.onDelete(object.name);
      else handlers.onChange(object);
      // A deleted object may still bear the revision of its last change.
      const changedAt = isDeleted ? revision : object.revision;
      this.#changes.put(object.name, changedAt, event);
    }
    this.#at = Math.max(this.#at ?? 0, revision);
    if (events.length > 0) onNews();
  }

  #confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
    this.#options.handlers.onConfirm?.(atMs);
  }

  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await this.#waitForTurn();
      if (signal.aborted) return;
      const failure =
        this.#at === undefined ? await this.#list() : await this.#watch();
      if (signal.aborted) return;
      if (failure === undefined) this.#regain();
      else await this.#recover(failure);
    }
  }

  async #list(): Promise<StoreFailure | undefined> {
    const { store, kind, clock, handlers, log } = this.#options;
    const startedAtMs = clock.now();
    const objects: StoredObject[] = [];
    let after: string | undefined;
    let firstAt: number | undefined;
    for (;;) {
      const result = await store.list(kind, after);
      if (result.isErr()) return result.error;
      const page = result.value;
      objects.push(...page.objects);
      this.#logSkipped(page.skipped);
      // Changes between the pages come again by the watch.
      firstAt ??= page.at;
      if (!page.hasMore || page.lastName === undefined) break;
      after = page.lastName;
    }
    this.#at = firstAt;
    this.#changes.reset(firstAt);
    log.info("store-listed", { kind, count: objects.length, at: firstAt });
    handlers.onList(objects);
    this.#confirm(startedAtMs);
    return undefined;
  }

  async #watch(): Promise<StoreFailure | undefined> {
    const { store, kind, clock, getWaitMs } = this.#options;
    // While the store is lost, short calls find out soon that it is back.
    const waitMs = this.#lostAtMs === undefined ? getWaitMs(this.ageMs) : 0;
    const startedAtMs = clock.now();
    const since = this.#at ?? 0;
    const result = await store.watch(kind, since, waitMs);
    if (result.isErr()) return result.error;
    // Another entry told more in the meantime.
    if (this.#at !== since) return undefined;
    const { events, skipped, at } = result.value;
    this.#logSkipped(skipped);
    this.#apply(events, at);
    const isQuiet = events.length + skipped.length === 0;
    // A quiet watch ended at the store no sooner than its wait.
    const waitedMs = isQuiet ? Math.min(waitMs, clock.now() - startedAtMs) : 0;
    this.#confirm(startedAtMs + waitedMs);
    return undefined;
  }

  #logSkipped(skipped: readonly string[]): void {
    const { log, kind } = this.#options;
    for (const reason of skipped) log.warn("object-skipped", { kind, reason });
  }

  #regain(): void {
    const { clock, log, kind, handlers } = this.#options;
    this.#pauseMs = FIRST_PAUSE_MS;
    if (this.#lostAtMs === undefined) return;
    const lostMs = Math.round(clock.now() - this.#lostAtMs);
    this.#lostAtMs = undefined;
    log.info("store-regained", { kind, lostMs });
    handlers.onRegained?.(lostMs);
  }

  async #recover(failure: StoreFailure): Promise<void> {
    const { clock, log, kind, random, signal, onNews } = this.#options;
    if (failure.kind === STORE_FAILURE.historyGone) {
      log.info("store-history-gone", { kind, at: this.#at });
      this.#at = undefined;
      return;
    }
    if (this.#lostAtMs === undefined) {
      this.#lostAtMs = clock.now();
      const { detail } = failure;
      log.warn("store-lost", { kind, reason: failure.kind, detail });
      onNews();
    }
    const pauseMs = this.#pauseMs * (0.5 + random());
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
    await pauseFor(pauseMs, signal);
  }
}
