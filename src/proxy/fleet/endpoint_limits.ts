/**
 * Rates that endpoints set for all entries together. Entries learn of them from
 * answers and from each other, and each one keeps to its own part.
 */

import { LRUCache } from "lru-cache";
import type { Logger } from "../../adapters/logger.js";
import type { LimitReport } from "../../schema/exchange/index.js";
import {
  computeLimitShare,
  type EndpointState,
  LIMIT_CHANGE,
  type LimitShare,
  type LimitTokens,
} from "../placing/index.js";
import type { SuspendClock } from "../suspend_clock.js";
import type { AnswerFacts } from "../types.js";
import type { EndpointTable } from "./endpoint_table.js";
import { MAX_TRANSIT_MS, toMessageNumber } from "./peer_messages.js";

/** Time for which a computed part is used; the entries rarely change. */
const SHARE_LIFETIME_MS = 250;
/** Endpoints whose part is remembered. */
const MAX_SHARES = 1_000;
/** Time for which other entries are told that a limit has ended. */
const REPORT_END_FOR_MS = 30_000;
/** Factor of the score where this entry uses an endpoint for others as well. */
const STAND_IN_SCORE_FACTOR = 0.5;

const NO_SHARE: LimitShare = {
  perSecond: 0,
  capacity: 1,
  entryCount: 1,
  userCount: 0,
  equalPerSecond: 1,
};

export interface EndpointLimitsOptions {
  readonly selfName: string;
  /**
   * Names of the entries that share the endpoints, this one included;
   * undefined while this entry has no part in them.
   */
  readonly listSharers: () => readonly string[] | undefined;
  readonly endpoints: EndpointTable;
  /** Counts suspensions, since ages of limits are told to other entries. */
  readonly clock: SuspendClock;
  /**
   * Monotonic clock, ms, for the rate of requests: a step of the wall clock
   * looks like a suspension.
   */
  readonly now: () => number;
  readonly random: () => number;
  readonly log: Logger;
}

/** Right of one attempt to be sent to an endpoint with a limit. */
export interface LimitReservation {
  /** To be called when the attempt is sent; false if it must not be. */
  redeem(): boolean;
  /** Gives the token back if the attempt was not sent. */
  release(): void;
}

/** State of one limit, for metrics. */
export interface LimitStatus {
  readonly endpoint: string;
  readonly perSecond: number;
  readonly partPerSecond: number;
  readonly sentRequests: number;
}

export class EndpointLimits implements LimitTokens {
  readonly #options: EndpointLimitsOptions;
  readonly #shares = new LRUCache<
    string,
    { readonly share: LimitShare; readonly computedAtMs: number }
  >({ max: MAX_SHARES });

  constructor(options: EndpointLimitsOptions) {
    this.#options = options;
  }

  /** Clock of the times given to `recordAnswer`, ms. */
  readAnswerClock(): number {
    return this.#options.clock.now();
  }

  hasToken(state: EndpointState): boolean {
    const { limit } = state.availability;
    if (limit.perSecond === undefined) return true;
    return limit.hasToken(this.#getShare(state), this.#options.now());
  }

  getScoreFactor(state: EndpointState): number {
    if (state.availability.limit.perSecond === undefined) return 1;
    const { userCount, entryCount } = this.#getShare(state);
    return userCount < entryCount ? STAND_IN_SCORE_FACTOR : 1;
  }

  /** Keeps a token for an attempt that is about to be sent. */
  reserve(state: EndpointState): LimitReservation {
    const { limit } = state.availability;
    let isReserved = limit.perSecond !== undefined;
    if (isReserved) limit.reserveToken();
    const release = () => {
      if (isReserved) limit.releaseToken();
      isReserved = false;
    };
    return {
      release,
      redeem: () => {
        const wasReserved = isReserved;
        release();
        if (limit.perSecond === undefined) return true;
        const share = this.#getShare(state);
        const nowMs = this.#options.now();
        // The endpoint may have set the limit after it was chosen.
        if (!wasReserved && !limit.hasToken(share, nowMs)) return false;
        limit.takeToken(share, nowMs);
        return true;
      },
    };
  }

  /** Delay until a refused caller may be served by the endpoint, ms. */
  assignReturnDelay(state: EndpointState): number {
    const { now, random } = this.#options;
    const { limit } = state.availability;
    const share = this.#getShare(state);
    // Where only others use the endpoint, the caller may reach one of them.
    const perSecond =
      share.perSecond > 0 ? share.perSecond : share.equalPerSecond;
    return limit.assignReturnDelay({ ...share, perSecond }, now(), random);
  }

  #getShare(state: EndpointState): LimitShare {
    const { selfName, listSharers, now } = this.#options;
    const { id } = state.record;
    const { perSecond, changedAtMs } = state.availability.limit;
    if (perSecond === undefined) return NO_SHARE;
    const nowMs = now();
    const known = this.#shares.get(id);
    const isUsable =
      known !== undefined &&
      known.computedAtMs > changedAtMs &&
      nowMs - known.computedAtMs < SHARE_LIFETIME_MS;
    if (isUsable) return known.share;
    const entryNames = listSharers();
    const share =
      entryNames === undefined
        ? NO_SHARE
        : computeLimitShare({
            endpointId: id,
            perSecond,
            selfName,
            entryNames,
          });
    this.#shares.set(id, { share, computedAtMs: nowMs });
    return share;
  }

