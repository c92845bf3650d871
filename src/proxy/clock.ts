/**
 * Time that also counts while the host is suspended. The steady clock stands
 * still then, and the time of day may be set at any moment, so only a forward
 * jump of the second against the first is counted.
 */

/** Smaller differences are the usual drift and rounding of the two clocks. */
const MIN_JUMP_MS = 300;

export interface ClockSources {
  readonly steady: () => number;
  readonly timeOfDay: () => number;
}

export class SuspendClock {
  readonly #sources: ClockSources;
  #offset: number;
  #suspendedMs = 0;

  constructor(sources: ClockSources) {
    this.#sources = sources;
    this.#offset = sources.timeOfDay() - sources.steady();
  }

  /** Milliseconds that include every suspected suspension. */
  now(): number {
    const steady = this.#sources.steady();
    const offset = this.#sources.timeOfDay() - steady;
    const jump = offset - this.#offset;
    if (jump > MIN_JUMP_MS) this.#suspendedMs += jump;
    this.#offset = offset;
    return steady + this.#suspendedMs;
  }
}

export function createSuspendClock(): SuspendClock {
  return new SuspendClock({
    steady: () => performance.now(),
    timeOfDay: () => Date.now(),
  });
}
