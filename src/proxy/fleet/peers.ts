/**
 * The other entries: who they are, and what they know of rollouts. Entries
 * find each other through seed addresses and through those they meet.
 */

import { Agent } from "node:http";
import { LRUCache } from "lru-cache";
import type { Logger } from "../../adapters/logs.js";
import { pauseFor } from "../../adapters/pause.js";
import { Exchange, type Place } from "../../schema/exchange/index.js";
import { chooseSome } from "../choose_some.js";
import type { NetworkAddress } from "../types.js";
import { sendMessage } from "./peer_messages.js";
import type { Rollouts } from "./rollouts.js";
import type { SessionVersions } from "./session_versions.js";

/** Time between two rounds, ms. */
const ROUND_MS = 400;
/** Peers asked in one round; more entries than these hear of news in turn. */
const PEERS_PER_ROUND = 3;
/** Of them, peers of other data centres: bytes between those are paid for. */
const FAR_PEERS_PER_ROUND = 1;
/** Time for one exchange, ms. */
const EXCHANGE_TIMEOUT_MS = 500;
/** Silence after which a peer counts as gone, ms. */
const GONE_AFTER_MS = 5_000;
/** Silence after which a peer no longer shares the endpoints, ms. */
const FORGET_AFTER_MS = 30_000;
/** Seeds are asked at least this often while no peer answers, in rounds. */
const SEED_EVERY_ROUNDS = 5;
/** Entries that are assumed until the first rounds have found them. */
const ASSUMED_ENTRIES = 8;
const SETTLED_AFTER_MS = 2_500;
/** Starts of left peers that are remembered. */
const MAX_LEFT = 1_000;
/** Peers that one message names at least, and its share of more of them. */
const MIN_NAMED = 6;
const NAMED_SHARE = 0.1;

/** Path on which entries tell each other what they know. */
export const EXCHANGE_PATH = "/exchange";

