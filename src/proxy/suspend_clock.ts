/**
 * Clock that also counts the time in which the host is suspended. The
 * monotonic clock stops during a suspension, and the wall clock may be set at
 * any moment. So only a forward jump of the wall clock against the monotonic
 * one counts as a suspension.
 */

/** Smaller jumps come from the usual drift and rounding of the two clocks. */
const MIN_SUSPENSION_MS = 300;

export interface ClockSources {
  readonly readMonotonicMs: () => number;
  readonly readWallClockMs: () => number;
}

export class SuspendClock {
  readonly #sources: ClockSources;
  /** Wall clock minus monotonic clock at the last reading. */
  #offsetMs: number;
  #suspendedMs = 0;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#offsetMs = sources.readWallClockMs() - sources.readMonotonicMs();
  }

  /** Monotonic time plus all suspected suspensions, ms. */
  now(): number {
    const monotonicMs = this.#sources.readMonotonicMs();
    const offsetMs = this.#sources.readWallClockMs() - monotonicMs;
    const jumpMs = offsetMs - this.#offsetMs;
    if (jumpMs > MIN_SUSPENSION_MS) this.#suspendedMs += jumpMs;
    this.#offsetMs = offsetMs;
    return monotonicMs + this.#suspendedMs;
  }
}

export function createSuspendClock(): SuspendClock {
  return new SuspendClock({
    readMonotonicMs: () => performance.now(),
    readWallClockMs: () => Date.now(),
  });
}
