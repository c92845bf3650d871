/** Logs what may come again and again once in a while only. */

import { LRUCache } from "lru-cache";
import type { LogFields, Logger } from "./logger.js";

/** Causes whose last line is remembered. */
const MAX_REMEMBERED = 1_000;
/** Time in which a cause is not logged again, ms. */
const DEFAULT_INTERVAL_MS = 60_000;

export interface RepeatLogOptions {
  readonly log: Pick<Logger, "warn">;
  /** Monotonic clock, ms. */
  readonly now: () => number;
  readonly intervalMs?: number;
}

export class RepeatLog {
  readonly #options: RepeatLogOptions;
  readonly #loggedAtMs = new LRUCache<string, number>({ max: MAX_REMEMBERED });

  constructor(options: RepeatLogOptions) {
    this.#options = options;
  }

  /** `cause` tells what is the same for lines with different fields. */
  warn(cause: string, event: string, fields: LogFields): void {
    const { log, now, intervalMs = DEFAULT_INTERVAL_MS } = this.#options;
    const nowMs = now();
    const loggedAtMs = this.#loggedAtMs.get(cause);
    if (loggedAtMs !== undefined && nowMs - loggedAtMs < intervalMs) return;
    this.#loggedAtMs.set(cause, nowMs);
    log.warn(event, fields);
  }
}
