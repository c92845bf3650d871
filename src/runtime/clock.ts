/** Time as the roles see it, so that tests run in virtual time. */

import { pauseFor } from "../adapters/pause.js";

export interface Clock {
  /** Milliseconds since 1970. */
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
