/** Seeded randomness of the stand-ins. */

import { createHash } from "node:crypto";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The generator's first value is 1 within 0.001 for every small seed. */
const SKIPPED_VALUES = 16;

/** Uniform numbers in 0..1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let count = 0; count < SKIPPED_VALUES; count += 1) generator.next();
  return () => uniformFloat64(generator);
}

/** Uniform in 0..1 and the same for equal texts. */
export function hashToShare(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE() / 2 ** 32;
}
