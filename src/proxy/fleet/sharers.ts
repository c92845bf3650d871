/**
 * Counts the entries that share a fixed allowance. Counting one too many costs
 * a part of the allowance; counting one too few exceeds it. So an entry that is
 * not heard of counts for long: it may be cut off, and go on.
 */

import { LRUCache } from "lru-cache";

/** Silence after which an entry no longer counts. */
const COUNT_SILENT_MS = 600_000;
/** Time for which an entry that has left counts: it may retry until its end. */
const COUNT_LEFT_MS = 30_000;
const MAX_SHARERS = 10_000;

export class Sharers {
  /** When each other entry was last heard of. */
  readonly #heardAtMs = new LRUCache<string, number>({ max: MAX_SHARERS });
  readonly #leftAtMs = new LRUCache<string, number>({ max: MAX_SHARERS });

  record(name: string, heardAtMs: number): void {
    const known = this.#heardAtMs.get(name) ?? Number.NEGATIVE_INFINITY;
    this.#heardAtMs.set(name, Math.max(known, heardAtMs));
    this.#leftAtMs.delete(name);
  }

  recordLeaving(name: string, nowMs: number): void {
    this.#heardAtMs.delete(name);
    this.#leftAtMs.set(name, nowMs);
  }

  /** True until any other entry was heard of. */
  get isEmpty(): boolean {
    return this.#heardAtMs.size === 0 && this.#leftAtMs.size === 0;
  }

  /** The number of entries, this one included. */
  count(nowMs: number): number {
    const heardAtMs = [...this.#heardAtMs.values()];
    // An entry that hears of none is cut off itself: the others go on.
    const sinceMs = Math.max(...heardAtMs) - COUNT_SILENT_MS;
    const heard = heardAtMs.filter((atMs) => atMs >= sinceMs).length;
    const left = [...this.#leftAtMs.values()].filter(
      (atMs) => atMs >= nowMs - COUNT_LEFT_MS,
    ).length;
    return 1 + heard + left;
  }
}
