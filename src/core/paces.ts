/** Keeps measured speeds of versions, so that a plan costs the same for many. */

import type { VersionPace } from "./plans.js";

/** Speeds of versions are kept this long; many plans use the same ones. */
const PACE_MS = 1_000;
/** Speeds renewed in one decision, so that none has to renew all of them. */
const MAX_RENEWED = 8;

export class PaceCache {
  readonly #kept = new Map<string, { pace: VersionPace; madeAtMs: number }>();
  readonly #measure: (version: string) => VersionPace;
  #decidedAtMs = -1;
  #left = 0;

  constructor(measure: (version: string) => VersionPace) {
    this.#measure = measure;
  }

  clear(): void {
    this.#kept.clear();
  }

  get(version: string, nowMs: number): VersionPace {
    if (nowMs !== this.#decidedAtMs) {
      this.#decidedAtMs = nowMs;
      this.#left = MAX_RENEWED;
    }
    const kept = this.#kept.get(version);
    if (kept !== undefined) {
      const isFresh = nowMs - kept.madeAtMs < PACE_MS;
      if (isFresh || this.#left <= 0) return kept.pace;
    }
    this.#left--;
    const pace = this.#measure(version);
    this.#kept.set(version, { pace, madeAtMs: nowMs });
    return pace;
  }
}
