/** Counts the small chunks of one body, which cost time and not memory. */

import { FREE_CHUNKS, SMALL_CHUNK_BYTES } from "./bounds.js";
import { type MemoryBudget, receivedMemory } from "./memory_budget.js";

export class ChunkMeter {
  readonly #budget: Pick<MemoryBudget, "takeSmallChunk">;
  #chunks = 0;

  constructor(budget: Pick<MemoryBudget, "takeSmallChunk"> = receivedMemory) {
    this.#budget = budget;
  }

  /** False where too many small chunks come in. */
  take(chunk: Buffer): boolean {
    this.#chunks++;
    return (
      this.#chunks <= FREE_CHUNKS ||
      chunk.length >= SMALL_CHUNK_BYTES ||
      this.#budget.takeSmallChunk()
    );
  }
}
