/** The latest change of each record, to list the changes since a revision. */

import { receivedMemory } from "../../adapters/received/index.js";

/** Above this number the record that changed longest ago is forgotten. */
const MAX_REMEMBERED_RECORDS = 2_000;

/**
 * Share of the values of all answers of the store above which likewise; there
 * is a log for each of four kinds of records. A record of an endpoint has some
 * 25 values, so that 3,700 of them fit on the smallest host.
 */
const VALUES_SHARE = 0.25;

interface LoggedChange<Change> {
  readonly revision: number;
  readonly change: Change;
  readonly values: number;
}

/** Keeps changes that consist of what JSON can express. */
export class ChangeLog<Change> {
  readonly #changes = new Map<string, LoggedChange<Change>>();
  #valueCount = 0;
  /** The log holds all changes after this revision. */
  #completeAfterRevision = Number.POSITIVE_INFINITY;
  #latestRevision = Number.NEGATIVE_INFINITY;

  /** Starts over after a full listing; earlier changes are no longer known. */
  reset(revision: number): void {
    this.#changes.clear();
    this.#valueCount = 0;
    this.#completeAfterRevision = revision;
    this.#latestRevision = revision;
  }

  put(recordName: string, revision: number, change: Change): void {
    // Deleted first so that the latest change is the last one in the map.
    this.#delete(recordName);
    const values = countNested(change);
    this.#changes.set(recordName, { revision, change, values });
    this.#valueCount += values;
    this.#latestRevision = Math.max(this.#latestRevision, revision);
    const maxValues = VALUES_SHARE * receivedMemory.maxValues;
    while (
      this.#changes.size > MAX_REMEMBERED_RECORDS ||
      this.#valueCount > maxValues
    )
      this.#forgetOldest();
  }

  #forgetOldest(): void {
    const [name = "", oldest] = this.#changes.entries().next().value ?? [];
    this.#delete(name);
    this.#completeAfterRevision = Math.max(
      this.#completeAfterRevision,
      oldest?.revision ?? 0,
    );
  }

  #delete(recordName: string): void {
    this.#valueCount -= this.#changes.get(recordName)?.values ?? 0;
    this.#changes.delete(recordName);
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

function countNested(value: unknown): number {
  if (typeof value !== "object" || value === null) return 1;
  let count = 1;
  for (const item of Object.values(value)) count += countNested(item);
  return count;
}
