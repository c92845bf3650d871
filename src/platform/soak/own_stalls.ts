/** Pauses of the soak's own process, in which no link forwards anything. */

export interface Stall {
  readonly fromMs: number;
  readonly toMs: number;
}

const INTERVAL_MS = 20;
/** Shorter pauses are those of usual work, ms. */
const MIN_STALL_MS = 60;

/** Adds to the list until `signal` aborts. */
export function startStallRecords(signal: AbortSignal): readonly Stall[] {
  const stalls: Stall[] = [];
  let lastMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    if (nowMs - lastMs >= MIN_STALL_MS) {
      stalls.push({ fromMs: lastMs, toMs: nowMs });
    }
    lastMs = nowMs;
  }, INTERVAL_MS);
  signal.addEventListener("abort", () => clearInterval(timer), { once: true });
  return stalls;
}

/** Time of the span in which the soak's process stood still, ms. */
export function sumStalledMs(stalls: readonly Stall[], span: Stall): number {
  return stalls.reduce((sum, { fromMs, toMs }) => {
    const sharedMs = Math.min(toMs, span.toMs) - Math.max(fromMs, span.fromMs);
    return sum + Math.max(0, sharedMs);
  }, 0);
}
