/**
 * Shares the process's one thread among connections to endpoints. All that an
 * endpoint's bytes cause is counted by the time that it takes. When the time of
 * one turn of the event loop is used up, further connections wait, and all else
 * goes on. Endpoints with waiting connections take turns, so that many at one
 * endpoint get no more than one at another.
 */

/** Time for bytes of endpoints in one phase of a turn of the event loop, ms. */
const TURN_MS = 4;

/** A connection whose bytes wait to be processed. */
export interface WaitingReader {
  /** Connections of the same endpoint share its turns. */
  readonly endpoint: object;
  /** Processes a small part of what has arrived; waits again for the rest. */
  processPart(): void;
}

export class ReadTurns {
  readonly #now: () => number;
  readonly #waiting = new Map<object, Set<WaitingReader>>();
  #usedMs = 0;
  #isScheduled = false;

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Time that bytes of endpoints have taken in this turn, ms. */
  get usedMs(): number {
    return this.#usedMs;
  }

  /** False once the time of this turn is used up; then call `wait`. */
  get hasTimeLeft(): boolean {
    return this.#usedMs < TURN_MS;
  }

  /** True while bytes wait for a turn. */
  get hasWaiting(): boolean {
    return this.#waiting.size > 0;
  }

  /** Runs work that bytes of an endpoint cause, and counts its time. */
  run<T>(work: () => T): T {
    const startedAtMs = this.#now();
    try {
      return work();
    } finally {
      this.#usedMs += this.#now() - startedAtMs;
      this.#schedule();
    }
  }

  /** The reader processes a part in its endpoint's turn. */
  wait(reader: WaitingReader): void {
    const readers = this.#waiting.get(reader.endpoint) ?? new Set();
    this.#waiting.set(reader.endpoint, readers.add(reader));
    this.#schedule();
  }

  /** Ends the wait of a reader that is closed. */
  remove(reader: WaitingReader): void {
    const readers = this.#waiting.get(reader.endpoint);
    if (!readers?.delete(reader)) return;
    if (readers.size === 0) this.#waiting.delete(reader.endpoint);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#startTurn());
  }

  #startTurn(): void {
    this.#isScheduled = false;
    this.#usedMs = 0;
    while (this.hasTimeLeft) {
      const reader = this.#takeNext();
      if (reader === undefined) return;
      reader.processPart();
    }
    if (this.#waiting.size > 0) this.#schedule();
  }

  /** The longest waiting reader of the endpoint whose last turn was longest ago. */
  #takeNext(): WaitingReader | undefined {
    const [next] = this.#waiting;
    if (next === undefined) return undefined;
    const [endpoint, readers] = next;
    const [reader] = readers;
    this.#waiting.delete(endpoint);
    if (reader !== undefined) readers.delete(reader);
    if (readers.size > 0) this.#waiting.set(endpoint, readers);
    return reader;
  }
}
