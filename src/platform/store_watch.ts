/**
 * Keeps a view of all objects of one kind up to date. It lists them once and
 * then gets their changes from the store or from another entry that reads it.
 */

import type { Logger } from "../adapters/logger.js";
import { pauseFor } from "../adapters/pause_for.js";
import { MAX_STORE_LIST_BYTES } from "../adapters/received/index.js";
import { RepeatLog } from "../adapters/repeat_log.js";
import {
  ChangeLog,
  type RelayedChanges,
  type RelayedView,
  type SuspendClock,
} from "../proxy/index.js";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";
import {
  type ObjectEvent,
  parseEvent,
  type StoreClient,
  type StoredObject,
  serializeEvent,
  type ViewKind,
} from "./store_client.js";
import {
  CALL_ABANDONED,
  type CallOutcome,
  type StoreOutage,
} from "./store_outage.js";

/** Time within which a watch call on an open connection reaches the store, ms. */
const WATCH_ARRIVAL_MS = 100;
/** Time in which changes arrive on two connections one after the other, ms. */
const CHANGE_ARRIVAL_MS = 150;

/**
 * Follows the name of an outdated object in the log of changes. The newer change
 * stays there as well: only with it can other entries tell which is outdated.
 */
const OUTDATED_SUFFIX = "\0outdated";

/** Pause after a round that failed by an error in the entry's code, ms. */
const ERROR_PAUSE_MS = 1_000;

export interface WatchHandlers {
  onList(objects: readonly StoredObject[]): void;
  /** Returns false if the view holds a newer state of the object. */
  onChange(object: StoredObject): boolean;
  /** Called with the object as it was last. */
  onDelete(object: StoredObject): void;
  /** The view was current at this time of the suspend clock. */
  onConfirm?(atMs: number): void;
  /** The store answers again after it did not for `lostMs`. */
  onRegained?(lostMs: number): void;
}

export interface WatchState {
  readonly ageMs: number;
  /** The last call returned changes, so that more may follow. */
  readonly hasChanged: boolean;
}

export interface WatchOptions {
  readonly kind: ViewKind;
  readonly store: Pick<StoreClient, "list" | "watch">;
  /** Longest wait of the next watch call, ms; bounds the age of the view. */
  readonly getWaitMs: (state: WatchState) => number;
  /** Pause after a list or changes, to collect further changes, ms. */
  readonly getPauseMs: (ageMs: number, isAfterList: boolean) => number;
  /**
   * Whether a call that returns changes confirms the view as of its start, not
   * its end. Changes that come late, after a cut of the network, then don't
   * make the view count as recent.
   */
  readonly confirmsAtCallStart: boolean;
  /** Era of the store, 0 if it is not known. */
  readonly getEra: () => number;
  /** When the store last answered this entry, on the suspend clock. */
  readonly getReachedAtMs: () => number;
  readonly outage: StoreOutage;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly handlers: WatchHandlers;
  /** Called when the view has changed or the store was lost. */
  readonly onViewChange: () => void;
  /** Called when a watch call got no answer in time. */
  readonly onTimeout?: () => void;
  /** Called with the store's revision that an answer names. */
  readonly onRevision?: (
    revision: number,
    events: readonly ObjectEvent[],
  ) => void;
  readonly signal: AbortSignal;
}

export class StoreWatch implements RelayedView {
  readonly #options: WatchOptions;
  #revision: number | undefined;
  #isLoaded = false;
  /** Ends the pending watch call. */
  #watchController = new AbortController();
  #lostAtMs: number | undefined;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #reachedAtMs = Number.NEGATIVE_INFINITY;
  /** When the pending watch call was sent. */
  #watchSentAtMs: number | undefined;
  #hasChanged = false;
  /** The pending watch call was given up for another one. */
  #isRenewed = false;
  /** The view is to have all changes up to here as soon as possible. */
  #wantedRevision = 0;
  /** Revision of the store up to which no change is missing. */
  #checkedRevision = 0;
  readonly #changes = new ChangeLog<ObjectEvent>();
  /** Another entry reads the store for this one. */
  #isFollowing = false;
  readonly #oddLog: RepeatLog;
  #stopWaiting: () => void = () => {};

  constructor(options: WatchOptions) {
    this.#options = options;
    const { log, clock } = options;
    this.#oddLog = new RepeatLog({ log, now: () => clock.now() });
  }

  /** True once all objects were listed. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Lists all objects again; until then the view stays as it is. */
  restart(): void {
    this.#revision = undefined;
    this.#checkedRevision = 0;
    this.#wantedRevision = 0;
    this.#watchSentAtMs = undefined;
    this.#watchController.abort();
    this.setFollowing(false);
  }

