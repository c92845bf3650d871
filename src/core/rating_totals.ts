/**
 * Totals of answer ratings by source, exchanged between entries. A total
 * replaces an earlier one of its source, so that repeated reports add nothing.
 */

import type { EvidenceCount } from "../schema/index.js";

/** Called with ratings that were not known before. */
export type RatingIncreaseListener = (increase: RatingIncrease) => void;

/** Ratings that were not known before. */
export interface RatingIncrease {
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: number;
  readonly rejected: number;
}

/** Enough for 380 entries, 39 versions and two classes; about 6 MB. */
const MAX_TOTALS = 32_768;
/** 50 counts of about 50 bytes in a poll every 2 s are about 1.2 KB/s. */
const MAX_COUNTS_PER_MESSAGE = 50;
const MAX_REMEMBERED_PROCESSES = 2_000;

/**
 * Source name of one run of a process; a later run sorts after an earlier one.
 * The start time has a fixed length, so that it compares as text.
 */
export function formatSource(name: string, startedAtMs: number): string {
  const start = Math.trunc(startedAtMs).toString(36).padStart(9, "0");
  return `${name}/${start}`;
}

/** Name of the process that a source belongs to. */
export function getSourceName(source: string): string {
  return source.split("/")[0] ?? source;
}

interface Total {
  readonly count: EvidenceCount;
  /** Number of the change that set the total. */
  readonly sequence: number;
}

export class RatingTotals {
  /** In order of the last change. */
  readonly #totals = new Map<string, Total>();
  /** Source of the latest run of each process, by process name. */
  readonly #latestSources = new Map<string, string>();
  /** Sequence of the last total sent to each process. */
  readonly #lastSentSequences = new Map<string, number>();
  #sequence = 0;
  #droppedCount = 0;

  /** Counts dropped because the table was full. */
  get dropped(): number {
    return this.#droppedCount;
  }

  /** Stores a total and returns what it adds to the known one. */
  merge(count: EvidenceCount): RatingIncrease | undefined {
    const { source, requestClass, version } = count;
    if (!this.#isLatestSource(source)) return undefined;
    const key = JSON.stringify([source, requestClass, version]);
    const known = this.#totals.get(key)?.count;
    if (known === undefined && this.#totals.size >= MAX_TOTALS) {
      // Evicting another total would count it twice when it is reported again.
      this.#droppedCount++;
      return undefined;
    }
    const accepted = Math.max(0, count.accepted - (known?.accepted ?? 0));
    const rejected = Math.max(0, count.rejected - (known?.rejected ?? 0));
    if (accepted === 0 && rejected === 0) return undefined;
    this.#totals.delete(key);
    this.#totals.set(key, {
      count: {
        source,
        requestClass,
        version,
        accepted: (known?.accepted ?? 0) + accepted,
        rejected: (known?.rejected ?? 0) + rejected,
      },
      sequence: ++this.#sequence,
    });
    return { requestClass, version, accepted, rejected };
  }

  /** Adds ratings of this process to its own total. */
  add(source: string, increase: RatingIncrease): void {
    const { requestClass, version } = increase;
    const key = JSON.stringify([source, requestClass, version]);
    const known = this.#totals.get(key)?.count;
    this.merge({
      source,
      requestClass,
      version,
      accepted: (known?.accepted ?? 0) + increase.accepted,
      rejected: (known?.rejected ?? 0) + increase.rejected,
    });
  }

  /** Totals that changed since the last ones taken for the process. */
  takeChangesFor(process: string): EvidenceCount[] {
    const lastSentSequence = this.#lastSentSequences.get(process) ?? 0;
    if (lastSentSequence === this.#sequence) return [];
    const changed = [...this.#totals.values()]
      .filter((total) => total.sequence > lastSentSequence)
      .slice(0, MAX_COUNTS_PER_MESSAGE);
    this.#lastSentSequences.delete(process);
    this.#lastSentSequences.set(
      process,
      changed.at(-1)?.sequence ?? this.#sequence,
    );
    this.#trimSentSequences();
    return changed.map((total) => total.count);
  }

  /** Sends all totals again to a process that did not answer. */
  resendAll(process: string): void {
    this.#lastSentSequences.delete(process);
  }

  /**
   * False for a source of an earlier run. A new run drops the totals of earlier
   * ones, which no longer change and have been reported, so that restarts
   * don't fill the table.
   */
  #isLatestSource(source: string): boolean {
    const name = getSourceName(source);
    const latest = this.#latestSources.get(name);
    if (latest === source) return true;
    if (latest !== undefined && latest > source) return false;
    if (latest === undefined && this.#latestSources.size >= MAX_TOTALS)
      return false;
    this.#latestSources.set(name, source);
    for (const [key, total] of this.#totals) {
      if (total.count.source === latest) this.#totals.delete(key);
    }
    return true;
  }

  #trimSentSequences(): void {
    for (const name of this.#lastSentSequences.keys()) {
      if (this.#lastSentSequences.size <= MAX_REMEMBERED_PROCESSES) return;
      this.#lastSentSequences.delete(name);
    }
  }
}
