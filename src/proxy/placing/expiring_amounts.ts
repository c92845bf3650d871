/** Amounts that count for some time after they were added. */

interface Amount {
  readonly atMs: number;
  left: number;
}

export interface ExpiringAmountsOptions {
  readonly lifetimeMs: number;
  /** What is added within this time of the first one expires with it. */
  readonly mergeMs?: number;
}

export class ExpiringAmounts {
  readonly #lifetimeMs: number;
  readonly #mergeMs: number;
  /** Oldest first. */
  #amounts: Amount[] = [];

  constructor({ lifetimeMs, mergeMs = 0 }: ExpiringAmountsOptions) {
    this.#lifetimeMs = lifetimeMs;
    this.#mergeMs = mergeMs;
  }

  add(amount: number, nowMs: number): void {
    const newest = this.#amounts.at(-1);
    const isMerged =
      newest !== undefined && nowMs - newest.atMs <= this.#mergeMs;
    if (isMerged) newest.left += amount;
    else this.#amounts.push({ atMs: nowMs, left: amount });
  }

  sum(nowMs: number): number {
    this.#dropExpired(nowMs);
    return this.#amounts.reduce((total, { left }) => total + left, 0);
  }

  /** Takes the amount, or what there is of it, from the oldest ones. */
  take(amount: number, nowMs: number): number {
    this.#dropExpired(nowMs);
    let missing = amount;
    for (const item of this.#amounts) {
      const taken = Math.min(missing, item.left);
      item.left -= taken;
      missing -= taken;
      if (missing <= 0) break;
    }
    return amount - missing;
  }

  #dropExpired(nowMs: number): void {
    const sinceMs = nowMs - this.#lifetimeMs;
    const first = this.#amounts.findIndex(({ atMs }) => atMs >= sinceMs);
    if (first !== 0)
      this.#amounts = first < 0 ? [] : this.#amounts.slice(first);
  }
}
