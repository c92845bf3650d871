/**
 * Lets one entry of a data centre, the reader, read the store for the others,
 * its followers. A follower asks the reader for news: the changes since the
 * revisions of its views. The reader answers as soon as there are changes. A
 * follower reads the store itself for views that the answers don't keep recent.
 */

import { Agent } from "node:http";
import type { Logger } from "../../adapters/logger.js";
import { pauseFor } from "../../adapters/pause_for.js";
import { RepeatLog } from "../../adapters/repeat_log.js";
import { News, NewsQuestion, type Place } from "../../schema/exchange/index.js";
import type { SuspendClock } from "../suspend_clock.js";
import { Waiters } from "../waiters.js";
import { decodeNews, decodeNewsQuestion } from "./decode_messages.js";
import { sendMessage, toMessageNumber } from "./peer_messages.js";

/** HTTP path on which entries ask for news. */
export const NEWS_PATH = "/news";
/**
 * With fewer entries in a data centre each reads for itself, since a reader
 * confirms its views with the store more often than an entry without followers.
 */
const MIN_ENTRIES_FOR_READER = 2;
/** Time for an answer on top of the wait that the question allows. */
const ANSWER_SLACK_MS = 300;
/** Time in which an entry that failed to answer is not asked again. */
const SKIP_FAILED_SOURCE_MS = 5_000;
/** Time after the loss of the store in which a fallback source may be used. */
const FALLBACK_SOURCE_MS = 5_000;
/** Time without an answer after which the reader counts as gone. */
const READER_GONE_MS = 2_000;
/** Pause while there is no entry to ask, and after an unusable answer. */
const IDLE_PAUSE_MS = 250;
/** Time without a question after which the followers count as gone. */
const FOLLOWER_GONE_MS = 3_000;

/** This entry's copy of one kind of record in the store. */
export interface RelayedView {
  readonly kind: string;
  /** The view holds all changes up to here; undefined until it is loaded. */
  readonly revision: number | undefined;
  /** Time since the store confirmed that the view is current. */
  readonly ageMs: number;
  /** The store does not answer. */
  readonly isLost: boolean;
  hasChangesSince(revision: number): boolean;
  /** Undefined when some changes since the revision are no longer known. */
  listChangesSince(revision: number): readonly Uint8Array[] | undefined;
  /** Applies the changes that another entry has read. */
  applyChanges(news: RelayedChanges): void;
  /** A view that follows another entry makes no calls to the store. */
  setFollowing(isFollowing: boolean): void;
}

/** Changes that another entry has read from the store. */
export interface RelayedChanges {
  /** The changes are those after this revision. */
  readonly sinceRevision: number;
  /** Revision of the view with the changes. */
  readonly revision: number;
  readonly changes: readonly Uint8Array[];
  /** When the store confirmed that revision, on the suspend clock. */
  readonly confirmedAtMs: number;
}

export interface ViewRelayOptions {
  readonly selfName: string;
  readonly views: readonly RelayedView[];
  /** Largest age of a view at which it goes on following, by kind. */
  readonly maxAgeMs: Readonly<Record<string, number>>;
  /** Longest time for which an answer is held back without changes. */
  readonly waitMs: number;
  /** Era of the store; revisions of different eras can't be compared. */
  readonly getEra: () => number;
  /** Another entry has seen this era. */
  readonly onEra: (era: number) => void;
  /** The other present entries of the data centre, sorted by name. */
  readonly listNeighbours: () => readonly Place[];
  readonly onAnswer: (result: "ok" | "failed") => void;
  /** The followed entry has lost the store. */
  readonly onSourceLost: () => void;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

export class ViewRelay {
  readonly #options: ViewRelayOptions;
  readonly #agent = new Agent({ keepAlive: true });
  /** Failed sources are not asked again until then, by name. */
  readonly #skipUntilMs = new Map<string, number>();
  readonly #waiters = new Waiters();
  readonly #oddLog: RepeatLog;
  #fallbackUntilMs = Number.NEGATIVE_INFINITY;
  #lastAskedAtMs = Number.NEGATIVE_INFINITY;
  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  #loggedSource = "";
  /**
   * This entry has lost the store and follows one that comes after it by name.
   * It then reports its own views as lost, so that no entry follows it: the two
   * could otherwise follow each other.
   */
  #usesFallbackSource = false;
  /** The last answer was usable for all views. */
  #isFollowing = false;

