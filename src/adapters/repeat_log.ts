/** Logs what may come again and again once in a while only. */

import { LRUCache } from "lru-cache";
import type { LogFields, Logger } from "./logger.js";

/** Causes whose last line is remembered. */
const MAX_REMEMBERED = 1_000;
/** What tells two causes apart, characters; texts of others may be long. */
const MAX_CAUSE_LENGTH = 200;
/** Time in which a cause is not logged again, ms. */
const DEFAULT_INTERVAL_MS = 60_000;

export interface RepeatLogOptions {
  readonly log: Pick<Logger, "warn" | "error">;
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
    if (this.#isDue(cause)) this.#options.log.warn(event, fields);
  }

  error(cause: string, event: string, fields: LogFields): void {
    if (this.#isDue(cause)) this.#options.log.error(event, fields);
  }

  #isDue(text: string): boolean {
    const cause = text.slice(0, MAX_CAUSE_LENGTH);
    const { now, intervalMs = DEFAULT_INTERVAL_MS } = this.#options;
    const nowMs = now();
    const loggedAtMs = this.#loggedAtMs.get(cause);
    if (loggedAtMs !== undefined && nowMs - loggedAtMs < intervalMs)
      return false;
    this.#loggedAtMs.set(cause, nowMs);
    return true;
  }
}
