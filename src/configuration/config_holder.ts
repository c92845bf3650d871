/** The fleet state that a process holds, and who waits for a newer one. */

import {
  assertInvariant,
  type Confirmation,
  createEmptyState,
  Freshness,
} from "../core/index.js";
import type { FleetState } from "../schema/index.js";

export class ConfigHolder {
  readonly freshness: Freshness;
  #state: FleetState = createEmptyState();
  #json: string | undefined;
  readonly #listeners = new Set<(state: FleetState) => void>();
  readonly #waiting = new Set<() => void>();

  constructor(boundMs: number | undefined) {
    this.freshness = new Freshness(boundMs);
  }

  get state(): FleetState {
    return this.#state;
  }

  get revision(): number {
    return this.#state.revision;
  }

  /** The state as JSON, serialized once per revision. */
  get json(): string {
    this.#json ??= JSON.stringify(this.#state);
    return this.#json;
  }

  /** Takes a state over; callers leave out lower revisions. */
  adopt(state: FleetState): void {
    if (state.revision === this.revision) return;
    assertInvariant(
      state.revision > this.revision,
      "ticketReverted",
      `revision ${state.revision} would replace ${this.revision}`,
    );
    this.#state = state;
    this.#json = undefined;
    this.freshness.recordHeld(state.revision);
    for (const listener of this.#listeners) listener(state);
    this.#notify();
  }

  confirm(confirmation: Confirmation): void {
    if (this.freshness.confirm(confirmation)) this.#notify();
  }

  addListener(
    listener: (state: FleetState) => void,
    signal: AbortSignal,
  ): void {
    if (signal.aborted) return;
    this.#listeners.add(listener);
    const remove = () => this.#listeners.delete(listener);
    signal.addEventListener("abort", remove, { once: true });
  }

  /** Resolves at the next newer state or confirmation, or at the abort. */
  waitForRenewal(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const end = () => {
        this.#waiting.delete(end);
        signal.removeEventListener("abort", end);
        resolve();
      };
      this.#waiting.add(end);
      signal.addEventListener("abort", end, { once: true });
    });
  }

  /** Resolves when the process holds the revision, or at the abort. */
  async waitForRevision(revision: number, signal: AbortSignal): Promise<void> {
    while (this.revision < revision && !signal.aborted) {
      await this.waitForRenewal(signal);
    }
  }

  #notify(): void {
    for (const end of [...this.#waiting]) end();
  }
}