export interface PeersOptions {
  readonly self: Omit<Place, "ageMs">;
  readonly seeds: readonly NetworkAddress[];
  readonly rollouts: Rollouts;
  readonly sessions: SessionVersions;
  readonly now: () => number;
  readonly random: () => number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

interface Peer {
  place: Place;
  heardAtMs: number;
}

export class Peers {
  readonly #options: PeersOptions;
  readonly #peers = new Map<string, Peer>();
  /** Starts of peers that leave; others may still name them. */
  readonly #left = new LRUCache<string, true>({ max: MAX_LEFT });
  readonly #agent = new Agent({ keepAlive: true });
  readonly #startedAtMs: number;
  #isLeaving = false;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#startedAtMs = options.now();
    const { signal } = options;
    signal.addEventListener("abort", () => this.#agent.destroy(), {
      once: true,
    });
  }

  /** Entries that share the endpoints, this one included. */
  countEntries(): number {
    const nowMs = this.#options.now();
    const found = this.#listHeard(FORGET_AFTER_MS).length + 1;
    const isSettled = nowMs - this.#startedAtMs > SETTLED_AFTER_MS;
    return isSettled ? found : Math.max(found, ASSUMED_ENTRIES);
  }

  /** Place of this entry among the present ones by name, from 0. */
  getRank(): number {
    const { name } = this.#options.self;
    return this.#listHeard(GONE_AFTER_MS).filter(
      (peer) => peer.place.name < name,
    ).length;
  }

  /** Present entries of this one's data centre by name, itself left out. */
  listNeighbours(): Place[] {
    const { dataCentre } = this.#options.self;
    return this.#listHeard(GONE_AFTER_MS)
      .map(({ place }) => place)
      .filter((place) => place.dataCentre === dataCentre)
      .sort((one, other) => (one.name < other.name ? -1 : 1));
  }

  /** Tells the others that this entry takes no more requests. */
  leave(): void {
    this.#isLeaving = true;
  }

  #listHeard(withinMs: number): Peer[] {
    const since = this.#options.now() - withinMs;
    return [...this.#peers.values()].filter((peer) => peer.heardAtMs >= since);
  }

  async run(): Promise<void> {
    const { signal, random } = this.#options;
    for (let round = 0; !signal.aborted; round++) {
      await Promise.all(
        this.#chooseTargets(round).map((target) => this.#exchange(target)),
      );
      const pauseMs = ROUND_MS * (0.8 + 0.4 * random());
      await pauseFor(pauseMs, signal);
    }
  }

  #chooseTargets(round: number): NetworkAddress[] {
    const { seeds, self, random } = this.#options;
    const heard = this.#listHeard(GONE_AFTER_MS).map(({ place }) => place);
    const isNear = (place: Place) => place.dataCentre === self.dataCentre;
    const near = heard.filter(isNear);
    const far = heard.filter((place) => !isNear(place));
    const nearWanted = Math.min(
      near.length,
      PEERS_PER_ROUND - FAR_PEERS_PER_ROUND,
    );
    const chosen: NetworkAddress[] = [
      ...chooseSome(near, nearWanted, random),
      ...chooseSome(far, PEERS_PER_ROUND - nearWanted, random),
    ];
    if (chosen.length > 0 && round % SEED_EVERY_ROUNDS !== 0) return chosen;
    const isKnown = (seed: NetworkAddress) =>
      (seed.address === self.address && seed.port === self.port) ||
      chosen.some(
        (item) => item.address === seed.address && item.port === seed.port,
      );
    return [...chosen, ...seeds.filter((seed) => !isKnown(seed))];
  }

  #createMessage(): Uint8Array {
    const { self, rollouts, sessions, now, random } = this.#options;
    const nowMs = now();
    const heard = this.#listHeard(GONE_AFTER_MS);
    const named = Math.max(MIN_NAMED, Math.ceil(NAMED_SHARE * heard.length));
    const peers = chooseSome(heard, named, random).map(
      ({ place, heardAtMs }) => ({
        ...place,
        ageMs: Math.max(0, Math.round(nowMs - heardAtMs)),
      }),
    );
    return Exchange.encode({
      sender: { ...self, ageMs: 0 },
      leaving: this.#isLeaving,
      peers,
      rollouts: rollouts.listReports(nowMs),
      sessions: sessions.listReports(nowMs),
    }).finish();
  }

  async #exchange(target: NetworkAddress): Promise<void> {
    const { signal, log } = this.#options;
    const answer = await sendMessage({
      agent: this.#agent,
      target,
      path: EXCHANGE_PATH,
      data: this.#createMessage(),
      timeoutMs: EXCHANGE_TIMEOUT_MS,
      signal,
    });
    if (answer.isOk()) {
      this.#take(answer.value);
      return;
    }
    const { address } = target;
    log.debug("peer-unreachable", { address, reason: answer.error });
  }

  #take(data: Uint8Array): void {
    const { log, now, rollouts, sessions } = this.#options;
    let message: Exchange;
    try {
      message = Exchange.decode(data);
    } catch (error) {
      log.warn("peer-message-skipped", { reason: String(error) });
      return;
    }
    const nowMs = now();
    const { sender, leaving, peers } = message;
    if (sender !== undefined) {
      if (leaving) {
        this.#left.set(`${sender.name} ${sender.incarnation}`, true);
        this.#peers.delete(sender.name);
      } else this.#meet(sender, nowMs);
    }
    for (const place of peers) this.#meet(place, nowMs - place.ageMs);
    for (const report of message.rollouts) rollouts.mergeReport(report, nowMs);
    sessions.merge(message.sessions, nowMs);
  }

  #meet(place: Place, heardAtMs: number): void {
    const { self, log } = this.#options;
    if (place.name === "" || place.name === self.name) return;
    if (this.#left.has(`${place.name} ${place.incarnation}`)) return;
    const known = this.#peers.get(place.name);
    if (known !== undefined && known.heardAtMs >= heardAtMs) return;
    if (known === undefined) {
      log.info("peer-found", { peer: place.name, address: place.address });
    }
    this.#peers.set(place.name, { place, heardAtMs });
  }

  /** Answers the exchange of another entry. */
  answer(data: Uint8Array): Uint8Array {
    this.#take(data);
    return this.#createMessage();
  }
}
