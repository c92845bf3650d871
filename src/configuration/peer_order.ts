/** Orders the peers that a process asks: near ones first, failing ones last. */

import { chooseWatchers, type Peer, sortByRendezvous } from "../core/index.js";

const BASE_BACKOFF_MS = 250;
/** Below the freshness bound, so a lone watcher that returns is found. */
const MAX_BACKOFF_MS = 3_000;

/**
 * Each process that asks a watcher costs it one call in two seconds. At 380
 * entries and 930 endpoints that would be 73 processes per watcher; it is 20
 * when the endpoints ask the other entries.
 */
const MAX_LOCAL_PROCESSES_PER_WATCHER = 20;

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
   * Watchers of the own data centre, watchers of other data centres, then the
   * other entries. Hashing with the own name spreads the processes over the
   * watchers. In a large data centre endpoints ask its other entries first.
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
    const getPreferenceRank = (peer: Peer) => {
      const isLocal = peer.dataCentre === this.#self.dataCentre;
      if (watchers.has(peer.name)) return isLocal ? 1 : 2;
      return isLocal && sparesWatchers ? 0 : 3;
    };
    return ranked
      .flatMap((name) => byName.get(name) ?? [])
      .sort((a, b) => getPreferenceRank(a) - getPreferenceRank(b));
  }

  /** True for an endpoint whose local watchers have too many processes. */
  #sparesWatchers(
    peers: readonly Peer[],
    watchers: ReadonlySet<string>,
  ): boolean {
    const { name, dataCentre } = this.#self;
    const local = peers.filter((peer) => peer.dataCentre === dataCentre);
    const isEntry = local.some((p) => p.role === "entry" && p.name === name);
    const localWatchers = local.filter((peer) => watchers.has(peer.name));
    return (
      !isEntry &&
      local.length > localWatchers.length * MAX_LOCAL_PROCESSES_PER_WATCHER
    );
  }

  /** The first peer that is not in backoff, else the first to leave it. */
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
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      BASE_BACKOFF_MS * 2 ** Math.min(failures, 10),
    );
    // Jitter keeps the processes from retrying a failed watcher all at once.
    const delayMs = maxDelayMs * (0.5 + 0.5 * this.#getRandom());
    this.#backoffs.set(name, { failures, untilMs: nowMs + delayMs });
  }

  /** Removes the processes that the host list no longer names. */
  prune(peers: readonly Peer[]): void {
    const names = new Set(peers.map((peer) => peer.name));
    for (const name of this.#backoffs.keys()) {
      if (!names.has(name)) this.#backoffs.delete(name);
    }
  }
}
