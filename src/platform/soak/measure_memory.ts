/** Measures the memory of the entries' processes. */

import { setTimeout as delay } from "node:timers/promises";
import { readResidentMegabytes } from "../../testbed/process_usage.js";

const CHECK_INTERVAL_MS = 50;

export interface MeasuredEntry {
  readonly name: string;
  /** Undefined while it does not run; each start is another one. */
  readonly process?: { readonly pid: number | undefined };
}

export interface MemoryPeak {
  readonly entry: string;
  readonly megabytes: number;
}

/** Resolves to the peak of each entry once the signal aborts. */
export async function measureMemory(
  entries: readonly MeasuredEntry[],
  signal: AbortSignal,
): Promise<MemoryPeak[]> {
  const peaks = new Map<string, number>();
  while (!signal.aborted) {
    for (const { name, process } of entries) {
      const megabytes = readIfRunning(process?.pid);
      peaks.set(name, Math.max(peaks.get(name) ?? 0, megabytes));
    }
    await delay(CHECK_INTERVAL_MS, undefined, { signal }).catch(() => {});
  }
  return [...peaks].map(([entry, megabytes]) => ({ entry, megabytes }));
}

/** 0 where the process has ended. */
function readIfRunning(pid: number | undefined): number {
  try {
    return readResidentMegabytes(pid);
  } catch {
    return 0;
  }
}
