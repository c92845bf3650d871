/** Holds the fleet state of a process and notifies those who wait for it. */

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
  readonly #waiters = new Set<() => void>();

  constructor(maxAgeMs: number | undefined) {
    this.freshness = new Freshness(maxAgeMs);
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

  /** Replaces the held state. Callers must not pass a lower revision. */
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
    this.#wakeWaiters();
  }

  confirm(confirmation: Confirmation): void {
    if (this.freshness.confirm(confirmation)) this.#wakeWaiters();
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

  /** Resolves at the next newer state or confirmation, or on abort. */
  waitForUpdate(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal.aborted) return resolve();
      const end = () => {
        this.#waiters.delete(end);
        signal.removeEventListener("abort", end);
        resolve();
      };
      this.#waiters.add(end);
      signal.addEventListener("abort", end, { once: true });
    });
  }

  /** Resolves when this revision or a higher one is held, or on abort. */
  async waitForRevision(revision: number, signal: AbortSignal): Promise<void> {
    while (this.revision < revision && !signal.aborted) {
      await this.waitForUpdate(signal);
    }
  }

  #wakeWaiters(): void {
    for (const end of [...this.#waiters]) end();
  }
}
