import { setImmediate } from "node:timers/promises";

/**
 * Waits until all connections were read once more: what came while the event
 * loop was busy is read after its timers have run, and a new connection in the
 * turn after that.
 */
export async function waitForReads(): Promise<void> {
  await setImmediate();
  await setImmediate();
}
