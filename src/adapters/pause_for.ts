/** Delay that an abort signal ends early. */

import { setTimeout as delay } from "node:timers/promises";

/** Resolves after the time, or as soon as the signal aborts. */
export async function pauseFor(
  ms: number,
  signal: AbortSignal,
  options: { readonly ref?: boolean } = {},
): Promise<void> {
  // The delay rejects only on abort, and the caller checks the signal itself.
  await delay(ms, undefined, { ...options, signal }).catch(() => undefined);
}
