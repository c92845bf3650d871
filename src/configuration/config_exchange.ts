/** Asks another process for its revision and applies the reply here. */

import { err, ok, type Result } from "neverthrow";
import {
  getSourceName,
  type Peer,
  type RatingIncreaseListener,
  type RatingTotals,
  type WatcherAnswer,
} from "../core/index.js";
import type {
  ConfirmStateReply,
  ConfirmStateRequest,
  EvidenceCount,
  FleetState,
} from "../schema/index.js";
import type { ConfigHolder } from "./config_holder.js";
import type { AskPeer, PeerFailure } from "./peer_clients.js";

export interface ExchangeOptions {
  /** Name and start time of this process, the source of its rating totals. */
  readonly source: string;
  readonly dataCentre: string;
  readonly holder: ConfigHolder;
  readonly ratingTotals: RatingTotals;
  readonly onRatingIncrease: RatingIncreaseListener;
  readonly ask: AskPeer;
  readonly getNowMs: () => number;
}

export interface AskOptions {
  /** True when the peer replies at once; false for a long poll. */
  readonly isImmediate: boolean;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** The answer of a peer, which may but need not be a watcher. */
export interface PeerAnswer extends WatcherAnswer {
  /** When the question was sent. */
  readonly sentAtMs: number;
  /** Age of the peer's own confirmation when the question arrived there. */
  readonly confirmedAgeMs: number;
}

export class ConfigExchange {
  readonly #options: ExchangeOptions;
  /** Revision that each process last reported, by process name. */
  readonly #knownRevisions = new Map<string, number>();

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  getKnownRevision(process: string): number | undefined {
    return this.#knownRevisions.get(process);
  }

  recordRevision(process: string, revision: number): void {
    this.#knownRevisions.set(process, revision);
  }

  /** Removes the processes that the host list no longer names. */
  prune(peers: readonly Peer[]): void {
    const names = new Set(peers.map((peer) => peer.name));
    for (const name of this.#knownRevisions.keys()) {
      if (!names.has(name)) this.#knownRevisions.delete(name);
    }
  }

  mergeRatings(counts: readonly EvidenceCount[]): void {
    for (const count of counts) {
      // Only this process knows its own total; a copy may be out of date.
      if (count.source === this.#options.source) continue;
      const increase = this.#options.ratingTotals.merge(count);
      if (increase !== undefined) this.#options.onRatingIncrease(increase);
    }
  }

  async ask(
    peer: Peer,
    options: AskOptions,
  ): Promise<Result<PeerAnswer, PeerFailure>> {
    const { holder, ratingTotals, getNowMs } = this.#options;
    const evidence =
      peer.role === "entry" ? ratingTotals.takeChangesFor(peer.name) : [];
    const request: ConfirmStateRequest = {
      process: this.#options.source,
      dataCentre: this.#options.dataCentre,
      revision: holder.revision,
      seeksEvidence: options.isImmediate,
      evidence,
    };
    const sentAtMs = getNowMs();
    const reply = await this.#options.ask(peer, request, options);
    if (reply.isErr()) {
      ratingTotals.resendAll(peer.name);
      return err(reply.error);
    }
    return this.#applyReply(peer, reply.value, sentAtMs);
  }

  #applyReply(
    peer: Peer,
    reply: ConfirmStateReply,
    sentAtMs: number,
  ): Result<PeerAnswer, PeerFailure> {
    const { holder } = this.#options;
    const { revision, confirmedAgeMs, storeAgeMs, watcher } = reply;
    if (revision > holder.revision) {
      const state = parseState(reply);
      if (state === undefined) {
        const detail = `The reply for revision ${revision} has no valid state`;
        return err({ kind: "peer-unreachable", peer: peer.name, detail });
      }
      holder.adopt(state);
    }
    this.recordRevision(peer.name, revision);
    this.mergeRatings(reply.evidence);
    holder.confirm({ sentAtMs, ageMs: confirmedAgeMs, revision });
    return ok({
      name: peer.name,
      revision,
      storeAgeMs,
      watcher,
      sentAtMs,
      confirmedAgeMs,
    });
  }
}

function parseState(reply: ConfirmStateReply): FleetState | undefined {
  try {
    const state = JSON.parse(reply.state) as FleetState;
    return state.revision === reply.revision ? state : undefined;
  } catch {
    return undefined;
  }
}

/** Name of the process that sent the request. */
export function getAskerName(request: ConfirmStateRequest): string {
  return getSourceName(request.process);
}
