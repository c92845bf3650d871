/** Seeded random numbers of the stand-ins. */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** The first value is within 0.001 of 1 for every small seed. */
const SKIPPED_VALUES = 16;

/** Returns a generator of uniform numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let count = 0; count < SKIPPED_VALUES; count += 1) generator.next();
  return () => uniformFloat64(generator);
}
