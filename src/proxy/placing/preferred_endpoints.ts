/**
 * Which endpoints are preferred for a shared prompt part, so that all entries
 * send it to the same few and it stays cached there.
 */

import { LRUCache } from "lru-cache";
import { sortByRendezvous } from "../../core/canonical.js";

/** With more, endpoints read a part more often than its cache saves. */
const ENDPOINTS_PER_PART = 2;
/** Parts whose result is remembered: sorting hashes every endpoint id. */
const MAX_PARTS = 2_000;

export class PreferredEndpoints {
  readonly #results = new LRUCache<
    string,
    { readonly endpointIds: string; readonly preferred: readonly string[] }
  >({ max: MAX_PARTS });

  /**
   * Ids of the preferred endpoints, best first. `partKey` is the model and the
   * id of the part.
   */
  list(partKey: string, endpointIds: readonly string[]): readonly string[] {
    const joinedIds = endpointIds.join(" ");
    const known = this.#results.get(partKey);
    if (known?.endpointIds === joinedIds) return known.preferred;
    const preferred = sortByRendezvous(partKey, endpointIds).slice(
      0,
      ENDPOINTS_PER_PART,
    );
    this.#results.set(partKey, { endpointIds: joinedIds, preferred });
    return preferred;
  }
}
