/**
 * Which version each session last ran on, so that a session keeps it. Callers
 * of one session may come to several entries, so entries tell each other of
 * the sessions that a rollout would move first.
 */

import { LRUCache } from "lru-cache";
import { hashToShare } from "../../core/canonical.js";
import type { SessionReport } from "../../schema/exchange/index.js";

/** Sessions remembered by one entry. */
const MAX_SESSIONS = 50_000;
/** Sessions that are told to other entries at a time. */
const MAX_TOLD = 1_000;
/**
 * Time after its request in which a session is told to others, ms: some seven
 * rounds of exchanges, each of which triples the entries that know.
 */
const TOLD_FOR_MS = 3_000;

/** Place of a session in 0..1, the same at every entry. */
export function hashSession(service: string, session: string): number {
  return hashToShare(`${service} ${session}`);
}

interface Seen {
  readonly service: string;
  readonly session: string;
  readonly version: string;
  readonly atMs: number;
}

export interface SessionOptions {
  /** Requests of a session follow each other within this time, ms. */
  readonly gapMs: number;
  /** Sessions with a lower place are told to other entries. */
  readonly toldBelow: number;
}

export class SessionVersions {
  readonly #options: SessionOptions;
  readonly #sessions = new LRUCache<string, Seen>({ max: MAX_SESSIONS });
  readonly #told = new LRUCache<string, Seen>({ max: MAX_TOLD });

  constructor(options: SessionOptions) {
    this.#options = options;
  }

  /** The version of a session that is still together with its last request. */
  get(service: string, session: string, nowMs: number): string | undefined {
    const seen = this.#sessions.get(`${service} ${session}`);
    if (seen === undefined) return undefined;
    return nowMs - seen.atMs <= this.#options.gapMs ? seen.version : undefined;
  }

  record(
    service: string,
    session: string,
    seen: { version: string; atMs: number },
  ): void {
    const key = `${service} ${session}`;
    const known = this.#sessions.get(key);
    if (known !== undefined && known.atMs >= seen.atMs) return;
    const latest = { service, session, ...seen };
    this.#sessions.set(key, latest);
    if (hashSession(service, session) < this.#options.toldBelow) {
      this.#told.set(key, latest);
    }
  }

  /** The latest sessions that other entries should know. */
  listReports(nowMs: number): SessionReport[] {
    const toldForMs = Math.min(TOLD_FOR_MS, this.#options.gapMs);
    return [...this.#told.values()]
      .filter((seen) => nowMs - seen.atMs <= toldForMs)
      .map(({ service, session, version, atMs }) => {
        const ageMs = Math.max(0, Math.round(nowMs - atMs));
        return { service, session, version, ageMs };
      });
  }

  merge(reports: readonly SessionReport[], nowMs: number): void {
    for (const { service, session, version, ageMs } of reports) {
      this.record(service, session, { version, atMs: nowMs - ageMs });
    }
  }
}
