/**
 * Queue of the requests that no endpoint can take now, ordered by priority,
 * fair share of the accounts and deadline. Its predicted waits decide which
 * requests are refused at once.
 */

import type { Priority } from "../schema/index.js";
import type { PendingRequest } from "./pending_requests.js";

/** Requests of a lower rank are sent first. */
export const PRIORITY_RANKS: Record<Priority, number> = {
  urgent: 0,
  interactive: 1,
  batch: 2,
};
const RANK_COUNT = 3;
/** Weight of the newest time between departures in its running mean. */
const NEWEST_INTERVAL_WEIGHT = 0.1;
/** Bounds of Retry-After: callers neither retry at once nor wait too long. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;

/** Waiting requests of one account and priority, by deadline. */
interface AccountQueue {
  readonly account: string;
  readonly items: PendingRequest[];
}

/** Requests that wait for one version or service. */
class TargetQueue {
  /** By priority rank, then by account. */
  readonly rankQueues: Map<string, AccountQueue>[] = Array.from(
    { length: RANK_COUNT },
    () => new Map(),
  );
  size = 0;
  /** Running mean of the time between departures while requests wait. */
  meanIntervalMs = 0;
  lastDepartureMs = 0;
}

export interface AdmissionOptions {
  /** Weight of the account's fair share. */
  getWeight: (account: string) => number;
}

export class AdmissionQueue {
  readonly #options: AdmissionOptions;
  readonly #targetQueues = new Map<string, TargetQueue>();
  /** Work dispatched for each account, divided by its weight. */
  readonly #weightedWorkMs = new Map<string, number>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  get size(): number {
    let size = 0;
    for (const targetQueue of this.#targetQueues.values())
      size += targetQueue.size;
    return size;
  }

  /** Versions and services for which requests wait. */
  listTargets(): string[] {
    return [...this.#targetQueues.keys()];
  }

  countWaiting(target: string): number {
    return this.#targetQueues.get(target)?.size ?? 0;
  }

  /**
   * Wait of a new request. Ahead of it are all requests of a higher priority,
   * those of its own account at the same priority, and as many of each other
   * account as the weights allow meanwhile.
   */
  predictWaitMs(target: string, pending: PendingRequest): number {
    const targetQueue = this.#targetQueues.get(target);
    if (targetQueue === undefined || targetQueue.size === 0) return 0;
    const { priority, account } = pending.request;
    const rank = PRIORITY_RANKS[priority];
    let ahead = 0;
    for (const accountQueues of targetQueue.rankQueues.slice(0, rank)) {
      for (const accountQueue of accountQueues.values())
        ahead += accountQueue.items.length;
    }
    const peerQueues =
      targetQueue.rankQueues[rank] ?? new Map<string, AccountQueue>();
    const ownWeight = this.#options.getWeight(account);
    const turns = (peerQueues.get(account)?.items.length ?? 0) + 1;
    for (const accountQueue of peerQueues.values()) {
      if (accountQueue.account === account) ahead += accountQueue.items.length;
      else {
        const share = this.#options.getWeight(accountQueue.account) / ownWeight;
        ahead += Math.min(accountQueue.items.length, turns * share);
      }
    }
    return (ahead + 1) * targetQueue.meanIntervalMs;
  }

  /** Wait of a request behind all others that wait for the target. */
  predictMeanWaitMs(target: string): number {
    const targetQueue = this.#targetQueues.get(target);
    return targetQueue === undefined
      ? 0
      : (targetQueue.size + 1) * targetQueue.meanIntervalMs;
  }

  add(target: string, pending: PendingRequest): void {
    let targetQueue = this.#targetQueues.get(target);
    if (targetQueue === undefined) {
      targetQueue = new TargetQueue();
      this.#targetQueues.set(target, targetQueue);
    }
    const { account, priority, deadlineAtMs } = pending.request;
    const accountQueues = targetQueue.rankQueues[PRIORITY_RANKS[priority]];
    let accountQueue = accountQueues?.get(account);
    if (accountQueue === undefined) {
      accountQueue = { account, items: [] };
      accountQueues?.set(account, accountQueue);
      this.#dropIdleCredit(targetQueue, account);
    }
    let position = accountQueue.items.length;
    while (position > 0) {
      const previous = accountQueue.items[position - 1];
      if (previous && previous.request.deadlineAtMs <= deadlineAtMs) break;
      position--;
    }
    accountQueue.items.splice(position, 0, pending);
    targetQueue.size++;
  }

  /**
   * Raises the work of an account that was idle to the least of the others, so
   * that it gets no extra turns for the idle time.
   */
  #dropIdleCredit(targetQueue: TargetQueue, account: string): void {
    let leastMs = Number.POSITIVE_INFINITY;
    for (const accountQueues of targetQueue.rankQueues) {
      for (const accountQueue of accountQueues.values()) {
        if (accountQueue.account === account) continue;
        leastMs = Math.min(
          leastMs,
          this.#weightedWorkMs.get(accountQueue.account) ?? 0,
        );
      }
    }
    if (leastMs === Number.POSITIVE_INFINITY) return;
    const usedMs = this.#weightedWorkMs.get(account) ?? 0;
    this.#weightedWorkMs.set(account, Math.max(usedMs, leastMs));
  }

