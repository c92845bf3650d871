/**
 * Which prompt parts an endpoint probably keeps, from what this entry sent to
 * it. An engine reads a part again unless it keeps all parts before it for the
 * same model.
 */

import { LRUCache } from "lru-cache";
import type { PromptPart } from "../types.js";

/** Parts remembered for one endpoint; an engine keeps a few hundred. */
const MAX_PARTS = 2_000;

export class PromptCache {
  readonly #parts = new LRUCache<string, true>({ max: MAX_PARTS });

  record(model: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.#parts.set(`${model} ${part.id}`, true);
  }

  /** Tokens at the start of the prompt that need not be read again. */
  countKept(model: string, parts: readonly PromptPart[]): number {
    let tokens = 0;
    for (const part of parts) {
      if (!this.#parts.has(`${model} ${part.id}`)) break;
      tokens += part.tokens;
    }
    return tokens;
  }

  clear(): void {
    this.#parts.clear();
  }
}
