/** Prompt prefix cache in limited memory, by blocks of text. */

import { createHash } from "node:crypto";
import { LRUCache } from "lru-cache";

/** Usual estimate for English text. */
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

  /** Gives the tokens of the prompt's cached prefix and caches the rest. */
  add(prompt: string): number {
    let hash = "";
    let cachedTokens = 0;
    let whole = true;
    for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; ) {
      const block = prompt.slice(at, at + BLOCK_CHARACTERS);
      hash = createHash("sha1").update(hash).update(block).digest("base64");
      whole = whole && this.#blocks.get(hash) !== undefined;
      if (whole) cachedTokens += BLOCK_TOKENS;
      this.#blocks.set(hash, true);
      at += BLOCK_CHARACTERS;
    }
    return cachedTokens;
  }

  clear(): void {
    this.#blocks.clear();
  }
}