  constructor(options: ViewRelayOptions) {
    this.#options = options;
    const { log, clock } = options;
    this.#oddLog = new RepeatLog({ log, now: () => clock.now() });
    options.signal.addEventListener("abort", () => this.#agent.destroy(), {
      once: true,
    });
  }

  /** True while other entries follow this one. */
  get isFollowed(): boolean {
    return this.#options.clock.now() - this.#lastAskedAtMs < FOLLOWER_GONE_MS;
  }

  /** True while an entry that comes before this one by name answers it. */
  get hasReader(): boolean {
    return this.#options.clock.now() - this.#lastAnswerAtMs < READER_GONE_MS;
  }

  /** To be called when a view has changed; sends the waiting answers. */
  notifyChange(): void {
    this.#waiters.wake();
  }

  /** Follows another entry while there is a suitable one. */
  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      try {
        await this.#runRound();
      } catch (error) {
        const reason = String(error);
        this.#oddLog.error(reason, "relay-round-failed", { reason });
        this.#stopFollowing();
        await pauseFor(IDLE_PAUSE_MS, signal);
      }
    }
  }

  async #runRound(): Promise<void> {
    const source = this.#chooseSource();
    this.#logSource(source?.name ?? "store");
    if (source !== undefined) return await this.#askForNews(source);
    this.#stopFollowing();
    await pauseFor(IDLE_PAUSE_MS, this.#options.signal);
  }

  #chooseSource(): Place | undefined {
    const { views, listNeighbours, selfName, clock } = this.#options;
    if (views.some((view) => view.revision === undefined)) return undefined;
    const nowMs = clock.now();
    const neighbours = listNeighbours();
    const isLost = views.some((view) => view.isLost);
    if (isLost) this.#fallbackUntilMs = nowMs + FALLBACK_SOURCE_MS;
    const isStoreLost =
      isLost || (this.#usesFallbackSource && nowMs < this.#fallbackUntilMs);
    if (!isStoreLost && neighbours.length + 1 < MIN_ENTRIES_FOR_READER)
      return undefined;
    // The first entry by name is the reader of all the others.
    return neighbours.find(
      ({ name }) =>
        (isStoreLost || name < selfName) &&
        nowMs >= (this.#skipUntilMs.get(name) ?? 0),
    );
  }

  #logSource(source: string): void {
    if (source === this.#loggedSource) return;
    this.#loggedSource = source;
    this.#options.log.info("view-source", { source });
  }

  #stopFollowing(): void {
    this.#usesFallbackSource = false;
    this.#isFollowing = false;
    for (const view of this.#options.views) view.setFollowing(false);
  }

  async #askForNews(source: Place): Promise<void> {
    const { views, waitMs, clock, log, signal } = this.#options;
    const { onAnswer, onSourceLost, getEra, onEra } = this.#options;
    const era = getEra();
    const askedViews = views.map((view) => ({
      view,
      since: view.revision ?? 0,
    }));
    const positions = askedViews.map(({ view: { kind }, since }) => ({
      kind,
      revision: since,
    }));
    const startedAtMs = clock.now();
    const answer = await sendMessage({
      agent: this.#agent,
      target: source,
      path: NEWS_PATH,
      data: NewsQuestion.encode({ positions, waitMs, era }).finish(),
      timeoutMs: waitMs + ANSWER_SLACK_MS,
      signal,
    });
    const news = answer.andThen(decodeNews);
    onAnswer(news.isOk() ? "ok" : "failed");
    if (news.isErr()) {
      const reason = news.error;
      log.info("view-source-failed", { source: source.name, reason });
      this.#skipUntilMs.set(source.name, clock.now() + SKIP_FAILED_SOURCE_MS);
      this.#stopFollowing();
      return;
    }
    if (source.name < this.#options.selfName)
      this.#lastAnswerAtMs = clock.now();
    const message = news.value;
    onEra(message.era);
    const isSameEra = message.era === era && getEra() === era;
    let areAllUsable = true;
    // The source sent the answer after this wait at the earliest.
    const waitedMs = Math.min(message.waitedMs, clock.now() - startedAtMs);
    const isSourceLost = message.views.some(({ isLost }) => isLost);
    if (isSourceLost && this.#isFollowing) onSourceLost();
    for (const { view, since } of askedViews) {
      const viewNews = message.views.find(({ kind }) => kind === view.kind);
      const isUsable =
        isSameEra && viewNews?.isComplete === true && !viewNews.isLost;
      // If the source is behind, the view keeps what it has.
      if (isUsable && viewNews.revision >= since) {
        view.applyChanges({
          sinceRevision: since,
          revision: viewNews.revision,
          changes: viewNews.changes,
          confirmedAtMs: startedAtMs + waitedMs - viewNews.ageMs,
        });
      }
      const maxAgeMs = this.#options.maxAgeMs[view.kind] ?? 0;
      view.setFollowing(isUsable && view.ageMs <= maxAgeMs);
      areAllUsable &&= isUsable;
    }
    this.#isFollowing = areAllUsable;
    this.#usesFallbackSource =
      areAllUsable && source.name > this.#options.selfName;
    // Unusable answers may arrive at once each time; don't ask in a tight loop.
    if (!areAllUsable) await pauseFor(IDLE_PAUSE_MS, signal);
  }

  /** Answers a question for news as soon as there are changes. */
  async answer(data: Uint8Array): Promise<Uint8Array> {
    const { views, clock, getEra, onEra } = this.#options;
    const { positions, waitMs, era } = this.#decodeQuestion(data);
    onEra(era);
    const startedAtMs = clock.now();
    this.#lastAskedAtMs = startedAtMs;
    const askedRevisions = new Map(
      positions.map(({ kind, revision }) => [kind, revision]),
    );
    const askedViews = views.filter(({ kind }) => askedRevisions.has(kind));
    await this.#waiters.waitUntil(
      () =>
        askedViews.some(
          (view) =>
            era !== getEra() ||
            this.#usesFallbackSource ||
            view.isLost ||
            view.hasChangesSince(askedRevisions.get(view.kind) ?? 0),
        ),
      Math.min(waitMs, this.#options.waitMs),
    );
    const isSameEra = era === getEra();
    return News.encode({
      era: getEra(),
      views: askedViews.map((view) => {
        const changes = view.listChangesSince(
          askedRevisions.get(view.kind) ?? 0,
        );
        return {
          kind: view.kind,
          revision: view.revision ?? 0,
          ageMs: toMessageNumber(
            Math.ceil(Math.min(view.ageMs, MAX_REPORTED_AGE_MS)),
          ),
          isComplete:
            isSameEra && changes !== undefined && view.revision !== undefined,
          isLost: this.#usesFallbackSource || view.isLost,
          changes: [...(changes ?? [])],
        };
      }),
      waitedMs: toMessageNumber(Math.floor(clock.now() - startedAtMs)),
    }).finish();
  }

  /** A malformed question is answered as if it named no views. */
  #decodeQuestion(data: Uint8Array): NewsQuestion {
    const question = decodeNewsQuestion(data);
    if (question.isOk()) return question.value;
    const reason = question.error;
    this.#oddLog.warn("skipped", "peer-message-skipped", { reason });
    return { positions: [], waitMs: 0, era: this.#options.getEra() };
  }
}

/** Age in answers of views that were never confirmed. */
const MAX_REPORTED_AGE_MS = 1_000_000_000;
