/**
 * The version that each session last ran on, so that a session keeps it. The
 * requests of one session may reach several entries, so entries report to each
 * other the sessions that a roll-out would move first.
 */

import { LRUCache } from "lru-cache";
import { hashToShare } from "../../core/canonical.js";
import type { SessionReport } from "../../schema/exchange/index.js";
import { toMessageNumber } from "./peer_messages.js";

const MAX_SESSIONS = 50_000;
/** Largest number of sessions that one message reports. */
const MAX_REPORTED_SESSIONS = 1_000;
/**
 * A session is reported for this time after its last request: some seven rounds
 * of exchanges, each of which triples the number of entries that know it.
 */
const REPORTED_FOR_MS = 3_000;

/** Hash of a session in [0, 1), the same at every entry. */
export function hashSession(service: string, session: string): number {
  return hashToShare(`${service} ${session}`);
}

/** The latest request of a session. */
interface SessionUse {
  readonly service: string;
  readonly session: string;
  readonly version: string;
  readonly atMs: number;
}

export interface SessionVersionsOptions {
  /** A session ends after this time without a request. */
  readonly maxGapMs: number;
  /** Sessions with a lower hash are reported to other entries. */
  readonly reportBelow: number;
}

export class SessionVersions {
  readonly #options: SessionVersionsOptions;
  readonly #sessions = new LRUCache<string, SessionUse>({ max: MAX_SESSIONS });
  readonly #reported = new LRUCache<string, SessionUse>({
    max: MAX_REPORTED_SESSIONS,
  });

  constructor(options: SessionVersionsOptions) {
    this.#options = options;
  }

  /** The version to keep; undefined for a new session or one that has ended. */
  get(service: string, session: string, nowMs: number): string | undefined {
    return this.#findVersion(
      this.#sessions.get(`${service} ${session}`),
      nowMs,
    );
  }

  /** As `get`, but leaves the order in which sessions are forgotten. */
  peek(service: string, session: string, nowMs: number): string | undefined {
    return this.#findVersion(
      this.#sessions.peek(`${service} ${session}`),
      nowMs,
    );
  }

  #findVersion(
    latestUse: SessionUse | undefined,
    nowMs: number,
  ): string | undefined {
    if (latestUse === undefined) return undefined;
    return nowMs - latestUse.atMs <= this.#options.maxGapMs
      ? latestUse.version
      : undefined;
  }

  record(
    service: string,
    session: string,
    use: { version: string; atMs: number },
  ): void {
    const key = `${service} ${session}`;
    const known = this.#sessions.get(key);
    if (known !== undefined && known.atMs >= use.atMs) return;
    const latest = { service, session, ...use };
    this.#sessions.set(key, latest);
    if (hashSession(service, session) < this.#options.reportBelow) {
      this.#reported.set(key, latest);
    }
  }

  /** The recent sessions that other entries should know. */
  listReports(nowMs: number): SessionReport[] {
    const reportedForMs = Math.min(REPORTED_FOR_MS, this.#options.maxGapMs);
    return [...this.#reported.values()]
      .filter((use) => nowMs - use.atMs <= reportedForMs)
      .map(({ service, session, version, atMs }) => {
        const ageMs = toMessageNumber(nowMs - atMs);
        return { service, session, version, ageMs };
      });
  }

  merge(reports: readonly SessionReport[], nowMs: number): void {
    for (const { service, session, version, ageMs } of reports) {
      this.record(service, session, { version, atMs: nowMs - ageMs });
    }
  }
}
