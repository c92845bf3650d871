/** Caches the speeds of versions, so that a decision among many stays cheap. */

import type { VersionSpeed } from "./plans.js";

/** Speeds are cached this long, as many plans use the same ones. */
const SPEED_LIFETIME_MS = 1_000;
/** Cached speeds that one decision may renew, so that none renews all. */
const MAX_MEASURED_PER_DECISION = 8;

export class SpeedCache {
  readonly #cached = new Map<
    string,
    { speed: VersionSpeed; measuredAtMs: number }
  >();
  readonly #measure: (version: string) => VersionSpeed;
  /** Time of the present decision, which all calls of one time belong to. */
  #decidedAtMs = -1;
  #measurementsLeft = 0;

  constructor(measure: (version: string) => VersionSpeed) {
    this.#measure = measure;
  }

  clear(): void {
    this.#cached.clear();
  }

  get(version: string, nowMs: number): VersionSpeed {
    if (nowMs !== this.#decidedAtMs) {
      this.#decidedAtMs = nowMs;
      this.#measurementsLeft = MAX_MEASURED_PER_DECISION;
    }
    const cached = this.#cached.get(version);
    if (cached !== undefined) {
      const isFresh = nowMs - cached.measuredAtMs < SPEED_LIFETIME_MS;
      if (isFresh || this.#measurementsLeft <= 0) return cached.speed;
    }
    this.#measurementsLeft--;
    const speed = this.#measure(version);
    this.#cached.set(version, { speed, measuredAtMs: nowMs });
    return speed;
  }
}
