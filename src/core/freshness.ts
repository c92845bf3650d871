/**
 * Rules of configuration propagation: which entries watch the store, how old
 * the confirmation of the held revision is, and what counts as evidence of a
 * store outage. All times are on one process's monotonic clock.
 */

import { sortByRendezvous } from "./canonical.js";
import { createRefusal, type Refusal } from "./errors.js";

/** Maximum age of the confirmation with which new work starts. */
export const MAX_CONFIRMATION_AGE_MS = 8_000;
export const WATCHERS_PER_DATA_CENTRE = 3;
/** Gap between two ticks of the event loop that voids all confirmations. */
export const MIN_STALL_MS = 3_000;
/**
 * Watches of 2 s end at different moments, so at the start of an outage the
 * watchers' last contacts differ by that much, plus a late answer.
 */
export const MAX_CONTACT_SPREAD_MS = 3_000;
/** Age that means "never" in a 32-bit message field. */
export const NEVER_MS = 0xffff_ffff;

/** A process of the fleet, as the host list describes it. */
export interface Peer {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly dataCentre: string;
  readonly address: string;
  readonly controlPort: number;
  readonly leaving: boolean;
}

/** The entries that watch the store: three of each data centre. */
export function chooseWatchers(peers: readonly Peer[]): Peer[] {
  const groups = new Map<string, Peer[]>();
  for (const peer of peers) {
    if (peer.role !== "entry" || peer.leaving) continue;
    const group = groups.get(peer.dataCentre);
    if (group === undefined) groups.set(peer.dataCentre, [peer]);
    else group.push(peer);
  }
  return [...groups].flatMap(([dataCentre, group]) => {
    const names = group.map((peer) => peer.name);
    const chosenNames = sortByRendezvous(dataCentre, names).slice(
      0,
      WATCHERS_PER_DATA_CENTRE,
    );
    return group.filter((peer) => chosenNames.includes(peer.name));
  });
}

/** True when more than half of the members are present. */
export function hasMajority(
  members: readonly string[],
  present: ReadonlySet<string>,
): boolean {
  const count = members.filter((name) => present.has(name)).length;
  return count * 2 > members.length;
}

/** A watcher's report of its own state. */
export interface WatcherAnswer {
  readonly name: string;
  readonly revision: number;
  /** Age of its last store contact since its start; NEVER_MS without one. */
  readonly storeAgeMs: number;
  readonly watcher: boolean;
}

export interface OutageEvidence {
  readonly self: WatcherAnswer;
  /** Age of the last store contact that the asking process knows of. */
  readonly contactAgeMs: number;
  /** Answers of other watchers to questions that were sent at one time. */
  readonly answers: readonly WatcherAnswer[];
  /** Watchers at that contact, and now; a majority of each must agree. */
  readonly quorums: readonly (readonly string[])[];
}

/**
 * True when more than half of the watchers neither hold a higher revision nor
 * have reached the store since. A ticket is accepted only when more than half
 * hold its revision, so none was accepted before the question was sent. A
 * watcher that has not reached the store since its start does not count: it
 * may have held a higher revision before.
 */
export function isOutageConfirmed(evidence: OutageEvidence): boolean {
  const { self, contactAgeMs, answers, quorums } = evidence;
  const agreeing = [self, ...answers].filter(
    (answer) =>
      answer.watcher &&
      answer.revision <= self.revision &&
      answer.storeAgeMs < NEVER_MS &&
      answer.storeAgeMs + MAX_CONTACT_SPREAD_MS >= contactAgeMs,
  );
  const names = new Set(agreeing.map((answer) => answer.name));
  return (
    names.has(self.name) &&
    quorums.every((members) => hasMajority(members, names))
  );
}

/** Evidence that a revision was the latest at some moment. */
export interface Confirmation {
  /** When the question was sent; an answer may be delayed on its way. */
  readonly sentAtMs: number;
  /** Age of the answering process's own confirmation when it was asked. */
  readonly ageMs: number;
  readonly revision: number;
}

/** Age of the last confirmation of the held revision. */
export class Freshness {
  readonly #maxAgeMs: number;
  #heldRevision = 0;
  /** Highest revision that the head object of the store was seen to name. */
  #headRevision = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #lastTickMs = Number.NEGATIVE_INFINITY;
  #resumedAtMs = Number.NEGATIVE_INFINITY;

  constructor(maxAgeMs = MAX_CONFIRMATION_AGE_MS) {
    this.#maxAgeMs = maxAgeMs;
  }

  /** True when the store has a revision that this process does not hold. */
  get isBehind(): boolean {
    return this.#headRevision > this.#heldRevision;
  }

  /** Records a tick of the event loop; returns true after a stall. */
  recordTick(nowMs: number): boolean {
    const wasStalled = this.#isStalled(nowMs);
    if (wasStalled) {
      this.#resumedAtMs = nowMs;
      this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    }
    this.#lastTickMs = nowMs;
    return wasStalled;
  }

  recordHeld(revision: number): void {
    this.#heldRevision = revision;
  }

  recordHead(revision: number): void {
    this.#headRevision = Math.max(this.#headRevision, revision);
  }

  /**
   * Returns true when the confirmation is later than the last one. A lower
   * revision also confirms: all that was accepted until then is held.
   */
  confirm(confirmation: Confirmation): boolean {
    const { sentAtMs, ageMs, revision } = confirmation;
    const confirmedAtMs = sentAtMs - ageMs;
    if (
      revision > this.#heldRevision ||
      this.isBehind ||
      sentAtMs < this.#resumedAtMs ||
      confirmedAtMs <= this.#confirmedAtMs
    ) {
      return false;
    }
    this.#confirmedAtMs = confirmedAtMs;
    return true;
  }

  /** Age of the confirmation at a time; 0 if it is later than the time. */
  getAgeMs(nowMs: number): number {
    if (this.isBehind) return NEVER_MS;
    return Math.min(Math.max(0, nowMs - this.#confirmedAtMs), NEVER_MS);
  }

  /** Refuses new work when the confirmation is too old. */
  check(nowMs: number): Refusal | undefined {
    if (this.#isStalled(nowMs)) {
      return createRefusal("isolated", "The process was stalled");
    }
    const ageMs = this.getAgeMs(nowMs);
    if (ageMs <= this.#maxAgeMs) return undefined;
    const age = ageMs === NEVER_MS ? "never" : `${Math.round(ageMs)} ms ago`;
    return createRefusal(
      "isolated",
      `Revision ${this.#heldRevision} was confirmed ${age}, the bound is ${this.#maxAgeMs} ms`,
    );
  }

  #isStalled(nowMs: number): boolean {
    return (
      Number.isFinite(this.#lastTickMs) &&
      nowMs - this.#lastTickMs >= MIN_STALL_MS
    );
  }
}
