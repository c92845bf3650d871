/**
 * Lets one entry of a data centre read the store for the others. A reader
 * answers questions for news at once when there are some; a follower reads
 * the store itself for each view that the answers don't keep young enough.
 */

import { Agent } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Logger } from "../../adapters/logs.js";
import { pauseFor } from "../../adapters/pause.js";
import { News, NewsQuestion, type Place } from "../../schema/exchange/index.js";
import type { SuspendClock } from "../clock.js";
import { Waiters } from "../waiters.js";
import { sendMessage } from "./peer_messages.js";

/** Path on which entries ask for news. */
export const NEWS_PATH = "/news";
/**
 * Entries of a data centre from which on one of them reads for all: a reader
 * confirms its views more often than an entry that reads for itself only.
 */
const MIN_GROUP = 2;
/** Time for an answer beyond the wait that the question names, ms. */
const ANSWER_SLACK_MS = 300;
/** How long an entry that did not answer is not asked again, ms. */
const AVOID_MS = 5_000;
/** How long any other entry is asked after the store was lost, ms. */
const STORE_LOST_MS = 5_000;
/** Time since the last answer after which there is no reader any more, ms. */
const READER_LOST_MS = 2_000;
/** Pause while there is no entry to ask, ms. */
const IDLE_MS = 250;
/** Time since the last question after which nobody follows any more, ms. */
const FOLLOWED_MS = 3_000;

/** The view of one kind of record that the store holds. */
export interface RelayedView {
  readonly kind: string;
  /** The view holds all changes up to here; undefined until it is loaded. */
  readonly revision: number | undefined;
  /** Time since the store confirmed the view, ms. */
  readonly ageMs: number;
  /** The store does not answer. */
  readonly isLost: boolean;
  hasNewsSince(revision: number): boolean;
  /** Undefined when some changes since the revision are no longer known. */
  listSince(revision: number): readonly Uint8Array[] | undefined;
  /** Takes the changes that another entry has read. */
  take(news: TakenNews): void;
  /** A view that follows makes no calls to the store. */
  follow(isFollowing: boolean): void;
}

export interface TakenNews {
  /** Revision of the view for which the changes were asked. */
  readonly since: number;
  readonly revision: number;
  readonly changes: readonly Uint8Array[];
  /** When the store confirmed the news, on the suspend clock. */
  readonly confirmedAtMs: number;
}

export interface ViewRelayOptions {
  readonly selfName: string;
  readonly views: readonly RelayedView[];
  /** Oldest age at which a view may still be followed, ms, by kind. */
  readonly maxAgeMs: Readonly<Record<string, number>>;
  /** Longest wait of one question, ms. */
  readonly waitMs: number;
  /** Present entries of the same data centre by name. */
  readonly listNeighbours: () => readonly Place[];
  readonly onAnswer: (result: "ok" | "failed") => void;
  /** The entry that reads for this one has lost the store. */
  readonly onSourceLost: () => void;
  readonly clock: SuspendClock;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

export class ViewRelay {
  readonly #options: ViewRelayOptions;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #avoidUntilMs = new Map<string, number>();
  readonly #waiters = new Waiters();
  #storeLostUntilMs = Number.NEGATIVE_INFINITY;
  #askedAtMs = Number.NEGATIVE_INFINITY;
  #answeredAtMs = Number.NEGATIVE_INFINITY;
  #source = "";
  /**
   * An entry tells this one what it can't read itself. Others must not follow
   * it then: two entries could follow each other.
   */
  #isFed = false;
  /** The last answer served for all views. */
  #isFollowing = false;

