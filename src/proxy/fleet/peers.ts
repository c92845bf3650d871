/**
 * Discovery of the other entries, and exchange of roll-out evidence and session
 * versions with them. In each round an entry exchanges messages with a few
 * random peers (a gossip protocol). Entries find each other through seed
 * addresses and through the peers that messages list.
 */

import { Agent } from "node:http";
import { LRUCache } from "lru-cache";
import type { Logger } from "../../adapters/logger.js";
import { pauseFor } from "../../adapters/pause_for.js";
import { RepeatLog } from "../../adapters/repeat_log.js";
import { Exchange, type Place } from "../../schema/exchange/index.js";
import { chooseSome } from "../choose_some.js";
import type { NetworkAddress } from "../types.js";
import { decodeExchange } from "./decode_messages.js";
import type { EndpointLimits } from "./endpoint_limits.js";
import { sendMessage, toMessageNumber } from "./peer_messages.js";
import type { PromptHolds } from "./prompt_holds.js";
import type { Rollouts } from "./rollouts.js";
import type { SessionVersions } from "./session_versions.js";
import type { SharedLoads } from "./shared_loads.js";
import { Sharers } from "./sharers.js";

/** Mean pause between two rounds. */
const ROUND_INTERVAL_MS = 400;
/** Peers that get a message in one round; the others get theirs later. */
const PEERS_PER_ROUND = 3;
/** Of them, peers in other data centres; traffic to those costs money. */
const REMOTE_PEERS_PER_ROUND = 1;
const EXCHANGE_TIMEOUT_MS = 500;
/** Silence after which a peer gets no messages and is not listed in any. */
const ABSENT_AFTER_MS = 5_000;
/** Silence after which a peer no longer counts as sharing the endpoints. */
const FORGET_AFTER_MS = 30_000;
/** The seeds get a message every so many rounds; all rounds without peers. */
const SEED_INTERVAL_ROUNDS = 5;
/** The number of entries is assumed to be at least this during discovery. */
const MIN_ASSUMED_ENTRIES = 8;
/** Time after the start in which the first rounds find the other entries. */
const DISCOVERY_MS = 2_500;
/** Above this number the peer that was heard of longest ago is forgotten. */
const MAX_PEERS = 1_000;
/** Departed peers that are remembered. */
const MAX_REMEMBERED_DEPARTURES = 1_000;
/** A message lists this share of the present peers, or the minimum if more. */
const MIN_LISTED_PEERS = 6;
const LISTED_PEERS_SHARE = 0.1;

/** HTTP path of the exchange between entries. */
export const EXCHANGE_PATH = "/exchange";

