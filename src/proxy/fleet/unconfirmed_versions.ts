/**
 * Versions that have just appeared and may be the target of a roll-out whose
 * order this entry has not read. An operator orders a roll-out before its
 * endpoints start, so the order is older than their records. Once the view of
 * the orders has reached the revision of the first such record, the order is
 * known, or there is none.
 */

import { LRUCache } from "lru-cache";

/** Versions of all services that are remembered. */
const MAX_CONFIRMED_VERSIONS = 1_000;

export interface ServiceVersion {
  readonly service: string;
  readonly version: string;
}

interface UnconfirmedVersion extends ServiceVersion {
  /** Revision of the first record, by which an order is known. */
  readonly revision: number;
}

export class UnconfirmedVersions {
  readonly #confirmed = new LRUCache<string, true>({
    max: MAX_CONFIRMED_VERSIONS,
  });
  readonly #unconfirmed = new Map<string, UnconfirmedVersion>();
  #confirmedRevision = Number.NEGATIVE_INFINITY;

  /**
   * Adds the version of an endpoint whose record has this revision. True while
   * the orders are not known up to there.
   */
  add({ service, version }: ServiceVersion, revision: number): boolean {
    const key = createKey({ service, version });
    if (this.#confirmed.get(key) === true) return false;
    const known = this.#unconfirmed.get(key)?.revision ?? revision;
    const firstRevision = Math.min(known, revision);
    if (firstRevision <= this.#confirmedRevision) {
      this.addConfirmed({ service, version });
      return false;
    }
    const added = { service, version, revision: firstRevision };
    this.#unconfirmed.set(key, added);
    return true;
  }

  addConfirmed({ service, version }: ServiceVersion): void {
    const key = createKey({ service, version });
    this.#unconfirmed.delete(key);
    this.#confirmed.set(key, true);
  }

  /** All orders up to this revision of the store are known. */
  confirm(revision: number): void {
    this.#confirmedRevision = revision;
    for (const version of this.#unconfirmed.values())
      if (version.revision <= revision) this.addConfirmed(version);
  }

  /** To be called when the store gives out revisions anew. */
  restart(): void {
    this.#confirmedRevision = Number.NEGATIVE_INFINITY;
    for (const [key, version] of this.#unconfirmed) {
      const revision = Number.POSITIVE_INFINITY;
      this.#unconfirmed.set(key, { ...version, revision });
    }
  }

  get isEmpty(): boolean {
    return this.#unconfirmed.size === 0;
  }

  has(version: ServiceVersion): boolean {
    return this.#unconfirmed.has(createKey(version));
  }
}

function createKey({ service, version }: ServiceVersion): string {
  return `${service} ${version}`;
}
