/** Which endpoints should keep a shared part of prompts. */

import { LRUCache } from "lru-cache";
import { sortByRendezvous } from "../../core/canonical.js";

/** Homes of a part; more of them read it more often than they save. */
const HOMES = 2;
/** Parts whose homes are remembered: ranking hashes every endpoint. */
const MAX_PARTS = 2_000;

export class PromptHomes {
  readonly #known = new LRUCache<
    string,
    { readonly ids: string; readonly homes: readonly string[] }
  >({ max: MAX_PARTS });

  /** Homes of a part, best first; `part` names it and the model that reads it. */
  list(part: string, ids: readonly string[]): readonly string[] {
    const all = ids.join(" ");
    const known = this.#known.get(part);
    if (known?.ids === all) return known.homes;
    const homes = sortByRendezvous(part, ids).slice(0, HOMES);
    this.#known.set(part, { ids: all, homes });
    return homes;
  }
}