  constructor(options: ViewRelayOptions) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#agent.destroy(), {
      once: true,
    });
  }

  /** True while other entries follow this one. */
  get isFollowed(): boolean {
    return this.#options.clock.now() - this.#askedAtMs < FOLLOWED_MS;
  }

  /** True while an entry answers that reads the store before this one. */
  get hasReader(): boolean {
    return this.#options.clock.now() - this.#answeredAtMs < READER_LOST_MS;
  }

  /** Tells that a view has changed. */
  notify(): void {
    this.#waiters.wake();
  }

  /** Follows another entry while there is one that reads for this one. */
  async run(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      const source = this.#chooseSource();
      this.#logSource(source?.name ?? "store");
      if (source !== undefined) await this.#ask(source);
      else {
        this.#followNobody();
        await pauseFor(IDLE_MS, signal);
      }
    }
  }

  #chooseSource(): Place | undefined {
    const { views, listNeighbours, selfName, clock } = this.#options;
    if (views.some((view) => view.revision === undefined)) return undefined;
    const nowMs = clock.now();
    const neighbours = listNeighbours();
    const isLost = views.some((view) => view.isLost);
    if (isLost) this.#storeLostUntilMs = nowMs + STORE_LOST_MS;
    const isStoreLost =
      isLost || (this.#isFed && nowMs < this.#storeLostUntilMs);
    if (!isStoreLost && neighbours.length + 1 < MIN_GROUP) return undefined;
    // The first by name reads for all the others.
    return neighbours.find(
      ({ name }) =>
        (isStoreLost || name < selfName) &&
        nowMs >= (this.#avoidUntilMs.get(name) ?? 0),
    );
  }

  #logSource(source: string): void {
    if (source === this.#source) return;
    this.#source = source;
    this.#options.log.info("view-source", { source });
  }

  #followNobody(): void {
    this.#isFed = false;
    this.#isFollowing = false;
    for (const view of this.#options.views) view.follow(false);
  }

  async #ask(source: Place): Promise<void> {
    const { views, waitMs, clock, log, signal } = this.#options;
    const { onAnswer, onSourceLost } = this.#options;
    const asked = views.map((view) => ({ view, since: view.revision ?? 0 }));
    const positions = asked.map(({ view: { kind }, since }) => ({
      kind,
      revision: since,
    }));
    const startedAtMs = clock.now();
    const answer = await sendMessage({
      agent: this.#agent,
      target: source,
      path: NEWS_PATH,
      data: NewsQuestion.encode({ positions, waitMs }).finish(),
      timeoutMs: waitMs + ANSWER_SLACK_MS,
      signal,
    });
    const news = answer.andThen(decodeNews);
    onAnswer(news.isOk() ? "ok" : "failed");
    if (news.isErr()) {
      const reason = news.error;
      log.info("view-source-failed", { source: source.name, reason });
      this.#avoidUntilMs.set(source.name, clock.now() + AVOID_MS);
      this.#followNobody();
      return;
    }
    if (source.name < this.#options.selfName) this.#answeredAtMs = clock.now();
    const message = news.value;
    let isWhole = true;
    // The answer left the source no sooner than it had waited.
    const waitedMs = Math.min(message.waitedMs, clock.now() - startedAtMs);
    const isSourceLost = message.views.some(({ isLost }) => isLost);
    if (isSourceLost && this.#isFollowing) onSourceLost();
    for (const { view, since } of asked) {
      const part = message.views.find(({ kind }) => kind === view.kind);
      const isKnown = part?.isComplete === true && !part.isLost;
      // Where the reader is behind, the view goes on with what it has.
      if (isKnown && part.revision >= since) {
        view.take({
          since,
          revision: part.revision,
          changes: part.changes,
          confirmedAtMs: startedAtMs + waitedMs - part.ageMs,
        });
      }
      const maxAgeMs = this.#options.maxAgeMs[view.kind] ?? 0;
      view.follow(isKnown && view.ageMs <= maxAgeMs);
      isWhole &&= isKnown;
    }
    this.#isFollowing = isWhole;
    this.#isFed = isWhole && source.name > this.#options.selfName;
    // An answer that can't be used may come at once each time.
    if (!isWhole) await pauseFor(IDLE_MS, signal);
  }

  /** Answers a question for news, at once or when there are some. */
  async answer(data: Uint8Array): Promise<Uint8Array> {
    const { views, clock } = this.#options;
    const { positions, waitMs } = this.#decodeQuestion(data);
    const startedAtMs = clock.now();
    this.#askedAtMs = startedAtMs;
    const asked = new Map(
      positions.map(({ kind, revision }) => [kind, revision]),
    );
    const known = views.filter(({ kind }) => asked.has(kind));
    await this.#waiters.waitUntil(
      () =>
        known.some(
          (view) =>
            this.#isFed ||
            view.isLost ||
            view.hasNewsSince(asked.get(view.kind) ?? 0),
        ),
      Math.min(waitMs, this.#options.waitMs),
    );
    return News.encode({
      views: known.map((view) => {
        const changes = view.listSince(asked.get(view.kind) ?? 0);
        return {
          kind: view.kind,
          revision: view.revision ?? 0,
          ageMs: Math.ceil(Math.min(view.ageMs, MAX_AGE_MS)),
          isComplete: changes !== undefined && view.revision !== undefined,
          isLost: this.#isFed || view.isLost,
          changes: [...(changes ?? [])],
        };
      }),
      waitedMs: Math.floor(clock.now() - startedAtMs),
    }).finish();
  }

  /** A malformed question asks for nothing. */
  #decodeQuestion(data: Uint8Array): NewsQuestion {
    try {
      return NewsQuestion.decode(data);
    } catch (error) {
      const reason = String(error);
      this.#options.log.warn("peer-message-skipped", { reason });
      return { positions: [], waitMs: 0 };
    }
  }
}

/** Ages of views that were never confirmed are told as this, ms. */
const MAX_AGE_MS = 1_000_000_000;

function decodeNews(data: Uint8Array): Result<News, string> {
  try {
    return ok(News.decode(data));
  } catch (error) {
    return err(String(error));
  }
}
