/**
 * Which prompt parts an endpoint probably has cached, judged by what this entry
 * sent to it. An engine reads a part again unless it has cached all parts
 * before it for the same model.
 */

import { LRUCache } from "lru-cache";
import type { PromptPart } from "../types.js";

/** Parts remembered per endpoint; an engine caches a few hundred. */
const MAX_PARTS = 2_000;

export class PromptCacheEstimate {
  readonly #parts = new LRUCache<string, true>({ max: MAX_PARTS });

  record(model: string, parts: readonly PromptPart[]): void {
    for (const part of parts) this.#parts.set(`${model} ${part.id}`, true);
  }

  /** Tokens at the start of the prompt that need not be read again. */
  countCachedTokens(model: string, parts: readonly PromptPart[]): number {
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
