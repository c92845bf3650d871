/**
 * Fixes the seed of the property tests, so that each CI run has the same
 * result. FUZZ_SEED=N sets another one.
 */

import fc from "fast-check";

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({ seed: Number(process.env.FUZZ_SEED ?? DEFAULT_SEED) });
