/**
 * Service-level counts per minute, client account, class, version and data
 * centre. Their number is bounded, however many names the requests use.
 */

import type { SloDocument, SloSeries } from "../schema/index.js";
import type { Refusal } from "./errors.js";

const MINUTE_MS = 60_000;
export const HOUR_MS = 60 * MINUTE_MS;

/**
 * Bounds of one hour's document. A minute takes up to 24 bytes and the names
 * of a series about 150, so the document stays under the store's 1 MB.
 */
const MAX_MINUTES = 24_000;
const MAX_SERIES = 1_800;

/** Share of the bounds reserved for series with the totals of an account. */
const ACCOUNT_TOTALS_SHARE = 0.25;

/** Replaces the names that don't fit within the bounds. */
export const OTHER_NAMES = "*";

/** One request that ended, or a rating that came later. */
export interface SloEvent {
  readonly atMs: number;
  readonly account: string;
  readonly requestClass: string;
  /** Name of the version or plain service. */
  readonly version: string;
  readonly dataCentre: string;
  /** 0 for a rating, whose request is counted already. */
  readonly total: 0 | 1;
  readonly failed: boolean;
  readonly slow: boolean;
  /** Whether the answer was acceptable; absent when it was not rated. */
  readonly acceptable?: boolean;
}

/** A failure that the caller caused does not count against availability. */
export function isServiceFailure(refusal: Refusal): boolean {
  return refusal.status >= 500 || refusal.code === "overloaded";
}

type SeriesNames = Omit<SloSeries, "minutes">;

/** Minute of the hour, then the counts: total, failed, slow, rated, bad. */
type MinuteCounts = [number, number, number, number, number, number];

interface Series extends SeriesNames {
  readonly minutes: Map<number, MinuteCounts>;
}

function getSeriesKey(names: SeriesNames): string {
  const { account, requestClass, version, dataCentre } = names;
  return JSON.stringify([account, requestClass, version, dataCentre]);
}

export function getHour(atMs: number): number {
  return Math.floor(atMs / HOUR_MS);
}

/** Counts of one hour. */
export class SloHour {
  readonly hour: number;
  readonly #series = new Map<string, Series>();
  #minuteCount = 0;

  constructor(hour: number) {
    this.hour = hour;
  }

  add(event: SloEvent): void {
    const minute = this.#getMinute(event);
    minute[1] += event.total;
    minute[2] += event.failed ? 1 : 0;
    minute[3] += event.slow ? 1 : 0;
    minute[4] += event.acceptable === undefined ? 0 : 1;
    minute[5] += event.acceptable === false ? 1 : 0;
  }

  #getMinute(event: SloEvent): MinuteCounts {
    const minuteOfHour = Math.floor((event.atMs % HOUR_MS) / MINUTE_MS);
    const { account } = event;
    const allOthers = {
      requestClass: OTHER_NAMES,
      version: OTHER_NAMES,
      dataCentre: OTHER_NAMES,
    };
    const ownMinute = this.#findMinute(
      event,
      minuteOfHour,
      1 - ACCOUNT_TOTALS_SHARE,
    );
    return (
      ownMinute ??
      this.#findMinute({ account, ...allOthers }, minuteOfHour, 1) ??
      // One series for all others adds 60 minutes at most.
      this.#createMinute({ account: OTHER_NAMES, ...allOthers }, minuteOfHour)
    );
  }

  /** Counts of a series' minute; undefined if new and the share is used up. */
  #findMinute(
    names: SeriesNames,
    minuteOfHour: number,
    share: number,
  ): MinuteCounts | undefined {
    const minute = this.#series
      .get(getSeriesKey(names))
      ?.minutes.get(minuteOfHour);
    if (minute !== undefined) return minute;
    const hasRoom =
      this.#series.size < MAX_SERIES * share &&
      this.#minuteCount < MAX_MINUTES * share;
    return hasRoom ? this.#createMinute(names, minuteOfHour) : undefined;
  }

  #createMinute(names: SeriesNames, minuteOfHour: number): MinuteCounts {
    const { account, requestClass, version, dataCentre } = names;
    const key = getSeriesKey(names);
    const series: Series = this.#series.get(key) ?? {
      account,
      requestClass,
      version,
      dataCentre,
      minutes: new Map(),
    };
    this.#series.set(key, series);
    const found = series.minutes.get(minuteOfHour);
    if (found !== undefined) return found;
    const minute: MinuteCounts = [minuteOfHour, 0, 0, 0, 0, 0];
    series.minutes.set(minuteOfHour, minute);
    this.#minuteCount += 1;
    return minute;
  }

  createDocument(source: string): SloDocument {
    const series = [...this.#series.values()].map((one) => ({
      ...one,
      minutes: [...one.minutes.values()].map((minute) => [...minute]),
    }));
    return { hour: this.hour, source, series };
  }
}

const HOUR_TEXT_LENGTH = "2026-01-01T00".length;

/** Key prefix of an hour's documents; key order is time order. */
export function getSloPrefix(hour: number): string {
  const text = new Date(hour * HOUR_MS).toISOString();
  return `slo/${text.slice(0, HOUR_TEXT_LENGTH)}/`;
}
