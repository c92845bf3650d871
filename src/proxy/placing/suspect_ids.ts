/**
 * Ids of what may lead to the crash of an endpoint: the parts that a prompt
 * shares with others, and the request as a whole.
 */

import { hashSha256 } from "../../core/canonical.js";
import type { RequestFacts } from "../types.js";

/** Parts of one prompt that are considered. */
export const MAX_PROMPT_PARTS = 8;
/** Callers choose the ids; longer ones are replaced by a hash. */
export const MAX_PART_ID_LENGTH = 32;
/** Begins the id of a request; with a fingerprint it has the longest length. */
const REQUEST_PREFIX = "request:";

/** What is known of a request that may lead to crashes. */
export type Suspect = Pick<RequestFacts, "parts" | "fingerprint">;

export function listSuspectIds({ parts, fingerprint }: Suspect): string[] {
  const ids = listSharedPartIds(parts);
  return fingerprint === undefined
    ? ids
    : [...ids, REQUEST_PREFIX + fingerprint];
}

/** Ids of the parts that a prompt may share; the last part is its own. */
export function listSharedPartIds(parts: Suspect["parts"]): string[] {
  return parts
    .slice(0, -1)
    .slice(0, MAX_PROMPT_PARTS)
    .map(({ id }) =>
      id.length <= MAX_PART_ID_LENGTH && !isRequestId(id)
        ? id
        : hashSha256(id).slice(0, MAX_PART_ID_LENGTH),
    );
}

export function isRequestId(id: string): boolean {
  return id.startsWith(REQUEST_PREFIX);
}
