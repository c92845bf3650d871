/**
 * Budget of retries per service. All entries together may retry a share of the
 * service's requests and a fixed number more, the allowance. Each request gives
 * its entry credit for a part of a retry, which expires soon; each entry has a
 * part of the allowance besides.
 *
 * The credit of all entries adds up, whichever of them has the requests, also
 * where callers move from one to another or an entry restarts. If each entry
 * counted the retries and requests of its last window, one could spend at the
 * end of its requests what the others spend again as these come to them.
 */

import { ExpiringAmounts } from "./expiring_amounts.js";

export interface RetryLimits {
  /** Retries per request of the window. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Retries per window that all entries together have beyond the ratio. */
  readonly allowance: number;
}

export interface RetryBudgetOptions extends RetryLimits {
  /**
   * Number of entries that share the allowance, this one included; undefined
   * while it isn't known. Then this entry has no part of it.
   */
  readonly countSharers: () => number | undefined;
  /** When this entry started, ms. */
  readonly startedAtMs: number;
}

/**
 * Share of the budget that is used. The rest is a margin, since the windows of
 * the entries and of a checker don't begin at the same time.
 */
const USABLE_SHARE = 0.8;
/**
 * Lifetime of a request's credit, in windows. The retries of a window may have
 * their credit from as much earlier, so they keep to the ratio of an even flow
 * of requests up to 1 / USABLE_SHARE - 1.
 */
const CREDIT_LIFETIME = 0.25;
/**
 * Share of its part of the allowance that an entry uses in its first window. It
 * may have used the whole part just before it restarted; two restarts in a
 * window use up the margin.
 */
const FIRST_WINDOW_SHARE = 0.1;
/** Requests of this time expire together. */
const CREDIT_MERGE_MS = 50;
/** Sums of fractions that make up a whole retry are off by less. */
const EPSILON = 1e-9;

/** What one service has. */
interface Account {
  /** Unspent parts of retries, from requests. */
  readonly credit: ExpiringAmounts;
  /** Spent parts of the allowance. */
  readonly spentAllowance: ExpiringAmounts;
  readonly retries: ExpiringAmounts;
}

export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  readonly #accounts = new Map<string, Account>();

  constructor(options: RetryBudgetOptions) {
    this.#options = options;
  }

  recordRequest(service: string, nowMs: number): void {
    const { credit } = this.#getAccount(service);
    credit.add(USABLE_SHARE * this.#options.ratio, nowMs);
  }

  /** Used share of the budget; 1 when no retry is left. */
  getUsedShare(service: string, nowMs: number): number {
    const { credit, spentAllowance, retries } = this.#getAccount(service);
    const allowance = this.#computeAllowance(nowMs) - spentAllowance.sum(nowMs);
    const left = credit.sum(nowMs) + Math.max(0, allowance);
    if (left < 1 - EPSILON) return 1;
    const used = retries.sum(nowMs);
    return used / (used + left);
  }

  /** What this entry may use of the allowance in a window. */
  #computeAllowance(nowMs: number): number {
    const { allowance, windowMs, countSharers, startedAtMs } = this.#options;
    const sharerCount = countSharers();
    if (sharerCount === undefined) return 0;
    const isFirstWindow = nowMs - startedAtMs <= windowMs;
    const share = isFirstWindow ? FIRST_WINDOW_SHARE : USABLE_SHARE;
    return (share * allowance) / sharerCount;
  }

  /** Takes one retry; false when the budget is spent. */
  spend(service: string, nowMs: number): boolean {
    if (this.getUsedShare(service, nowMs) >= 1) return false;
    const { credit, spentAllowance, retries } = this.#getAccount(service);
    const missing = 1 - credit.take(1, nowMs);
    if (missing > 0) spentAllowance.add(missing, nowMs);
    retries.add(1, nowMs);
    return true;
  }

  #getAccount(service: string): Account {
    const known = this.#accounts.get(service);
    if (known !== undefined) return known;
    const { windowMs } = this.#options;
    const account = {
      credit: new ExpiringAmounts({
        lifetimeMs: CREDIT_LIFETIME * windowMs,
        mergeMs: CREDIT_MERGE_MS,
      }),
      spentAllowance: new ExpiringAmounts({ lifetimeMs: windowMs }),
      retries: new ExpiringAmounts({
        lifetimeMs: windowMs,
        mergeMs: CREDIT_MERGE_MS,
      }),
    };
    this.#accounts.set(service, account);
    return account;
  }
}
