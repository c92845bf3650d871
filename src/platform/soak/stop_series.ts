/**
 * Planned stops of several entries in a series, some of which overlap, with
 * further signals and changes of the configuration between them.
 */

import type { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import type { EntryMember } from "./fleet.js";

/** Share of the entries that one series stops; two at least. */
const ENTRY_SHARE = 0.3;
/** Share of stops that begin before the one before them is over. */
const OVERLAP_SHARE = 0.3;
/** Longest time between the starts of two such stops, ms. */
const MAX_OVERLAP_GAP_MS = 1_000;
/** Shortest and longest pause between two series, ms. */
const GAP_MS = { min: 3_000, max: 8_000 };
/** Longest time between the signals of one stop, ms. */
const MAX_SIGNAL_GAP_MS = 1_500;
const SIGNAL_SHARE = 0.5;

export interface StopSeriesOptions {
  readonly random: Random;
  readonly untilMs: number;
  readonly entries: readonly EntryMember[];
  /** Resolves when the entry runs again. */
  readonly stop: (entry: EntryMember) => Promise<void>;
  readonly changeConfiguration: () => void;
  /** Requests a stop again while the process shuts down. */
  readonly repeatsStops: boolean;
}

export async function runStopSeries(options: StopSeriesOptions): Promise<void> {
  const { random, untilMs, entries, changeConfiguration } = options;
  const count = Math.max(2, Math.round(ENTRY_SHARE * entries.length));
  while (performance.now() < untilMs) {
    const stops: Promise<unknown>[] = [];
    for (const entry of random.shuffle(entries).slice(0, count)) {
      const stopped = stopWithSignals(entry, options);
      stops.push(stopped);
      if (random.chance(OVERLAP_SHARE)) {
        await delay(random.pickInteger(0, MAX_OVERLAP_GAP_MS));
      } else await stopped;
      if (random.chance(SIGNAL_SHARE)) changeConfiguration();
    }
    await Promise.all(stops);
    await delay(random.pickInteger(GAP_MS.min, GAP_MS.max));
  }
}

async function stopWithSignals(
  entry: EntryMember,
  { random, stop, repeatsStops }: StopSeriesOptions,
): Promise<void> {
  const { process } = entry;
  if (random.chance(SIGNAL_SHARE)) process?.sendHangUp();
  const stopped = stop(entry);
  await delay(random.pickInteger(0, MAX_SIGNAL_GAP_MS));
  if (random.chance(SIGNAL_SHARE)) process?.sendHangUp();
  if (repeatsStops) process?.sendTerminate();
  await stopped;
}
