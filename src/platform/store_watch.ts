/**
 * Keeps up with all objects of one kind: a whole list, then its changes, from
 * the store or from another entry that reads it.
 */

import type { Logger } from "../adapters/logs.js";
import { pauseFor } from "../adapters/pause.js";
import {
  ChangeLog,
  type RelayedChanges,
  type RelayedView,
  type SuspendClock,
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
import type { StoreOutage } from "./store_outage.js";

/** Time after which the store has surely seen a watch, ms. */
const WATCH_SEEN_MS = 100;

export interface WatchHandlers {
  onList(objects: readonly StoredObject[]): void;
  onChange(object: StoredObject): void;
  onDelete(name: string): void;
  /** What is held was current at this time of the suspend clock. */
  onConfirm?(atMs: number): void;
  /** The store answers again after it did not for the given time. */
  onRegained?(lostMs: number): void;
}

export interface WatchState {
  readonly ageMs: number;
  /** The last call brought changes, so that more may follow. */
  readonly hasChanged: boolean;
}

export interface WatchOptions {
  readonly kind: Kind;
  readonly store: StoreClient;
  /** Longest wait of the next watch call, ms; bounds how old it may become. */
  readonly getWaitMs: (state: WatchState) => number;
  /** Pause after a list or changes, ms, in which further ones are collected. */
  readonly getPauseMs: (ageMs: number, isListed: boolean) => number;
  /**
   * Changes that come late, after a cut of the network, must not make the view
   * count as young: its age is that of the call that brought them.
   */
  readonly isStrict: boolean;
  /** When the store last answered this entry, on the suspend clock. */
  readonly getReachedAtMs: () => number;
  readonly outage: StoreOutage;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly handlers: WatchHandlers;
  /** The view has changed or was lost. */
  readonly onNews: () => void;
  readonly signal: AbortSignal;
}

export class StoreWatch implements RelayedView {
  readonly #options: WatchOptions;
  #at: number | undefined;
  #lostAtMs: number | undefined;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #reachedAtMs = Number.NEGATIVE_INFINITY;
  /** Start of the watch that waits at the store. */
  #watchedAtMs: number | undefined;
  #hasChanged = false;
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

  /** When the store last confirmed the view to this entry itself. */
  get reachedAtMs(): number {
    return this.#reachedAtMs;
  }

  /**
   * A watch that still waits would have told of changes, so the view is as
   * young as the last answer of the store to another call.
   */
  get ageMs(): number {
    const { clock, getReachedAtMs } = this.#options;
    const reachedAtMs = getReachedAtMs();
    const isWatched =
      this.#watchedAtMs !== undefined &&
      reachedAtMs >= this.#watchedAtMs + WATCH_SEEN_MS;
    const confirmedAtMs = isWatched
      ? Math.max(this.#confirmedAtMs, reachedAtMs)
      : this.#confirmedAtMs;
    return clock.now() - confirmedAtMs;
  }

  get isLost(): boolean {
    return this.#lostAtMs !== undefined;
  }

  hasChangesSince(revision: number): boolean {
    return this.#changes.hasChangesSince(revision);
  }

  listChangesSince(revision: number): readonly Uint8Array[] | undefined {
    return this.#changes.listChangesSince(revision)?.map(serializeEvent);
  }

  applyChanges(news: RelayedChanges): void {
    // The store told more in the meantime.
    if (this.#at !== news.sinceRevision) return;
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

  setFollowing(isFollowing: boolean): void {
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

  #reach(atMs: number): void {
    this.#reachedAtMs = Math.max(this.#reachedAtMs, atMs);
    this.#confirm(atMs);
  }

  async run(): Promise<void> {
    const { signal, outage, getPauseMs } = this.#options;
    const call = async () => {
      const failure =
        this.#at === undefined ? await this.#list() : await this.#watch();
      if (signal.aborted) return undefined;
      if (failure === undefined) this.#regain();
      else this.#recover(failure);
      return failure;
    };
    while (!signal.aborted) {
      await this.#waitForTurn();
      const isListed = this.#at === undefined;
      await outage.run(call, () => !this.#isFollowing);
      if (!this.#hasChanged) continue;
      await pauseFor(getPauseMs(this.ageMs, isListed), signal);
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
    this.#reach(startedAtMs);
    // A new entry soon finds another one to follow, and needs no watch then.
    this.#hasChanged = true;
    return undefined;
  }

  async #watch(): Promise<StoreFailure | undefined> {
    const { store, kind, clock, outage, getWaitMs, isStrict } = this.#options;
    const { ageMs } = this;
    const hasChanged = this.#hasChanged;
    this.#hasChanged = false;
    // While the store is lost, short calls find out soon that it is back.
    const isShort = this.isLost || outage.isOn;
    const waitMs = isShort ? 0 : getWaitMs({ ageMs, hasChanged });
    const startedAtMs = clock.now();
    const since = this.#at ?? 0;
    this.#watchedAtMs = startedAtMs;
    const result = await store.watch(kind, since, waitMs);
    this.#watchedAtMs = undefined;
    if (result.isErr()) return result.error;
    // Another entry told more in the meantime.
    if (this.#at !== since) return undefined;
    const { events, skipped, at } = result.value;
    this.#logSkipped(skipped);
    this.#apply(events, at);
    this.#hasChanged = events.length + skipped.length > 0;
    const tookMs = clock.now() - startedAtMs;
    // A quiet watch ended at the store no sooner than its wait.
    const quietMs = Math.min(waitMs, tookMs);
    const changedMs = isStrict ? 0 : tookMs;
    this.#reach(startedAtMs + (this.#hasChanged ? changedMs : quietMs));
    return undefined;
  }

  #logSkipped(skipped: readonly string[]): void {
    const { log, kind } = this.#options;
    for (const reason of skipped) log.warn("object-skipped", { kind, reason });
  }

  #regain(): void {
    const { clock, log, kind, handlers } = this.#options;
    if (this.#lostAtMs === undefined) return;
    const lostMs = Math.round(clock.now() - this.#lostAtMs);
    this.#lostAtMs = undefined;
    log.info("store-regained", { kind, lostMs });
    handlers.onRegained?.(lostMs);
  }

  #recover(failure: StoreFailure): void {
    const { clock, log, kind, onNews } = this.#options;
    const { historyGone, tooLarge } = STORE_FAILURE;
    if (failure.kind === historyGone || failure.kind === tooLarge) {
      const reason = failure.kind;
      log.info("store-history-gone", { kind, at: this.#at, reason });
      this.#at = undefined;
      return;
    }
    if (this.#lostAtMs !== undefined) return;
    this.#lostAtMs = clock.now();
    const { detail } = failure;
    log.warn("store-lost", { kind, reason: failure.kind, detail });
    onNews();
  }
}
