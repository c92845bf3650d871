import { setImmediate } from "node:timers/promises";

/**
 * Waits until data that has already arrived is read from all connections. What
 * came while the event loop was busy is read only after the timers have run,
 * and data of a new connection one turn later.
 */
export async function waitForPendingReads(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