  /** Gives up a pending watch call, whose connection may be silent. */
  renew(): void {
    if (this.#watchSentAtMs !== undefined) this.#abandonWatch();
  }

  /**
   * Reads the store at once, on a new connection, unless the view has all
   * changes up to the revision.
   */
  catchUp(revision: number): void {
    if ((this.#revision ?? 0) >= revision) return;
    this.#wantedRevision = Math.max(this.#wantedRevision, revision);
    this.#abandonWatch();
    this.setFollowing(false);
  }

  #abandonWatch(): void {
    this.#watchSentAtMs = undefined;
    this.#isRenewed = true;
    this.#watchController.abort();
  }

  /**
   * Called when an answer to another call names the store's revision. A watch
   * call that still waits then has missed a change, unless the changes were
   * of other kinds.
   */
  checkRevision(revision: number, events: readonly ObjectEvent[]): void {
    const sentAtMs = this.#watchSentAtMs;
    const checked = Math.max(this.#checkedRevision, this.#revision ?? 0);
    const { length: known } = events.filter(
      ({ object }) => object.revision > checked,
    );
    if (revision - known <= checked) {
      this.#checkedRevision = Math.max(checked, revision);
      return;
    }
    if (sentAtMs === undefined) return;
    const check = async () => {
      await pauseFor(CHANGE_ARRIVAL_MS, this.#options.signal);
      if (this.#watchSentAtMs !== sentAtMs) return;
      this.#checkedRevision = Math.max(this.#checkedRevision, revision);
      this.renew();
    };
    void check();
  }

  get isFollowing(): boolean {
    return this.#isFollowing;
  }

  get kind(): string {
    return this.#options.kind;
  }

  get revision(): number | undefined {
    return this.#revision;
  }

  /** When the store itself, not another entry, last confirmed the view. */
  get reachedAtMs(): number {
    return this.#reachedAtMs;
  }

  /**
   * A watch call that still waits would have returned changes, so the store's
   * last answer to another call confirms the view too.
   */
  get ageMs(): number {
    const { clock, getReachedAtMs } = this.#options;
    const reachedAtMs = getReachedAtMs();
    const isWatching =
      this.#watchSentAtMs !== undefined &&
      reachedAtMs >= this.#watchSentAtMs + WATCH_ARRIVAL_MS;
    const confirmedAtMs = isWatching
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
    // The store has returned newer changes in the meantime.
    if (this.#revision !== news.sinceRevision) return;
    const results = news.changes.map(parseEvent);
    this.#logSkipped(
      results.flatMap((result) =>
        result.isErr() ? [result.error.detail] : [],
      ),
    );
    this.#applyEvents(
      results.flatMap((result) => (result.isOk() ? [result.value] : [])),
      news.revision,
    );
    this.#confirm(news.confirmedAtMs);
    this.#recordRegained();
  }

  setFollowing(isFollowing: boolean): void {
    this.#isFollowing = isFollowing;
    if (!isFollowing) this.#stopWaiting();
  }

  /** Waits while another entry reads for this one. */
  async #waitForTurn(): Promise<void> {
    const { signal } = this.#options;
    if (!this.#isFollowing || signal.aborted) return;
    await new Promise<void>((resolve) => {
      this.#stopWaiting = () => {
        signal.removeEventListener("abort", this.#stopWaiting);
        resolve();
      };
      signal.addEventListener("abort", this.#stopWaiting, { once: true });
    });
  }

  #applyEvents(events: readonly ObjectEvent[], revision: number): void {
    const { handlers, onViewChange } = this.#options;
    for (const event of events) {
      const { object, isDeleted } = event;
      if (isDeleted) {
        handlers.onDelete(object);
        // A deleted object may still have the revision of its last change.
        this.#changes.put(object.name, revision, event);
        continue;
      }
      const suffix = handlers.onChange(object) ? "" : OUTDATED_SUFFIX;
      this.#changes.put(`${object.name}${suffix}`, object.revision, event);
    }
    this.#revision = Math.max(this.#revision ?? 0, revision);
    if (events.length > 0) onViewChange();
  }

  #confirm(atMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, atMs);
    this.#options.handlers.onConfirm?.(atMs);
  }

  #confirmByStore(atMs: number): void {
    this.#reachedAtMs = Math.max(this.#reachedAtMs, atMs);
    this.#confirm(atMs);
  }

  async run(): Promise<void> {
    const { signal, outage, getPauseMs } = this.#options;
    const readStore = async () => {
      const failure =
        this.#revision === undefined ? await this.#list() : await this.#watch();
      if (signal.aborted || failure === CALL_ABANDONED) return failure;
      if (failure === undefined) this.#recordRegained();
      else this.#handleFailure(failure);
      return failure;
    };
    const runRound = async () => {
      await this.#waitForTurn();
      const isAfterList = this.#revision === undefined;
      await outage.run(readStore, () => !this.#isFollowing);
      if (!this.#hasChanged) return;
      await pauseFor(getPauseMs(this.ageMs, isAfterList), signal);
    };
    while (!signal.aborted) {
      try {
        await runRound();
      } catch (error) {
        this.#reportError(error);
        await pauseFor(ERROR_PAUSE_MS, signal);
      }
    }
  }

  /** A part of the changes may be applied, so all objects are listed again. */
  #reportError(error: unknown): void {
    const { kind } = this.#options;
    const reason = String(error);
    this.#oddLog.error(reason, "view-round-failed", { kind, reason });
    this.#revision = undefined;
  }

  async #list(): Promise<StoreFailure | undefined> {
    const { store, kind, clock, handlers, log, getEra } = this.#options;
    const startedAtMs = clock.now();
    let era = getEra();
    const objects: StoredObject[] = [];
    let after: string | undefined;
    let firstRevision: number | undefined;
    let sizeBytes = 0;
    for (;;) {
      const result = await store.list(kind, after);
      if (result.isErr()) return result.error;
      // Pages of two eras don't fit together.
      if (after === undefined) era = getEra();
      else if (getEra() !== era) return undefined;
      const page = result.value;
      objects.push(...page.objects);
      this.#logSkipped(page.skipReasons);
      // The first watch call returns the changes between the pages.
      firstRevision ??= page.storeRevision;
      if (!page.hasMore) break;
      const { lastName } = page;
      sizeBytes += page.sizeBytes ?? 0;
      if (
        lastName === undefined ||
        lastName === after ||
        sizeBytes > MAX_STORE_LIST_BYTES
      ) {
        // Without a further name each call would return this page again.
        log.warn("list-incomplete", { kind, count: objects.length });
        break;
      }
      after = lastName;
    }
    this.#revision = firstRevision;
    this.#isLoaded = true;
    this.#changes.reset(firstRevision);
    log.info("store-listed", {
      kind,
      count: objects.length,
      at: firstRevision,
      era,
    });
    handlers.onList(objects);
    this.#confirmByStore(startedAtMs);
    // Causes a pause: a new entry soon finds another one to follow, and then
    // needs no watch call.
    this.#hasChanged = true;
    return undefined;
  }

  async #watch(): Promise<CallOutcome> {
    const { store, kind, clock, outage, getWaitMs, confirmsAtCallStart } =
      this.#options;
    const { ageMs } = this;
    const hasChanged = this.#hasChanged;
    this.#hasChanged = false;
    this.#isRenewed = false;
    const sinceRevision = this.#revision ?? 0;
    // While the store is lost, calls without a wait soon find that it is back.
    const isShort =
      this.isLost || outage.isOngoing || sinceRevision < this.#wantedRevision;
    const waitMs = isShort ? 0 : getWaitMs({ ageMs, hasChanged });
    const startedAtMs = clock.now();
    const controller = new AbortController();
    this.#watchController = controller;
    const { signal } = controller;
    const result = await store.watch(kind, sinceRevision, {
      waitMs,
      signal,
      // A connection may open seconds later if its first packet is lost.
      onSend: () => {
        this.#watchSentAtMs = clock.now();
      },
    });
    this.#watchSentAtMs = undefined;
    if (this.#isRenewed) return CALL_ABANDONED;
    if (signal.aborted) return undefined;
    if (result.isErr()) return result.error;
    this.#wantedRevision = 0;
    // Another entry has sent newer changes in the meantime.
    if (this.#revision !== sinceRevision) return undefined;
    const { events, skipReasons, storeRevision } = result.value;
    this.#logSkipped(skipReasons);
    this.#applyEvents(events, storeRevision);
    this.#options.onRevision?.(storeRevision, events);
    this.#hasChanged = events.length + skipReasons.length > 0;
    const durationMs = clock.now() - startedAtMs;
    // Time after the start as of which the call confirms the view. Without
    // changes the store answered no sooner than after the wait.
    const unchangedAfterMs = Math.min(waitMs, durationMs);
    const changedAfterMs = confirmsAtCallStart ? 0 : durationMs;
    this.#confirmByStore(
      startedAtMs + (this.#hasChanged ? changedAfterMs : unchangedAfterMs),
    );
    return undefined;
  }

  #logSkipped(skipReasons: readonly string[]): void {
    const { kind } = this.#options;
    for (const reason of skipReasons)
      this.#oddLog.warn(reason, "object-skipped", { kind, reason });
  }

  #recordRegained(): void {
    const { clock, log, kind, handlers } = this.#options;
    if (this.#lostAtMs === undefined) return;
    const lostMs = Math.round(clock.now() - this.#lostAtMs);
    this.#lostAtMs = undefined;
    log.info("store-regained", { kind, lostMs });
    handlers.onRegained?.(lostMs);
  }

  #handleFailure(failure: StoreFailure): void {
    const { clock, log, kind, onViewChange } = this.#options;
    const { historyGone, tooLarge } = STORE_FAILURE;
    if (failure.kind === historyGone || failure.kind === tooLarge) {
      const reason = failure.kind;
      log.info("store-history-gone", { kind, at: this.#revision, reason });
      this.#revision = undefined;
      return;
    }
    if (failure.isTimeout) this.#options.onTimeout?.();
    if (this.#lostAtMs !== undefined) return;
    this.#lostAtMs = clock.now();
    const { detail } = failure;
    log.warn("store-lost", { kind, reason: failure.kind, detail });
    onViewChange();
  }
}
