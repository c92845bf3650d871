/**
 * A bounded queue of attempts that wait for a slot, ordered by priority and,
 * within a priority, by start-time fair queueing between accounts (Goyal, Vin
 * and Cheng, 1996).
 */

import type { FleetState } from "../schema/index.js";
import type { Attempt } from "./attempt_registry.js";
import { PRIORITIES } from "./gate_checks.js";

/** Above this count, tags that are before the virtual time are dropped. */
const MAX_FINISH_TAGS = 1_000;

function getPriorityRank(attempt: Attempt): number {
  return PRIORITIES.indexOf(attempt.request.priority);
}

function getWeight(state: FleetState, account: string): number {
  return Math.max(0.001, state.accounts[account]?.weight ?? 1);
}

export class GateQueue {
  readonly #maxLength: number;
  readonly #finishTags = new Map<string, number>();
  #waiting: Attempt[] = [];
  #virtualTime = 0;

  constructor(maxLength: number) {
    this.#maxLength = maxLength;
  }

  get length(): number {
    return this.#waiting.length;
  }

  /** Adds an attempt; returns the one that a full queue evicts, if any. */
  push(attempt: Attempt, state: FleetState): Attempt | undefined {
    this.#waiting.push(attempt);
    if (this.#waiting.length <= this.#maxLength) return undefined;
    const evicted = this.#findEvicted(attempt, state);
    this.remove(evicted);
    return evicted;
  }

  remove(attempt: Attempt): void {
    this.#waiting = this.#waiting.filter((other) => other !== attempt);
  }

  /** Lists all attempts in the order in which they would start. */
  listInOrder(state: FleetState): Attempt[] {
    const candidates = this.#waiting.map((attempt) => ({
      attempt,
      rank: getPriorityRank(attempt),
      tag: 0,
    }));
    // Sorting is stable, so equal ranks and tags keep the order of arrival.
    candidates.sort((a, b) => a.rank - b.rank);
    const tags = new Map<string, number>();
    for (const candidate of candidates) {
      const { account } = candidate.attempt.request;
      candidate.tag = tags.get(account) ?? this.#getStartTag(account);
      tags.set(account, candidate.tag + 1 / getWeight(state, account));
    }
    candidates.sort((a, b) => a.rank - b.rank || a.tag - b.tag);
    return candidates.map(({ attempt }) => attempt);
  }

  /** Charges the start of an attempt to its account. */
  recordStart(account: string, state: FleetState): void {
    const tag = this.#getStartTag(account);
    this.#virtualTime = Math.max(this.#virtualTime, tag);
    this.#finishTags.set(account, tag + 1 / getWeight(state, account));
    if (this.#finishTags.size <= MAX_FINISH_TAGS) return;
    for (const [name, finish] of this.#finishTags) {
      if (finish <= this.#virtualTime) this.#finishTags.delete(name);
    }
  }

  #getStartTag(account: string): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(account) ?? 0);
  }

  /**
   * Finds the newest attempt, in the lowest priority, of the account that has
   * the most attempts there relative to its weight.
   */
  #findEvicted(newest: Attempt, state: FleetState): Attempt {
    const lowest = Math.max(...this.#waiting.map(getPriorityRank));
    const candidates = this.#waiting.filter(
      (a) => getPriorityRank(a) === lowest,
    );
    const shares = new Map<string, number>();
    for (const { request } of candidates) {
      const share = 1 / getWeight(state, request.account);
      shares.set(request.account, (shares.get(request.account) ?? 0) + share);
    }
    let evicted = newest;
    let evictedShare = Number.NEGATIVE_INFINITY;
    // From the newest to the oldest, so that a tie evicts the newest.
    for (const attempt of candidates.reverse()) {
      const share = shares.get(attempt.request.account) ?? 0;
      if (share > evictedShare) {
        evicted = attempt;
        evictedShare = share;
      }
    }
    return evicted;
  }
}
