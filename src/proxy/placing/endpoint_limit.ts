/**
 * The rate of requests that one endpoint takes from all entries together, and
 * what this entry has sent of its part.
 */

import { TokenBucket, type TokenRate } from "./token_bucket.js";

const MS_PER_SECOND = 1_000;
/** Longest delay after which refused callers are told to return. */
const MAX_RETURN_DELAY_MS = 5_000;

/** How a newly heard rate differs from the one known before. */
export const LIMIT_CHANGE = {
  none: "none",
  set: "set",
  changed: "changed",
  ended: "ended",
} as const;
export type LimitChange = (typeof LIMIT_CHANGE)[keyof typeof LIMIT_CHANGE];

export interface LimitUpdate {
  /** Requests per second; undefined where an answer names no limit. */
  readonly perSecond: number | undefined;
  /** When the answer came, on a clock that counts suspensions. */
  readonly heardAtMs: number;
  /** Monotonic clock, ms, as in the other methods. */
  readonly nowMs: number;
  /** Tokens to begin with; random, so that entries don't send in step. */
  readonly firstTokens: number;
}

export class EndpointLimit {
  #perSecond: number | undefined;
  #heardAtMs = Number.NEGATIVE_INFINITY;
  #changedAtMs = Number.NEGATIVE_INFINITY;
  #bucket = new TokenBucket(0, 0);
  #reservedTokens = 0;
  #sentRequests = 0;
  #lastReturnAtMs = Number.NEGATIVE_INFINITY;

  /** Requests per second; undefined while there is no limit. */
  get perSecond(): number | undefined {
    return this.#perSecond;
  }

  /** When an answer last confirmed the limit, or its end; see `LimitUpdate`. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** When the limit was set, changed or ended. */
  get changedAtMs(): number {
    return this.#changedAtMs;
  }

  /** Requests since the limit was set. */
  get sentRequests(): number {
    return this.#sentRequests;
  }

  /** Ignores what is older than the latest known. */
  update(update: LimitUpdate): LimitChange {
    const { perSecond, heardAtMs, nowMs, firstTokens } = update;
    const before = this.#perSecond;
    const wasNeverSet = this.#changedAtMs === Number.NEGATIVE_INFINITY;
    if (perSecond === undefined && wasNeverSet) return LIMIT_CHANGE.none;
    if (heardAtMs <= this.#heardAtMs) return LIMIT_CHANGE.none;
    this.#heardAtMs = heardAtMs;
    if (before === perSecond) return LIMIT_CHANGE.none;
    this.#perSecond = perSecond;
    this.#changedAtMs = nowMs;
    if (perSecond === undefined) return LIMIT_CHANGE.ended;
    if (before !== undefined) return LIMIT_CHANGE.changed;
    this.#bucket = new TokenBucket(firstTokens, nowMs);
    this.#sentRequests = 0;
    return LIMIT_CHANGE.set;
  }

  /** `share` is this entry's part of the rate. */
  hasToken(share: TokenRate, nowMs: number): boolean {
    return this.#bucket.count(share, nowMs) - this.#reservedTokens >= 1;
  }

  /** Keeps a token for a request that waits for a connection. */
  reserveToken(): void {
    this.#reservedTokens++;
  }

  releaseToken(): void {
    this.#reservedTokens--;
  }

  /** Counts a request at the moment at which it is sent. */
  takeToken(share: TokenRate, nowMs: number): void {
    this.#bucket.take(share, nowMs);
    this.#sentRequests++;
  }

  /**
   * Delay after which a refused caller may find a token. Each call gives out a
   * later one, so that callers return at the rate of `share`.
   */
  assignReturnDelay(
    share: TokenRate,
    nowMs: number,
    random: () => number,
  ): number {
    const free = 1 + this.#reservedTokens;
    const tokenAtMs = nowMs + this.#bucket.getMsUntil(free, share, nowMs);
    const intervalMs = MS_PER_SECOND / share.perSecond;
    const atMs = Math.max(tokenAtMs, this.#lastReturnAtMs + intervalMs);
    const latestAtMs = nowMs + MAX_RETURN_DELAY_MS;
    if (atMs > latestAtMs) return MAX_RETURN_DELAY_MS * (0.5 + 0.5 * random());
    this.#lastReturnAtMs = atMs;
    return atMs - nowMs;
  }
}
