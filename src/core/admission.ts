/**
 * Admission before queueing: requests that no endpoint can take now wait here
 * by priority and fair share, and those that would wait too long are refused.
 */

import type { Priority } from "../schema/index.js";
import type { PendingRequest } from "./pending.js";

export const PRIORITY_RANKS: Record<Priority, number> = {
  urgent: 0,
  interactive: 1,
  batch: 2,
};
const RANK_COUNT = 3;
/** Weight of the newest interval between two departures. */
const INTERVAL_WEIGHT = 0.1;
/** Retry-After bounds: callers neither hammer nor stay away for long. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 30_000;

interface AccountQueue {
  readonly account: string;
  readonly items: PendingRequest[];
}

/** Requests that wait for one version or service. */
class Lane {
  readonly ranks: Map<string, AccountQueue>[] = Array.from(
    { length: RANK_COUNT },
    () => new Map(),
  );
  size = 0;
  /** Running mean of the time between departures while requests wait. */
  intervalMs = 0;
  lastDepartureMs = 0;
}

export interface AdmissionOptions {
  getWeight: (account: string) => number;
}

export class AdmissionQueue {
  readonly #options: AdmissionOptions;
  readonly #lanes = new Map<string, Lane>();
  /** Work given to each account over its weight, for fair queueing. */
  readonly #used = new Map<string, number>();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  get size(): number {
    let size = 0;
    for (const lane of this.#lanes.values()) size += lane.size;
    return size;
  }

  listTargets(): string[] {
    return [...this.#lanes.keys()];
  }

  countWaiting(target: string): number {
    return this.#lanes.get(target)?.size ?? 0;
  }

  /**
   * Wait of a new request of the account: its turn comes after its own
   * account's requests, as often as its share of the weights, and after
   * everything of a higher priority.
   */
  predictWaitMs(target: string, pending: PendingRequest): number {
    const lane = this.#lanes.get(target);
    if (lane === undefined || lane.size === 0) return 0;
    const { priority, account } = pending.request;
    const rank = PRIORITY_RANKS[priority];
    let ahead = 0;
    for (const queues of lane.ranks.slice(0, rank)) {
      for (const queue of queues.values()) ahead += queue.items.length;
    }
    const peers = lane.ranks[rank] ?? new Map<string, AccountQueue>();
    const own = this.#options.getWeight(account);
    const turns = (peers.get(account)?.items.length ?? 0) + 1;
    for (const queue of peers.values()) {
      if (queue.account === account) ahead += queue.items.length;
      else {
        const share = this.#options.getWeight(queue.account) / own;
        ahead += Math.min(queue.items.length, turns * share);
      }
    }
    return (ahead + 1) * lane.intervalMs;
  }

  /** Wait of a request behind all that wait for the target. */
  predictMeanWaitMs(target: string): number {
    const lane = this.#lanes.get(target);
    return lane === undefined ? 0 : (lane.size + 1) * lane.intervalMs;
  }

  add(target: string, pending: PendingRequest): void {
    let lane = this.#lanes.get(target);
    if (lane === undefined) {
      lane = new Lane();
      this.#lanes.set(target, lane);
    }
    const { account, priority, deadlineAtMs } = pending.request;
    const queues = lane.ranks[PRIORITY_RANKS[priority]];
    let queue = queues?.get(account);
    if (queue === undefined) {
      queue = { account, items: [] };
      queues?.set(account, queue);
      this.#raiseToActive(lane, account);
    }
    let position = queue.items.length;
    while (position > 0) {
      const before = queue.items[position - 1];
      if (before && before.request.deadlineAtMs <= deadlineAtMs) break;
      position--;
    }
    queue.items.splice(position, 0, pending);
    lane.size++;
  }

  /** An account that was idle gets no credit for the time. */
  #raiseToActive(lane: Lane, account: string): void {
    let least = Number.POSITIVE_INFINITY;
    for (const queues of lane.ranks) {
      for (const queue of queues.values()) {
        if (queue.account === account) continue;
        least = Math.min(least, this.#used.get(queue.account) ?? 0);
      }
    }
    if (least === Number.POSITIVE_INFINITY) return;
    const used = this.#used.get(account) ?? 0;
    this.#used.set(account, Math.max(used, least));
  }

  /** The request whose turn it is: priority, then fair share, then deadline. */
  peek(target: string): PendingRequest | undefined {
    const lane = this.#lanes.get(target);
    if (lane === undefined || lane.size === 0) return undefined;
    for (const queues of lane.ranks) {
      let next: AccountQueue | undefined;
      let least = Number.POSITIVE_INFINITY;
      for (const queue of queues.values()) {
        const used = this.#used.get(queue.account) ?? 0;
        if (used >= least) continue;
        least = used;
        next = queue;
      }
      if (next !== undefined) return next.items[0];
    }
    return undefined;
  }

  remove(target: string, pending: PendingRequest): boolean {
    const lane = this.#lanes.get(target);
    const { account, priority } = pending.request;
    const queues = lane?.ranks[PRIORITY_RANKS[priority]];
    const queue = queues?.get(account);
    const position = queue?.items.indexOf(pending) ?? -1;
    if (lane === undefined || position < 0) return false;
    queue?.items.splice(position, 1);
    lane.size--;
    if (queue?.items.length === 0) queues?.delete(account);
    if (lane.size === 0) this.#lanes.delete(target);
    return true;
  }

  /** Counts the work of a dispatched request against its account. */
  charge(account: string, workMs: number): void {
    const used = this.#used.get(account) ?? 0;
    const weight = this.#options.getWeight(account);
    this.#used.set(account, used + workMs / weight);
  }

  recordDeparture(target: string, nowMs: number): void {
    const lane = this.#lanes.get(target);
    if (lane === undefined) return;
    if (lane.lastDepartureMs > 0) {
      const sample = nowMs - lane.lastDepartureMs;
      const weight = lane.intervalMs === 0 ? 1 : INTERVAL_WEIGHT;
      lane.intervalMs += weight * (sample - lane.intervalMs);
    }
    lane.lastDepartureMs = nowMs;
  }

  /** Every waiting request of the target, for the check on each tick. */
  list(target: string): PendingRequest[] {
    const lane = this.#lanes.get(target);
    if (lane === undefined) return [];
    return lane.ranks.flatMap((queues) =>
      [...queues.values()].flatMap((queue) => queue.items),
    );
  }

  /** Time after which a refused request is likely to find room. */
  computeRetryAfterMs(target: string, pending: PendingRequest): number {
    const waitMs = this.predictWaitMs(target, pending);
    return Math.round(
      Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)),
    );
  }
}
