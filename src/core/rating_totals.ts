/**
 * Totals of answer ratings by source, exchanged between entries. A total
 * replaces an earlier one of its source, so a repeated report adds nothing.
 */

import type { EvidenceCount } from "../schema/index.js";

/** Called with ratings that were not known before. */
export type EvidenceListener = (increase: RatingIncrease) => void;

/** Ratings that were not known before. */
export interface RatingIncrease {
  readonly requestClass: string;
  readonly version: string;
  readonly accepted: number;
  readonly rejected: number;
}

/** 380 entries times 39 versions and two classes, about 6 MB. */
const MAX_TOTALS = 32_768;
/** 50 counts of about 50 bytes keep a 2 s poll near 1.2 KB/s. */
const MAX_COUNTS_PER_MESSAGE = 50;
const MAX_CURSORS = 2_000;

/**
 * Source of one life of a process; a later life sorts after an earlier one.
 * The start time is fixed in length, so it compares as text.
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
  readonly sequence: number;
}

export class RatingTotals {
  /** In order of the last change. */
  readonly #totals = new Map<string, Total>();
  /** The latest life of each process. */
  readonly #lives = new Map<string, string>();
  /** Last sequence sent to each life of a process. */
  readonly #cursors = new Map<string, number>();
  #sequence = 0;
  #dropped = 0;

  /** Counts dropped because the bound was reached. */
  get dropped(): number {
    return this.#dropped;
  }

  /** Takes a total and gives what it adds to what was known. */
  merge(count: EvidenceCount): RatingIncrease | undefined {
    const { source, requestClass, version } = count;
    if (!this.#isLatestLife(source)) return undefined;
    const key = JSON.stringify([source, requestClass, version]);
    const known = this.#totals.get(key)?.count;
    if (known === undefined && this.#totals.size >= MAX_TOTALS) {
      // Evicting another total would count it twice when it is reported again.
      this.#dropped++;
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

  /** Totals that changed since the last ones taken for a process. */
  takeFor(process: string): EvidenceCount[] {
    const cursor = this.#cursors.get(process) ?? 0;
    if (cursor === this.#sequence) return [];
    const changed = [...this.#totals.values()]
      .filter((total) => total.sequence > cursor)
      .slice(0, MAX_COUNTS_PER_MESSAGE);
    this.#cursors.delete(process);
    this.#cursors.set(process, changed.at(-1)?.sequence ?? this.#sequence);
    this.#trimCursors();
    return changed.map((total) => total.count);
  }

  /** Sends the totals again to a process that did not answer. */
  resetCursor(process: string): void {
    this.#cursors.delete(process);
  }

  /**
   * Drops the totals of earlier lives: they no longer change, and what they
   * added has been reported. This keeps the table within its bound.
   */
  #isLatestLife(source: string): boolean {
    const name = getSourceName(source);
    const latest = this.#lives.get(name);
    if (latest === source) return true;
    if (latest !== undefined && latest > source) return false;
    if (latest === undefined && this.#lives.size >= MAX_TOTALS) return false;
    this.#lives.set(name, source);
    for (const [key, total] of this.#totals) {
      if (total.count.source === latest) this.#totals.delete(key);
    }
    return true;
  }

  #trimCursors(): void {
    for (const name of this.#cursors.keys()) {
      if (this.#cursors.size <= MAX_CURSORS) return;
      this.#cursors.delete(name);
    }
  }
}
