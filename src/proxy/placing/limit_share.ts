/**
 * How entries share the rate of requests that an endpoint takes from all of
 * them. Each entry computes its own part from the names of the entries that it
 * knows, so that no agreement is needed.
 *
 * With many entries, equal parts of a small rate would be a request a minute
 * for each, and the first token of each entry would exceed the rate. So only a
 * few entries use such an endpoint, for the load of all. The endpoint's id
 * decides which, so that each entry has about as many of these endpoints, and
 * another entry takes the place of one that leaves.
 */

import { sortByRendezvous } from "../../core/canonical.js";
import type { TokenRate } from "./token_bucket.js";

/** Up to this many entries share an endpoint, whatever its rate. */
const MIN_USERS = 4;
/** Above that, an entry uses the endpoint only if its part is at least this. */
const MIN_PART_PER_SECOND = 1;
/**
 * Rate at which an endpoint that names less is asked all the same: only its
 * answers show the end of the limit.
 */
const MIN_RATE_PER_SECOND = 0.2;
/** Requests that may follow each other at once, as the seconds of a part. */
const BURST_SECONDS = 1.5;

export interface LimitShareOptions {
  readonly endpointId: string;
  /** The rate that the endpoint takes from all entries together. */
  readonly perSecond: number;
  /** Name of this entry. */
  readonly selfName: string;
  /** Names of the entries that share the endpoint, this one included. */
  readonly entryNames: readonly string[];
}

export interface LimitShare extends TokenRate {
  /** How many entries share the endpoint. */
  readonly entryCount: number;
  /** How many of them use it. */
  readonly userCount: number;
  /** Requests per second if each of them used it. */
  readonly equalPerSecond: number;
}

/** This entry's part of the endpoint's rate; 0 if others use the endpoint. */
export function computeLimitShare(options: LimitShareOptions): LimitShare {
  const { endpointId, selfName, entryNames } = options;
  const perSecond = Math.max(MIN_RATE_PER_SECOND, options.perSecond);
  const maxUsers = Math.max(
    MIN_USERS,
    Math.floor(perSecond / MIN_PART_PER_SECOND),
  );
  const userCount = Math.min(maxUsers, entryNames.length);
  const isUser =
    userCount === entryNames.length ||
    sortByRendezvous(endpointId, entryNames)
      .slice(0, userCount)
      .includes(selfName);
  const part = isUser ? perSecond / userCount : 0;
  return {
    entryCount: entryNames.length,
    userCount,
    equalPerSecond: perSecond / entryNames.length,
    perSecond: part,
    capacity: Math.max(1, BURST_SECONDS * part),
  };
}
