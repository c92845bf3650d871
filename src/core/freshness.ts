/**
 * Rules of the configuration's spread: which entries watch the store, how old
 * the confirmation of the held revision is, and what counts as evidence of a
 * store outage. All times are on one process's monotonic clock.
 */

import { sortByRendezvous } from "./canonical.js";
import { createRefusal, type Refusal } from "./errors.js";

/** Oldest confirmation with which new work starts. */
export const FRESHNESS_BOUND_MS = 8_000;
export const WATCHERS_PER_DATA_CENTRE = 3;
/** Time between two ticks of the event loop after which confirmations end. */
export const STALL_MS = 3_000;
/**
 * Watches of 2 s end at different moments, so at the start of an outage the
 * watchers' last contacts differ by that much, plus a late answer.
 */
export const CONTACT_SPREAD_MS = 3_000;
/** Age that stands for "never" in a message field of 32 bits. */
export const NEVER_MS = 0xffff_ffff;

/** A process of the fleet, as the host list names it. */
export interface Peer {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly dataCentre: string;
  readonly address: string;
  readonly controlPort: number;
  readonly leaving: boolean;
}

/** The entries that watch the store, the first three of each data centre. */
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
    const chosen = sortByRendezvous(dataCentre, names).slice(
      0,
      WATCHERS_PER_DATA_CENTRE,
    );
    return group.filter((peer) => chosen.includes(peer.name));
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

/** What a watcher says of itself. */
export interface WatcherAnswer {
  readonly name: string;
  readonly revision: number;
  /** Age of its own last contact with the store in its present life. */
  readonly storeAgeMs: number;
  readonly watcher: boolean;
}

export interface OutageQuestion {
  readonly self: WatcherAnswer;
  /** Age of the last store contact that the asker knows of. */
  readonly contactAgeMs: number;
  /** Answers to questions that were sent together. */
  readonly answers: readonly WatcherAnswer[];
  /** Watchers at the asker's last contact, and now: a majority of each. */
  readonly quorums: readonly (readonly string[])[];
}

/**
 * True when more than half of the watchers neither hold a higher revision nor
 * have reached the store since. A ticket is accepted only when more than half
 * hold its revision, so none was accepted before the question was sent. A
 * watcher that has not reached the store since its start does not count: it
 * may have held a higher revision before.
 */
export function judgeOutage(question: OutageQuestion): boolean {
  const { self, contactAgeMs, answers, quorums } = question;
  const agreeing = [self, ...answers].filter(
    (answer) =>
      answer.watcher &&
      answer.revision <= self.revision &&
      answer.storeAgeMs < NEVER_MS &&
      answer.storeAgeMs + CONTACT_SPREAD_MS >= contactAgeMs,
  );
  const names = new Set(agreeing.map((answer) => answer.name));
  return (
    names.has(self.name) &&
    quorums.every((members) => hasMajority(members, names))
  );
}

/** Evidence that a revision was the latest at some moment. */
export interface Confirmation {
  /** When the question was sent; when the answer came proves nothing. */
  readonly sentAtMs: number;
  /** Age of the replier's confirmation when the question reached it. */
  readonly ageMs: number;
  readonly revision: number;
}

/** Age of the last confirmation of the held revision. */
export class Freshness {
  readonly #boundMs: number;
  #heldRevision = 0;
  /** Highest revision that the store's head was seen to name. */
  #headRevision = 0;
  #confirmedAtMs = Number.NEGATIVE_INFINITY;
  #lastTickMs = Number.NEGATIVE_INFINITY;
  #wokeAtMs = Number.NEGATIVE_INFINITY;

  constructor(boundMs = FRESHNESS_BOUND_MS) {
    this.#boundMs = boundMs;
  }

  /** True when a revision is known whose state this process does not hold. */
  get isBehind(): boolean {
    return this.#headRevision > this.#heldRevision;
  }

  /** Records that the event loop runs; gives true after a stall. */
  recordTick(nowMs: number): boolean {
    const stalled = this.#isStalled(nowMs);
    if (stalled) {
      this.#wokeAtMs = nowMs;
      this.#confirmedAtMs = Number.NEGATIVE_INFINITY;
    }
    this.#lastTickMs = nowMs;
    return stalled;
  }

  recordHeld(revision: number): void {
    this.#heldRevision = revision;
  }

  recordHead(revision: number): void {
    this.#headRevision = Math.max(this.#headRevision, revision);
  }

  /**
   * Gives true when the confirmation is later than the last one. A lower
   * revision confirms too: what was accepted until then is held.
   */
  confirm(confirmation: Confirmation): boolean {
    const { sentAtMs, ageMs, revision } = confirmation;
    const confirmedAtMs = sentAtMs - ageMs;
    if (
      revision > this.#heldRevision ||
      this.isBehind ||
      sentAtMs < this.#wokeAtMs ||
      confirmedAtMs <= this.#confirmedAtMs
    ) {
      return false;
    }
    this.#confirmedAtMs = confirmedAtMs;
    return true;
  }

  /** Age of the confirmation at a moment; 0 when it is later than that. */
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
    if (ageMs <= this.#boundMs) return undefined;
    const age = ageMs === NEVER_MS ? "never" : `${Math.round(ageMs)} ms ago`;
    return createRefusal(
      "isolated",
      `Revision ${this.#heldRevision} was confirmed ${age}, the bound is ${this.#boundMs} ms`,
    );
  }

  #isStalled(nowMs: number): boolean {
    return (
      Number.isFinite(this.#lastTickMs) && nowMs - this.#lastTickMs >= STALL_MS
    );
  }
}
