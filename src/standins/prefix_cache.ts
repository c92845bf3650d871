/** Prompt prefix cache that keeps the most recently used blocks of text. */

import { createHash } from "node:crypto";
import { LRUCache } from "lru-cache";

/** Common estimate for English text. */
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = 16;
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

export function countTokens(text: string): number {
  return Math.max(1, Math.ceil(text.length / CHARACTERS_PER_TOKEN));
}

export class PrefixCache {
  readonly #blocks: LRUCache<string, true>;

  constructor(maxTokens: number) {
    const max = Math.max(1, Math.floor(maxTokens / BLOCK_TOKENS));
    this.#blocks = new LRUCache({ max });
  }

  /** Caches the prompt; returns how many of its first tokens were cached. */
  add(prompt: string): number {
    let hash = "";
    let cachedTokens = 0;
    let isPrefixCached = true;
    for (let start = 0; start + BLOCK_CHARACTERS <= prompt.length; ) {
      const block = prompt.slice(start, start + BLOCK_CHARACTERS);
      hash = createHash("sha1").update(hash).update(block).digest("base64");
      isPrefixCached = isPrefixCached && this.#blocks.get(hash) !== undefined;
      if (isPrefixCached) cachedTokens += BLOCK_TOKENS;
      this.#blocks.set(hash, true);
      start += BLOCK_CHARACTERS;
    }
    return cachedTokens;
  }

  clear(): void {
    this.#blocks.clear();
  }
}
