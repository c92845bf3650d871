/** One question to another process, and what its answer changes here. */

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
import type { AskPeer, PeerFailure } from "./config_peers.js";

export interface ExchangeOptions {
  /** Name and life of this process, as in its rating totals. */
  readonly source: string;
  readonly dataCentre: string;
  readonly holder: ConfigHolder;
  readonly totals: RatingTotals;
  readonly onEvidence: RatingIncreaseListener;
  readonly ask: AskPeer;
  readonly getNowMs: () => number;
}

export interface Question {
  /** True when the answer is due at once. */
  readonly immediate: boolean;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** A watcher's answer, and how the replier stands to the store. */
export interface PeerAnswer extends WatcherAnswer {
  readonly sentAtMs: number;
  readonly confirmedAgeMs: number;
}

export class ConfigExchange {
  readonly #options: ExchangeOptions;
  /** Revision that each process was last known to hold. */
  readonly #revisions = new Map<string, number>();

  constructor(options: ExchangeOptions) {
    this.#options = options;
  }

  getRevision(process: string): number | undefined {
    return this.#revisions.get(process);
  }

  recordRevision(process: string, revision: number): void {
    this.#revisions.set(process, revision);
  }

  /** Forgets the processes that are gone. */
  prune(peers: readonly Peer[]): void {
    const names = new Set(peers.map((peer) => peer.name));
    for (const name of this.#revisions.keys()) {
      if (!names.has(name)) this.#revisions.delete(name);
    }
  }

  mergeEvidence(counts: readonly EvidenceCount[]): void {
    for (const count of counts) {
      // This process alone knows its own total.
      if (count.source === this.#options.source) continue;
      const increase = this.#options.totals.merge(count);
      if (increase !== undefined) this.#options.onEvidence(increase);
    }
  }

  async ask(
    peer: Peer,
    question: Question,
  ): Promise<Result<PeerAnswer, PeerFailure>> {
    const { holder, totals, getNowMs } = this.#options;
    const evidence =
      peer.role === "entry" ? totals.takeChangesFor(peer.name) : [];
    const request: ConfirmStateRequest = {
      process: this.#options.source,
      dataCentre: this.#options.dataCentre,
      revision: holder.revision,
      seeksEvidence: question.immediate,
      evidence,
    };
    const sentAtMs = getNowMs();
    const reply = await this.#options.ask(peer, request, question);
    if (reply.isErr()) {
      totals.resendAll(peer.name);
      return err(reply.error);
    }
    return this.#apply(peer, reply.value, sentAtMs);
  }

  #apply(
    peer: Peer,
    reply: ConfirmStateReply,
    sentAtMs: number,
  ): Result<PeerAnswer, PeerFailure> {
    const { holder } = this.#options;
    const { revision, confirmedAgeMs, storeAgeMs, watcher } = reply;
    if (revision > holder.revision) {
      const state = parseState(reply);
      if (state === undefined) {
        const detail = `Revision ${revision} came without its state`;
        return err({ kind: "peer-unreachable", peer: peer.name, detail });
      }
      holder.adopt(state);
    }
    this.recordRevision(peer.name, revision);
    this.mergeEvidence(reply.evidence);
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

/** Name of the process that asks. */
export function getAsker(request: ConfirmStateRequest): string {
  return getSourceName(request.process);
}
