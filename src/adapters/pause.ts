/** Waits that end early when their owner stops. */

import { setTimeout as delay } from "node:timers/promises";

/** Settles after the time, or as soon as the signal aborts. */
export async function pauseFor(
  ms: number,
  signal: AbortSignal,
  options: { readonly ref?: boolean } = {},
): Promise<void> {
  // The wait fails only by the signal, which its owner looks at.
  await delay(ms, undefined, { ...options, signal }).catch(() => undefined);
}