  /** `startedAtMs` is when the attempt began that got the answer. */
  recordAnswer(
    state: EndpointState,
    facts: AnswerFacts,
    startedAtMs: number,
  ): void {
    const { limitPerSecond, invalidLimit, isSigned } = facts;
    if (invalidLimit !== undefined) {
      this.#options.log.warn("endpoint-limit-skipped", {
        endpoint: state.record.id,
        text: invalidLimit,
      });
      if (limitPerSecond === undefined) return;
    }
    // An answer to an earlier request may be older than the limit.
    const mayEnd = isSigned && startedAtMs > state.availability.limit.heardAtMs;
    if (limitPerSecond === undefined && !mayEnd) return;
    this.#update(state, limitPerSecond, { ageMs: 0, source: "answer" });
  }

  #update(
    state: EndpointState,
    perSecond: number | undefined,
    { ageMs, source }: { ageMs: number; source: "answer" | "peer" },
  ): void {
    const { log, now, random } = this.#options;
    const { limit } = state.availability;
    const { sentRequests } = limit;
    const change = limit.update({
      perSecond,
      heardAtMs: this.readAnswerClock() - ageMs,
      nowMs: now(),
      firstTokens: random(),
    });
    if (change === LIMIT_CHANGE.none) return;
    const { id: endpoint, service } = state.record;
    const isEnd = change === LIMIT_CHANGE.ended;
    log.info(`endpoint-limit-${change}`, {
      endpoint,
      service,
      perSecond,
      partPerSecond: isEnd ? undefined : this.#getShare(state).perSecond,
      entries: isEnd ? undefined : this.#getShare(state).entryCount,
      sentRequests: isEnd ? sentRequests : undefined,
      source,
      ageMs: Math.round(ageMs),
    });
  }

  /** What other entries should know. */
  listReports(): LimitReport[] {
    const { endpoints, now } = this.#options;
    return endpoints.listAll().flatMap((state) => {
      const { limit } = state.availability;
      const isLimited = limit.perSecond !== undefined;
      if (!isLimited && now() - limit.changedAtMs > REPORT_END_FOR_MS) {
        return [];
      }
      return [
        {
          endpoint: state.record.id,
          startedAtMs: state.record.startedAtMs ?? 0,
          isLimited,
          perSecond: limit.perSecond ?? 0,
          ageMs: toMessageNumber(this.readAnswerClock() - limit.heardAtMs),
        },
      ];
    });
  }

  merge(reports: readonly LimitReport[]): void {
    const { endpoints } = this.#options;
    for (const report of reports) {
      const { isLimited, perSecond, ageMs } = report;
      const state = endpoints.get(report.endpoint);
      if (state === undefined) continue;
      const { startedAtMs = 0 } = state.record;
      if (startedAtMs !== report.startedAtMs) continue;
      if (!Number.isFinite(perSecond) || perSecond < 0) continue;
      this.#update(state, isLimited ? perSecond : undefined, {
        ageMs: ageMs + MAX_TRANSIT_MS,
        source: "peer",
      });
    }
  }

  listStatuses(): LimitStatus[] {
    return this.#options.endpoints.listAll().flatMap((state) => {
      const { perSecond, sentRequests } = state.availability.limit;
      if (perSecond === undefined) return [];
      return [
        {
          endpoint: state.record.id,
          perSecond,
          partPerSecond: this.#getShare(state).perSecond,
          sentRequests,
        },
      ];
    });
  }
}
