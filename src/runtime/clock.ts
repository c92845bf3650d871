/** Clock of the roles; tests replace it with virtual time. */

import { pauseFor } from "../adapters/pause_for.js";

export interface Clock {
  /** Milliseconds since 1970-01-01 UTC. */
  now(): number;
  /** Resolves after the time, or at once when the signal aborts. */
  sleep(ms: number, signal: AbortSignal): Promise<void>;
}

export function createSystemClock(): Clock {
  return {
    now: () => Date.now(),
    sleep: (ms, signal) => pauseFor(ms, signal, { ref: false }),
  };
}
