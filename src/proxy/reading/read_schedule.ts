/**
 * Decides which callers' bytes are parsed next. All that they cause is work for
 * the one thread of the process, and callers choose how much they send. So
 * callers who wait for an answer before they send more go first, whatever the
 * number of those who don't, and each turn of the event loop has an end.
 */

/** What waits to be parsed, the most urgent first. */
export const READ_LEVEL = {
  /** The next request of a caller who has all answers. */
  request: 0,
  /** The rest of a request that has begun. */
  rest: 1,
  /** What a caller sends ahead of answers, or nobody needs. */
  ahead: 2,
} as const;
export type ReadLevel = (typeof READ_LEVEL)[keyof typeof READ_LEVEL];

/**
 * Most parts that are parsed in one turn, each with up to one request: so many
 * requests cause 10 to 15 ms of work.
 */
export const MAX_PARTS_PER_TURN = 32;
/** Time in which parts are parsed in one turn, ms. */
const MAX_TURN_MS = 4;
/** Parts of bodies that are parsed in each turn, also beside new requests. */
export const MIN_REST_PARTS = 4;
/** Most parts of what is sent ahead that are parsed in each turn. */
export const MAX_AHEAD_PARTS = 4;
/**
 * Turns between those parts while callers connect. Node accepts one connection
 * in each turn, so the turns must be short while others wait.
 */
const CONNECTING_TURNS_PER_AHEAD = 16;

/** A connection whose bytes wait to be parsed. */
export interface ScheduledReader {
  /** Parses one part; waits again for the rest. */
  processPart(): void;
}

export class ReadSchedule {
  readonly #now: () => number;
  /** By level; those that wait longest come first. */
  readonly #waiting = Object.values(READ_LEVEL).map(
    () => new Set<ScheduledReader>(),
  );
  #usedMs = 0;
  #parts = 0;
  #isScheduled = false;
  #hasConnection = false;
  #turnsWithoutAhead = 0;

  /** `now` is a monotonic clock, ms. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** True while bytes wait for a turn. */
  get hasWaiting(): boolean {
    return this.#waiting.some(({ size }) => size > 0);
  }

  /**
   * True where bytes may be parsed at once: the turn has room, and none wait
   * that come before them.
   */
  mayParse(level: ReadLevel): boolean {
    if (level === READ_LEVEL.ahead || !this.#hasRoom) return false;
    return this.#waiting.every(
      ({ size }, other) => size === 0 || other > level,
    );
  }

  /** A caller has connected in this turn. */
  addConnection(): void {
    this.#hasConnection = true;
    this.#schedule();
  }

  /** Runs the work that one part causes, and counts it. */
  run(work: () => void): void {
    const startedAtMs = this.#now();
    this.#parts++;
    try {
      work();
    } finally {
      this.#usedMs += this.#now() - startedAtMs;
      this.#schedule();
    }
  }

  /** The reader processes a part when its turn comes. */
  wait(reader: ScheduledReader, level: ReadLevel): void {
    this.#waiting[level]?.add(reader);
    this.#schedule();
  }

  /** Ends the wait of a reader that is closed or paused. */
  remove(reader: ScheduledReader): void {
    for (const readers of this.#waiting) readers.delete(reader);
  }

  get #hasRoom(): boolean {
    return this.#parts < MAX_PARTS_PER_TURN && this.#usedMs < MAX_TURN_MS;
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => this.#startTurn());
  }

  #startTurn(): void {
    this.#isScheduled = false;
    this.#usedMs = 0;
    this.#parts = 0;
    this.#processWaiting(READ_LEVEL.request, () => this.#hasRoom);
    this.#processWaiting(
      READ_LEVEL.rest,
      (parts) => parts < MIN_REST_PARTS || this.#hasRoom,
    );
    if (this.#isTurnOfAhead()) {
      this.#processWaiting(
        READ_LEVEL.ahead,
        (parts) => parts < MAX_AHEAD_PARTS,
      );
    }
    if (this.hasWaiting) this.#schedule();
  }

  #isTurnOfAhead(): boolean {
    const isDue = ++this.#turnsWithoutAhead >= CONNECTING_TURNS_PER_AHEAD;
    const mayGo = !this.#hasConnection || isDue;
    this.#hasConnection = false;
    if (mayGo) this.#turnsWithoutAhead = 0;
    return mayGo;
  }

  #processWaiting(level: ReadLevel, mayGoOn: (parts: number) => boolean): void {
    const readers = this.#waiting[level];
    for (let parts = 0; mayGoOn(parts); parts++) {
      const [reader] = readers ?? [];
      if (reader === undefined) return;
      readers?.delete(reader);
      reader.processPart();
    }
  }
}
