/**
 * Bodies that arrive. A caller who stops within a body holds its memory, for
 * which others are refused; so the body that stopped first gives way to them.
 */

/** Bytes that a body must gain to count as arriving. */
const PROGRESS_BYTES = 1_024;
/** Time without them after which a body has stopped, ms: above a lost packet. */
const STOPPED_MS = 1_000;

export interface BodyArrival {
  addBytes(bytes: number): void;
  /** The body is complete, or not wanted any longer. */
  end(): void;
}

class Arrival implements BodyArrival {
  readonly giveUp: () => void;
  progressAtMs: number;
  readonly #arrivals: Arrivals;
  #newBytes = 0;

  constructor(arrivals: Arrivals, giveUp: () => void, nowMs: number) {
    this.#arrivals = arrivals;
    this.giveUp = giveUp;
    this.progressAtMs = nowMs;
  }

  addBytes(bytes: number): void {
    this.#newBytes += bytes;
    if (this.#newBytes < PROGRESS_BYTES) return;
    this.#newBytes = 0;
    this.#arrivals.recordProgress(this);
  }

  end(): void {
    this.#arrivals.remove(this);
  }
}

export class Arrivals {
  readonly #now: () => number;
  /** The one whose progress is the oldest comes first. */
  readonly #arrivals = new Set<Arrival>();

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    this.#now = now;
  }

  add(giveUp: () => void): BodyArrival {
    const arrival = new Arrival(this, giveUp, this.#now());
    this.#arrivals.add(arrival);
    return arrival;
  }

  recordProgress(arrival: Arrival): void {
    if (!this.#arrivals.delete(arrival)) return;
    arrival.progressAtMs = this.#now();
    this.#arrivals.add(arrival);
  }

  remove(arrival: Arrival): void {
    this.#arrivals.delete(arrival);
  }

  /** Gives up the body that stopped first; false if none has. */
  giveUpStopped(): boolean {
    const [arrival] = this.#arrivals;
    if (arrival === undefined) return false;
    if (this.#now() - arrival.progressAtMs < STOPPED_MS) return false;
    this.#arrivals.delete(arrival);
    arrival.giveUp();
    return true;
  }
}
