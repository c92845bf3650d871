/**
 * Attempts that wait for a slot: bounded, by priority, and fair to accounts
 * by start-time fair queueing (Goyal, Vin and Cheng, 1996).
 */

import type { FleetState } from "../schema/index.js";
import type { Attempt } from "./attempts.js";
import { PRIORITIES } from "./gate_checks.js";

/** Accounts with a finish tag; older tags than the virtual time mean nothing. */
const MAX_TAGS = 1_000;

function getRank(attempt: Attempt): number {
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

  /** Adds an attempt; gives the one that has no place, if the queue is full. */
  push(attempt: Attempt, state: FleetState): Attempt | undefined {
    this.#waiting.push(attempt);
    if (this.#waiting.length <= this.#maxLength) return undefined;
    const loser = this.#findLoser(attempt, state);
    this.remove(loser);
    return loser;
  }

  remove(attempt: Attempt): void {
    this.#waiting = this.#waiting.filter((other) => other !== attempt);
  }

  /** All attempts in the order in which they would start. */
  listInOrder(state: FleetState): Attempt[] {
    const places = this.#waiting.map((attempt) => ({
      attempt,
      rank: getRank(attempt),
      tag: 0,
    }));
    // Sorting is stable, so equal places stay in the order of arrival.
    places.sort((a, b) => a.rank - b.rank);
    const tags = new Map<string, number>();
    for (const place of places) {
      const { account } = place.attempt.request;
      place.tag = tags.get(account) ?? this.#getStartTag(account);
      tags.set(account, place.tag + 1 / getWeight(state, account));
    }
    places.sort((a, b) => a.rank - b.rank || a.tag - b.tag);
    return places.map(({ attempt }) => attempt);
  }

  /** Charges a start, from the queue or past it, to the account. */
  noteStart(account: string, state: FleetState): void {
    const tag = this.#getStartTag(account);
    this.#virtualTime = Math.max(this.#virtualTime, tag);
    this.#finishTags.set(account, tag + 1 / getWeight(state, account));
    if (this.#finishTags.size <= MAX_TAGS) return;
    for (const [name, finish] of this.#finishTags) {
      if (finish <= this.#virtualTime) this.#finishTags.delete(name);
    }
  }

  #getStartTag(account: string): number {
    return Math.max(this.#virtualTime, this.#finishTags.get(account) ?? 0);
  }

  /** The newest attempt of the largest holder in the lowest priority. */
  #findLoser(newest: Attempt, state: FleetState): Attempt {
    const lowest = Math.max(...this.#waiting.map(getRank));
    const candidates = this.#waiting.filter((a) => getRank(a) === lowest);
    const shares = new Map<string, number>();
    for (const { request } of candidates) {
      const share = 1 / getWeight(state, request.account);
      shares.set(request.account, (shares.get(request.account) ?? 0) + share);
    }
    let loser = newest;
    let loserShare = Number.NEGATIVE_INFINITY;
    // From the newest to the oldest, so that a tie costs the newest its place.
    for (const attempt of candidates.reverse()) {
      const share = shares.get(attempt.request.account) ?? 0;
      if (share > loserShare) {
        loser = attempt;
        loserShare = share;
      }
    }
    return loser;
  }
}
