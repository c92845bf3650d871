import { waitForPendingReads } from "./wait_for_pending_reads.js";

/** Longest time of a timer; Node fires a longer one at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Calls back after a time without activity on a connection. A process that was
 * stalled runs its timers before it reads. So when the time is up, pending data
 * is read first: an answer that has already arrived must not be aborted.
 */
export class InactivityTimer {
  readonly #onInactive: () => void;
  readonly #timer: NodeJS.Timeout;
  /** Counts calls of `refresh` and `cancel`. */
  #resetCount = 0;

  constructor(onInactive: () => void, ms: number) {
    this.#onInactive = onInactive;
    this.#timer = setTimeout(
      () => void this.#check(),
      Math.min(ms, MAX_TIMER_MS),
    );
  }

  async #check(): Promise<void> {
    const resetCount = this.#resetCount;
    await waitForPendingReads();
    if (resetCount === this.#resetCount) this.#onInactive();
  }

  /** Restarts the time; called on activity. */
  refresh(): void {
    this.#resetCount++;
    this.#timer.refresh();
  }

  cancel(): void {
    this.#resetCount++;
    clearTimeout(this.#timer);
  }
}