  /** The next request by priority, then fair share, then deadline. */
  peek(target: string): PendingRequest | undefined {
    const targetQueue = this.#targetQueues.get(target);
    if (targetQueue === undefined || targetQueue.size === 0) return undefined;
    for (const accountQueues of targetQueue.rankQueues) {
      let next: AccountQueue | undefined;
      let leastMs = Number.POSITIVE_INFINITY;
      for (const accountQueue of accountQueues.values()) {
        const usedMs = this.#weightedWorkMs.get(accountQueue.account) ?? 0;
        if (usedMs >= leastMs) continue;
        leastMs = usedMs;
        next = accountQueue;
      }
      if (next !== undefined) return next.items[0];
    }
    return undefined;
  }

  remove(target: string, pending: PendingRequest): boolean {
    const targetQueue = this.#targetQueues.get(target);
    const { account, priority } = pending.request;
    const accountQueues = targetQueue?.rankQueues[PRIORITY_RANKS[priority]];
    const accountQueue = accountQueues?.get(account);
    const position = accountQueue?.items.indexOf(pending) ?? -1;
    if (targetQueue === undefined || position < 0) return false;
    accountQueue?.items.splice(position, 1);
    targetQueue.size--;
    if (accountQueue?.items.length === 0) accountQueues?.delete(account);
    if (targetQueue.size === 0) this.#targetQueues.delete(target);
    return true;
  }

  /** Counts the work of a dispatched request towards its account's share. */
  charge(account: string, workMs: number): void {
    const usedMs = this.#weightedWorkMs.get(account) ?? 0;
    const weight = this.#options.getWeight(account);
    this.#weightedWorkMs.set(account, usedMs + workMs / weight);
  }

  recordDeparture(target: string, nowMs: number): void {
    const targetQueue = this.#targetQueues.get(target);
    if (targetQueue === undefined) return;
    if (targetQueue.lastDepartureMs > 0) {
      const intervalMs = nowMs - targetQueue.lastDepartureMs;
      const weight =
        targetQueue.meanIntervalMs === 0 ? 1 : NEWEST_INTERVAL_WEIGHT;
      targetQueue.meanIntervalMs +=
        weight * (intervalMs - targetQueue.meanIntervalMs);
    }
    targetQueue.lastDepartureMs = nowMs;
  }

  /** Every request that waits for the target. */
  list(target: string): PendingRequest[] {
    const targetQueue = this.#targetQueues.get(target);
    if (targetQueue === undefined) return [];
    return targetQueue.rankQueues.flatMap((accountQueues) =>
      [...accountQueues.values()].flatMap((accountQueue) => accountQueue.items),
    );
  }

  /** Time after which a refused request is likely to find a free slot. */
  computeRetryAfterMs(target: string, pending: PendingRequest): number {
    const waitMs = this.predictWaitMs(target, pending);
    return Math.round(
      Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)),
    );
  }
}
