/** The latest change of each record, to list the changes since a revision. */

/** Above this number the record that changed longest ago is forgotten. */
const MAX_REMEMBERED_RECORDS = 2_000;

export class ChangeLog<Change> {
  readonly #changes = new Map<string, { revision: number; change: Change }>();
  /** The log holds all changes after this revision. */
  #completeAfterRevision = Number.POSITIVE_INFINITY;
  #latestRevision = Number.NEGATIVE_INFINITY;

  /** Starts over after a full listing; earlier changes are no longer known. */
  reset(revision: number): void {
    this.#changes.clear();
    this.#completeAfterRevision = revision;
    this.#latestRevision = revision;
  }

  put(recordName: string, revision: number, change: Change): void {
    // Deleted first so that the latest change is the last one in the map.
    this.#changes.delete(recordName);
    this.#changes.set(recordName, { revision, change });
    this.#latestRevision = Math.max(this.#latestRevision, revision);
    if (this.#changes.size <= MAX_REMEMBERED_RECORDS) return;
    const oldest = this.#changes.entries().next().value;
    if (oldest === undefined) return;
    this.#changes.delete(oldest[0]);
    this.#completeAfterRevision = Math.max(
      this.#completeAfterRevision,
      oldest[1].revision,
    );
  }

  hasChangesSince(revision: number): boolean {
    return this.#latestRevision > revision;
  }

  /** Undefined when some changes since the revision are no longer known. */
  listChangesSince(revision: number): readonly Change[] | undefined {
    if (revision < this.#completeAfterRevision) return undefined;
    return [...this.#changes.values()]
      .filter((entry) => entry.revision > revision)
      .map((entry) => entry.change);
  }
}
