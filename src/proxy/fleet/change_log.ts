/** The latest change of each record, for those who ask what is new. */

/** Records whose changes are remembered. */
const MAX_RECORDS = 2_000;

export class ChangeLog<Change> {
  readonly #changes = new Map<string, { revision: number; change: Change }>();
  /** All changes after this revision are held. */
  #floor = Number.POSITIVE_INFINITY;
  #last = Number.NEGATIVE_INFINITY;

  /** Starts again from a whole list; earlier changes are no longer known. */
  reset(revision: number): void {
    this.#changes.clear();
    this.#floor = revision;
    this.#last = revision;
  }

  put(name: string, revision: number, change: Change): void {
    // The newest change stands last.
    this.#changes.delete(name);
    this.#changes.set(name, { revision, change });
    this.#last = Math.max(this.#last, revision);
    if (this.#changes.size <= MAX_RECORDS) return;
    const oldest = this.#changes.entries().next().value;
    if (oldest === undefined) return;
    this.#changes.delete(oldest[0]);
    this.#floor = Math.max(this.#floor, oldest[1].revision);
  }

  hasNewsSince(revision: number): boolean {
    return this.#last > revision;
  }

  /** Undefined when some changes since the revision are no longer known. */
  listSince(revision: number): readonly Change[] | undefined {
    if (revision < this.#floor) return undefined;
    return [...this.#changes.values()]
      .filter((entry) => entry.revision > revision)
      .map((entry) => entry.change);
  }
}