export interface PeersOptions {
  readonly self: Omit<Place, "ageMs">;
  readonly seeds: readonly NetworkAddress[];
  readonly rollouts: Rollouts;
  readonly sessions: SessionVersions;
  readonly limits: Pick<EndpointLimits, "listReports" | "merge">;
  readonly sharedLoads: Pick<SharedLoads, "createMessage" | "merge" | "remove">;
  readonly promptHolds: Pick<
    PromptHolds,
    "listCrashReports" | "listHoldReports" | "mergeCrashes" | "mergeHolds"
  >;
  /** Version of the configuration in force, 0 without one. */
  readonly getConfigVersion: () => number;
  readonly now: () => number;
  readonly random: () => number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

interface Peer {
  place: Place;
  lastHeardAtMs: number;
}

export class Peers {
  readonly #options: PeersOptions;
  readonly #peers = new Map<string, Peer>();
  /** Starts of peers that have left; other entries may still list them. */
  readonly #departed = new LRUCache<string, true>({
    max: MAX_REMEMBERED_DEPARTURES,
  });
  readonly #sharers = new Sharers();
  readonly #agent = new Agent({ keepAlive: true });
  readonly #startedAtMs: number;
  readonly #oddLog: RepeatLog;
  #isLeaving = false;
  #newestConfigVersion = 0;

  constructor(options: PeersOptions) {
    this.#options = options;
    this.#startedAtMs = options.now();
    this.#oddLog = new RepeatLog(options);
    const { signal } = options;
    signal.addEventListener("abort", () => this.#agent.destroy(), {
      once: true,
    });
  }

  /** Number of entries that share the endpoints, this one included. */
  countEntries(): number {
    const nowMs = this.#options.now();
    const foundCount = this.#listHeardWithin(FORGET_AFTER_MS).length + 1;
    const isDiscoveryOver = nowMs - this.#startedAtMs > DISCOVERY_MS;
    return isDiscoveryOver
      ? foundCount
      : Math.max(foundCount, MIN_ASSUMED_ENTRIES);
  }

  /**
   * Number of entries that share a fixed allowance, this one included, and
   * those that are cut off. Undefined until the others are found.
   */
  countSharers(): number | undefined {
    const { now, seeds } = this.#options;
    const nowMs = now();
    const hasOtherSeeds = seeds.some((seed) => !this.#isSelf(seed));
    if (!hasOtherSeeds) return this.#sharers.count(nowMs);
    const isDiscovering = nowMs - this.#startedAtMs <= DISCOVERY_MS;
    if (isDiscovering || this.#sharers.isEmpty) return undefined;
    return this.#sharers.count(nowMs);
  }

  #isSelf({ address, port }: NetworkAddress): boolean {
    const { self } = this.#options;
    return address === self.address && port === self.port;
  }

  /**
   * Names of the entries that share a rate, this one included. An entry that is
   * cut off from all others still counts those that it last knew, as they go on.
   * Undefined until the others are found, and once they take over from this
   * entry because it leaves.
   */
  listSharers(): string[] | undefined {
    const { now, self } = this.#options;
    const nowMs = now();
    if (nowMs - this.#startedAtMs <= DISCOVERY_MS) return undefined;
    const lastHeardAtMs = Math.max(
      ...[...this.#peers.values()].map((peer) => peer.lastHeardAtMs),
    );
    const isCutOff = nowMs - lastHeardAtMs > ABSENT_AFTER_MS;
    const silenceMs = isCutOff ? nowMs - lastHeardAtMs : 0;
    const names = this.#listHeardWithin(FORGET_AFTER_MS + silenceMs).map(
      ({ place }) => place.name,
    );
    if (this.#isLeaving && names.length > 0) return undefined;
    return [self.name, ...names];
  }

  /** Newest version of the configuration that another entry had in force. */
  get newestConfigVersion(): number {
    return this.#newestConfigVersion;
  }

  /** Position of this entry among the present ones in order of name, from 0. */
  getRankByName(): number {
    const { name } = this.#options.self;
    return this.#listHeardWithin(ABSENT_AFTER_MS).filter(
      (peer) => peer.place.name < name,
    ).length;
  }

  /** The other present entries of this data centre, sorted by name. */
  listNeighbours(): Place[] {
    const { dataCentre } = this.#options.self;
    return this.#listHeardWithin(ABSENT_AFTER_MS)
      .map(({ place }) => place)
      .filter((place) => place.dataCentre === dataCentre)
      .sort((one, other) => (one.name < other.name ? -1 : 1));
  }

  /** Messages say from now on that this entry accepts no more requests. */
  leave(): void {
    this.#isLeaving = true;
  }

  #listHeardWithin(withinMs: number): Peer[] {
    const sinceMs = this.#options.now() - withinMs;
    return [...this.#peers.values()].filter(
      (peer) => peer.lastHeardAtMs >= sinceMs,
    );
  }

  async run(): Promise<void> {
    const { signal, random } = this.#options;
    for (let round = 0; !signal.aborted; round++) {
      try {
        await Promise.all(
          this.#chooseTargets(round).map((target) =>
            this.#exchangeWith(target),
          ),
        );
      } catch (error) {
        const reason = String(error);
        this.#oddLog.error(reason, "peer-round-failed", { reason });
      }
      const pauseMs = ROUND_INTERVAL_MS * (0.8 + 0.4 * random());
      await pauseFor(pauseMs, signal);
    }
  }

  #chooseTargets(round: number): NetworkAddress[] {
    const { seeds, self, random } = this.#options;
    const presentPlaces = this.#listHeardWithin(ABSENT_AFTER_MS).map(
      ({ place }) => place,
    );
    const isLocal = (place: Place) => place.dataCentre === self.dataCentre;
    const localPeers = presentPlaces.filter(isLocal);
    const remotePeers = presentPlaces.filter((place) => !isLocal(place));
    const localCount = Math.min(
      localPeers.length,
      PEERS_PER_ROUND - REMOTE_PEERS_PER_ROUND,
    );
    const chosen: NetworkAddress[] = [
      ...chooseSome(localPeers, localCount, random),
      ...chooseSome(remotePeers, PEERS_PER_ROUND - localCount, random),
    ];
    if (chosen.length > 0 && round % SEED_INTERVAL_ROUNDS !== 0) return chosen;
    const isSelfOrChosen = (seed: NetworkAddress) =>
      this.#isSelf(seed) ||
      chosen.some(
        (place) => place.address === seed.address && place.port === seed.port,
      );
    return [...chosen, ...seeds.filter((seed) => !isSelfOrChosen(seed))];
  }

  #createMessage(): Uint8Array {
    const { self, rollouts, sessions, limits, promptHolds } = this.#options;
    const { getConfigVersion, now, random } = this.#options;
    const nowMs = now();
    const presentPeers = this.#listHeardWithin(ABSENT_AFTER_MS);
    const listedCount = Math.max(
      MIN_LISTED_PEERS,
      Math.ceil(LISTED_PEERS_SHARE * presentPeers.length),
    );
    const peers = chooseSome(presentPeers, listedCount, random).map(
      ({ place, lastHeardAtMs }) => ({
        ...place,
        ageMs: toMessageNumber(nowMs - lastHeardAtMs),
      }),
    );
    return Exchange.encode({
      sender: { ...self, ageMs: 0 },
      leaving: this.#isLeaving,
      peers,
      rollouts: rollouts.listReports(nowMs),
      sessions: sessions.listReports(nowMs),
      limits: limits.listReports(),
      configVersion: getConfigVersion(),
      crashes: promptHolds.listCrashReports(),
      holds: promptHolds.listHoldReports(),
      ...this.#options.sharedLoads.createMessage(),
    }).finish();
  }

  async #exchangeWith(target: NetworkAddress): Promise<void> {
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
      this.#applyMessage(answer.value);
      return;
    }
    const { address } = target;
    log.debug("peer-unreachable", { address, reason: answer.error });
  }

  #applyMessage(data: Uint8Array): void {
    const { now, rollouts, sessions, limits, promptHolds, sharedLoads } =
      this.#options;
    const decoded = decodeExchange(data);
    if (decoded.isErr()) {
      const reason = decoded.error;
      this.#oddLog.warn("skipped", "peer-message-skipped", { reason });
      return;
    }
    const nowMs = now();
    const { message, oddKinds } = decoded.value;
    const { sender, leaving, peers } = message;
    if (oddKinds.length > 0) {
      const odd = oddKinds.join(",");
      const fields = { odd, peer: sender?.name, address: sender?.address };
      this.#oddLog.warn("odd", "peer-message-odd", fields);
    }
    if (sender !== undefined) {
      if (leaving) {
        this.#departed.set(`${sender.name} ${sender.incarnation}`, true);
        this.#peers.delete(sender.name);
        this.#sharers.recordLeaving(sender.name, nowMs);
        sharedLoads.remove(sender.name);
      } else {
        this.#recordPeer(sender, nowMs);
        sharedLoads.merge(sender, message);
      }
    }
    for (const place of peers) {
      if (place.ageMs <= FORGET_AFTER_MS)
        this.#recordPeer(place, nowMs - place.ageMs);
    }
    for (const report of message.rollouts) rollouts.mergeReport(report, nowMs);
    sessions.merge(message.sessions, nowMs);
    limits.merge(message.limits);
    this.#newestConfigVersion = Math.max(
      this.#newestConfigVersion,
      message.configVersion,
    );
    promptHolds.mergeHolds(message.holds);
    promptHolds.mergeCrashes(message.crashes);
  }

  #recordPeer(place: Place, lastHeardAtMs: number): void {
    const { self, log } = this.#options;
    if (place.name === "" || place.name === self.name) return;
    if (this.#departed.has(`${place.name} ${place.incarnation}`)) return;
    const known = this.#peers.get(place.name);
    if (known !== undefined && known.lastHeardAtMs >= lastHeardAtMs) return;
    if (known === undefined) {
      log.info("peer-found", { peer: place.name, address: place.address });
    }
    this.#peers.set(place.name, { place, lastHeardAtMs });
    this.#sharers.record(place.name, lastHeardAtMs);
    if (this.#peers.size > MAX_PEERS) this.#forgetOldestPeer();
  }

  #forgetOldestPeer(): void {
    const [oldest] = [...this.#peers.values()].sort(
      (one, other) => one.lastHeardAtMs - other.lastHeardAtMs,
    );
    if (oldest !== undefined) this.#peers.delete(oldest.place.name);
  }

  /** Handles the message of another entry and answers with its own. */
  answer(data: Uint8Array): Uint8Array {
    this.#applyMessage(data);
    return this.#createMessage();
  }
}
