/**
 * Writes an entry's service-level counts to the store. Each write replaces the
 * entry's whole document of the hour, so a repeated write counts nothing twice.
 */

import type { ObjectStore } from "../adapters/index.js";
import {
  getHour,
  getSloPrefix,
  HOUR_MS,
  type SloEvent,
  SloHour,
} from "../core/index.js";
import type { Clock } from "../runtime/clock.js";
import { writeObject } from "../runtime/store_calls.js";
import type { SloDocument } from "../schema/index.js";

const WRITE_INTERVAL_MS = 60_000;

/** Pause between two flushes of a graceful shutdown. */
const CLOSE_RETRY_INTERVAL_MS = 500;

/** Timeout of the flush that a graceful shutdown begins with. */
const CLOSE_FLUSH_TIMEOUT_MS = 2_000;

/**
 * Hours kept in memory, each under 1 MB, so that no counts are lost in store
 * outages of several hours, and late ratings are counted in their hour.
 */
const MAX_KEPT_HOURS = 8;

interface OpenHour {
  readonly counts: SloHour;
  /** Version of the document in the store; 0 before the first write. */
  version: number;
  /** True when counts have changed since the last write. */
  isDirty: boolean;
}

export interface SloCounterOptions {
  readonly store: ObjectStore;
  readonly clock: Clock;
  /** This entry process, as `{entry}-{incarnation}`. */
  readonly source: string;
}

export class SloCounter {
  readonly #options: SloCounterOptions;
  readonly #hours = new Map<number, OpenHour>();
  #lastFlush: Promise<boolean> = Promise.resolve(true);

  constructor(options: SloCounterOptions) {
    this.#options = options;
  }

  /** Counts a request that ended, or a rating of an earlier one. */
  add(event: SloEvent): void {
    const nowHour = getHour(this.#options.clock.now());
    const isKept = nowHour - getHour(event.atMs) < MAX_KEPT_HOURS;
    const counted = isKept
      ? event
      : { ...event, atMs: this.#options.clock.now() };
    const hour = getHour(counted.atMs);
    const open = this.#hours.get(hour) ?? {
      counts: new SloHour(hour),
      version: 0,
      isDirty: false,
    };
    open.counts.add(counted);
    open.isDirty = true;
    this.#hours.set(hour, open);
  }

  /** Writes the changed hours; true when the store has them all. */
  flush(signal: AbortSignal): Promise<boolean> {
    // Flushes run one at a time; parallel writes would conflict.
    this.#lastFlush = this.#lastFlush.then(() => this.#writeAll(signal));
    return this.#lastFlush;
  }

  async #writeAll(signal: AbortSignal): Promise<boolean> {
    const nowHour = getHour(this.#options.clock.now());
    let isWritten = true;
    for (const [hour, open] of this.#hours) {
      if (open.isDirty) {
        isWritten = (await this.#write(open, signal)) && isWritten;
      }
      if (nowHour - hour >= MAX_KEPT_HOURS) this.#hours.delete(hour);
    }
    return isWritten;
  }

  async #write(open: OpenHour, signal: AbortSignal): Promise<boolean> {
    const { source, store } = this.#options;
    const value = open.counts.createDocument(source);
    const text = JSON.stringify(value);
    open.isDirty = false;
    const outcome = await writeObject(
      store,
      {
        key: `${getSloPrefix(open.counts.hour)}${source}`,
        value,
        ifVersion: open.version,
        isOwn: (stored) => JSON.stringify(stored) === text,
      },
      { signal },
    );
    if (outcome.kind === "written") {
      open.version = outcome.version;
      return true;
    }
    open.isDirty = true;
    if (outcome.kind === "conflict") {
      // An earlier write of this process took effect after its timeout.
      const stored = outcome.current?.value as SloDocument | undefined;
      if (stored === undefined || stored.source === source) {
        open.version = outcome.current?.version ?? 0;
      }
    }
    return false;
  }

  /** Writes once a minute until the signal aborts. */
  async start(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.clock.sleep(WRITE_INTERVAL_MS, signal);
      if (!signal.aborted) await this.flush(signal);
    }
  }

  /**
   * Flushes until the store has all counts or the signal aborts. One flush is
   * tried even if the signal has aborted before.
   */
  async close(signal: AbortSignal): Promise<void> {
    let isWritten = await this.flush(
      AbortSignal.timeout(CLOSE_FLUSH_TIMEOUT_MS),
    );
    while (!signal.aborted && !isWritten) {
      await this.#options.clock.sleep(CLOSE_RETRY_INTERVAL_MS, signal);
      isWritten = await this.flush(signal);
    }
  }
}

/** First hour, counted since 1970, of a period that ends now. */
export function getFirstHour(nowMs: number, hours: number): number {
  return getHour(nowMs - hours * HOUR_MS);
}
