/** Whom a process asks next: near watchers first, failing ones later. */

import { chooseWatchers, type Peer, sortByRendezvous } from "../core/index.js";

const FIRST_BACKOFF_MS = 250;
/** Under the freshness bound, so a lone watcher that returns is found. */
const MAX_BACKOFF_MS = 3_000;

/**
 * Each asker costs a watcher a call in two seconds. At 380 entries and 930
 * endpoints a watcher would have 73 askers; with the endpoints on the other
 * entries it has 20.
 */
const MAX_ASKERS_PER_WATCHER = 20;

interface Backoff {
  readonly failures: number;
  readonly untilMs: number;
}

export interface PeerChoice {
  readonly peer: Peer;
  /** Time until the peer may be asked. */
  readonly backoffMs: number;
}

export class PeerOrder {
  readonly #self: { readonly name: string; readonly dataCentre: string };
  readonly #getRandom: () => number;
  readonly #backoffs = new Map<string, Backoff>();

  constructor(
    self: { readonly name: string; readonly dataCentre: string },
    getRandom: () => number,
  ) {
    this.#self = self;
    this.#getRandom = getRandom;
  }

  /**
   * Watchers of the own data centre, watchers of the others, other entries.
   * The rank by own name spreads the processes over the watchers. In a large
   * data centre endpoints ask its other entries first.
   */
  list(peers: readonly Peer[]): Peer[] {
    const watchers = new Set(chooseWatchers(peers).map((peer) => peer.name));
    const byName = new Map(
      peers
        .filter((peer) => peer.role === "entry")
        .filter((peer) => peer.name !== this.#self.name)
        .map((peer) => [peer.name, peer]),
    );
    const ranked = sortByRendezvous(this.#self.name, [...byName.keys()]);
    const sparesWatchers = this.#sparesWatchers(peers, watchers);
    const getClass = (peer: Peer) => {
      const isLocal = peer.dataCentre === this.#self.dataCentre;
      if (watchers.has(peer.name)) return isLocal ? 1 : 2;
      return isLocal && sparesWatchers ? 0 : 3;
    };
    return ranked
      .flatMap((name) => byName.get(name) ?? [])
      .sort((a, b) => getClass(a) - getClass(b));
  }

  /** True for an endpoint whose watchers have too many processes to answer. */
  #sparesWatchers(
    peers: readonly Peer[],
    watchers: ReadonlySet<string>,
  ): boolean {
    const { name, dataCentre } = this.#self;
    const local = peers.filter((peer) => peer.dataCentre === dataCentre);
    const isEntry = local.some((p) => p.role === "entry" && p.name === name);
    const localWatchers = local.filter((peer) => watchers.has(peer.name));
    return (
      !isEntry && local.length > localWatchers.length * MAX_ASKERS_PER_WATCHER
    );
  }

  /** The first one that is not in backoff, else the one that leaves it first. */
  choose(peers: readonly Peer[], nowMs: number): PeerChoice | undefined {
    const choices = this.list(peers).map((peer) => {
      const untilMs = this.#backoffs.get(peer.name)?.untilMs ?? nowMs;
      return { peer, backoffMs: Math.max(0, untilMs - nowMs) };
    });
    const ready = choices.find((choice) => choice.backoffMs === 0);
    return ready ?? choices.sort((a, b) => a.backoffMs - b.backoffMs)[0];
  }

  recordSuccess(name: string): void {
    this.#backoffs.delete(name);
  }

  recordFailure(name: string, nowMs: number): void {
    const failures = (this.#backoffs.get(name)?.failures ?? 0) + 1;
    const limit = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** Math.min(failures, 10),
    );
    // Jitter over the upper half spreads the askers of a watcher that failed.
    const delayMs = limit * (0.5 + 0.5 * this.#getRandom());
    this.#backoffs.set(name, { failures, untilMs: nowMs + delayMs });
  }

  /** Forgets the processes that are gone. */
  prune(peers: readonly Peer[]): void {
    const names = new Set(peers.map((peer) => peer.name));
    for (const name of this.#backoffs.keys()) {
      if (!names.has(name)) this.#backoffs.delete(name);
    }
  }
}
