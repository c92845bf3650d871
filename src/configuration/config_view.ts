/** The part of the configuration sync that the process roles use. */

import type { Refusal } from "../core/index.js";
import type { FleetState } from "../schema/index.js";

export interface ConfigView {
  /** State with the highest revision that this process holds. */
  readonly state: FleetState;
  /** A refusal of new work if the state was not confirmed recently enough. */
  checkFreshness(): Refusal | undefined;
  /** Fetches the state now when another process knows a higher revision. */
  fetchRevision(revision: number, signal: AbortSignal): Promise<void>;
  /** Calls the listener for each new revision until the signal aborts. */
  addListener(listener: (state: FleetState) => void, signal: AbortSignal): void;
}
