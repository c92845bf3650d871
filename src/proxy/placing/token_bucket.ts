/** Token bucket whose rate may change from call to call. */

const MS_PER_SECOND = 1_000;

export interface TokenRate {
  readonly perSecond: number;
  /** Most tokens at a time. */
  readonly capacity: number;
}

export class TokenBucket {
  #tokens: number;
  #updatedAtMs: number;

  constructor(tokens: number, nowMs: number) {
    this.#tokens = tokens;
    this.#updatedAtMs = nowMs;
  }

  count({ perSecond, capacity }: TokenRate, nowMs: number): number {
    const seconds = (nowMs - this.#updatedAtMs) / MS_PER_SECOND;
    return Math.min(capacity, this.#tokens + seconds * perSecond);
  }

  take(rate: TokenRate, nowMs: number): void {
    this.#tokens = this.count(rate, nowMs) - 1;
    this.#updatedAtMs = nowMs;
  }

  /** Time until there are `tokens`, ms. */
  getMsUntil(tokens: number, rate: TokenRate, nowMs: number): number {
    const missing = tokens - this.count(rate, nowMs);
    return missing <= 0 ? 0 : (missing * MS_PER_SECOND) / rate.perSecond;
  }
}
