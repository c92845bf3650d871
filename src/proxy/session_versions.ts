/** Which version each session last ran on, so that a session keeps it. */

import { LRUCache } from "lru-cache";

/** Sessions remembered by one entry. */
const MAX_SESSIONS = 50_000;

export class SessionVersions {
  readonly #versions: LRUCache<string, string>;

  /** Requests of a session follow each other within `gapMs`. */
  constructor(gapMs: number) {
    this.#versions = new LRUCache({ max: MAX_SESSIONS, ttl: gapMs });
  }

  get(service: string, session: string): string | undefined {
    return this.#versions.get(`${service} ${session}`);
  }

  record(service: string, session: string, version: string): void {
    this.#versions.set(`${service} ${session}`, version);
  }
}
