/** What the roles need to know of the configuration's spread. */

import type { Refusal } from "../core/index.js";
import type { FleetState } from "../schema/index.js";

export interface ConfigView {
  /** The highest revision this process knows. */
  readonly state: FleetState;
  /** Refuses new work when the last confirmation is older than the bound. */
  checkFreshness(): Refusal | undefined;
  /** Fetches the state now when another process knows a higher revision. */
  fetchRevision(revision: number, signal: AbortSignal): Promise<void>;
  /** Calls the listener at each new revision, until the signal aborts. */
  addListener(listener: (state: FleetState) => void, signal: AbortSignal): void;
}
