/** Keeps up with all objects of one kind: a whole list, then its changes. */

import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "../adapters/logs.js";
import type { SuspendClock } from "../proxy/index.js";
import { STORE_FAILURE, type StoreFailure } from "./errors.js";
import type { Kind, StoreClient, StoredObject } from "./store_client.js";

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
  /** Longest wait of one watch call, ms; bounds how old the view may be. */
  readonly waitMs: number;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly random: () => number;
  readonly handlers: WatchHandlers;
  readonly signal: AbortSignal;
}

export class StoreWatch {
  readonly #options: WatchOptions;
  #at: number | undefined;
  #lostAtMs: number | undefined;
  #pauseMs = FIRST_PAUSE_MS;

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  /** True once a whole list was read. */
  get isLoaded(): boolean {
    return this.#at !== undefined;
  }

  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
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
    log.info("store-listed", { kind, count: objects.length, at: firstAt });
    handlers.onList(objects);
    handlers.onConfirm?.(startedAtMs);
    return undefined;
  }

  async #watch(): Promise<StoreFailure | undefined> {
    const { store, kind, clock, handlers } = this.#options;
    // While the store is lost, short calls find out soon that it is back.
    const waitMs = this.#lostAtMs === undefined ? this.#options.waitMs : 0;
    const startedAtMs = clock.now();
    const result = await store.watch(kind, this.#at ?? 0, waitMs);
    if (result.isErr()) return result.error;
    const { changed, deleted, skipped, at } = result.value;
    this.#logSkipped(skipped);
    for (const object of changed) handlers.onChange(object);
    for (const name of deleted) handlers.onDelete(name);
    this.#at = Math.max(this.#at ?? 0, at);
    const isQuiet = changed.length + deleted.length + skipped.length === 0;
    // A quiet watch ended at the store no sooner than its wait.
    const waitedMs = isQuiet ? Math.min(waitMs, clock.now() - startedAtMs) : 0;
    handlers.onConfirm?.(startedAtMs + waitedMs);
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
    const { clock, log, kind, random, signal } = this.#options;
    if (failure.kind === STORE_FAILURE.historyGone) {
      log.info("store-history-gone", { kind, at: this.#at });
      this.#at = undefined;
      return;
    }
    if (this.#lostAtMs === undefined) {
      this.#lostAtMs = clock.now();
      const { detail } = failure;
      log.warn("store-lost", { kind, reason: failure.kind, detail });
    }
    const pauseMs = this.#pauseMs * (0.5 + random());
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, this.#pauseMs * 2);
    await delay(pauseMs, undefined, { signal }).catch(() => undefined);
  }
}
