/**
 * Keeps long prompts apart from short ones. Answers the load in which few
 * prompts make up most of the reading: an engine reads in turn, so a short
 * prompt that is sent to it behind a long one waits for a second or more, and
 * an entry sees little of what the others have sent. Every entry ranks the
 * endpoints alike and lets long prompts go to the first of them, as many as
 * their part of the work needs, without a word to the others.
 */

import { LRUCache } from "lru-cache";
import { sortByRendezvous } from "../../core/canonical.js";

/** Part of all work that counts as long, from the longest prompt downwards. */
const LONG_SHARE = 0.35;
/** Requests after which the sizes are known well enough. */
const MIN_REQUESTS = 50;
/** Requests after which the past counts half. */
const HALF_LIFE = 1_000;
/** Endpoints below which lanes would leave too little choice. */
const MIN_ENDPOINTS = 4;
/** Buckets of sizes, each twice as large as the one before. */
const BUCKETS = 32;
/** Services and versions whose ranks are remembered. */
const MAX_RANKS = 100;

/** The work that requests of a service bring, by its size. */
export class WorkSizes {
  readonly #sums = new Array<number>(BUCKETS).fill(0);
  #count = 0;
  #sinceHalved = 0;

  record(size: number): void {
    const bucket = getBucket(size);
    this.#sums[bucket] = (this.#sums[bucket] ?? 0) + size;
    this.#count++;
    this.#sinceHalved++;
    if (this.#sinceHalved < HALF_LIFE) return;
    this.#sinceHalved = 0;
    for (const [index, sum] of this.#sums.entries()) {
      this.#sums[index] = sum / 2;
    }
  }

  /** Size from which work is long, and its share; undefined while unknown. */
  findLong(): { readonly size: number; readonly share: number } | undefined {
    if (this.#count < MIN_REQUESTS) return undefined;
    const total = this.#sums.reduce((sum, part) => sum + part, 0);
    let long = 0;
    for (let bucket = BUCKETS - 1; bucket > 0; bucket--) {
      long += this.#sums[bucket] ?? 0;
      if (long >= LONG_SHARE * total) {
        return { size: 2 ** bucket, share: long / total };
      }
    }
    return undefined;
  }
}

function getBucket(size: number): number {
  return Math.min(BUCKETS - 1, Math.floor(Math.log2(Math.max(1, size))));
}

/** The endpoints of one lane, by id; undefined where there are no lanes. */
export type Lane = ReadonlySet<string> | undefined;

export class Lanes {
  readonly #sizes = new Map<string, WorkSizes>();
  readonly #ranks = new LRUCache<string, readonly string[]>({ max: MAX_RANKS });

  record(service: string, size: number): void {
    let sizes = this.#sizes.get(service);
    if (sizes === undefined) {
      sizes = new WorkSizes();
      this.#sizes.set(service, sizes);
    }
    sizes.record(size);
  }

  /** Where work of a size should go. */
  choose(service: string, size: number, ids: readonly string[]): Lane {
    const long = this.#sizes.get(service)?.findLong();
    if (long === undefined || ids.length < MIN_ENDPOINTS) return undefined;
    const wanted = Math.round(long.share * ids.length);
    const count = Math.min(ids.length - 1, Math.max(1, wanted));
    const ranked = this.#rank(service, ids);
    return new Set(
      size >= long.size ? ranked.slice(0, count) : ranked.slice(count),
    );
  }

  #rank(service: string, ids: readonly string[]): readonly string[] {
    const key = `${service} ${ids.join(" ")}`;
    const known = this.#ranks.get(key);
    if (known !== undefined) return known;
    const ranked = sortByRendezvous(`lane ${service}`, ids);
    this.#ranks.set(key, ranked);
    return ranked;
  }
}
