import { waitForReads } from "./pending_reads.js";

/**
 * Waits for the silence of a connection. A process that was held up runs its
 * timers before it reads, so what has come meanwhile is read first: neither a
 * sound answer nor the one that is ready may be given up on.
 */
export class SilenceTimer {
  readonly #onSilence: () => void;
  readonly #timer: NodeJS.Timeout;
  /** Counts the signs of life, and the end of the wait. */
  #changes = 0;

  constructor(onSilence: () => void, ms: number) {
    this.#onSilence = onSilence;
    this.#timer = setTimeout(() => void this.#check(), ms);
  }

  async #check(): Promise<void> {
    const changes = this.#changes;
    await waitForReads();
    if (changes === this.#changes) this.#onSilence();
  }

  /** Begins the wait anew. */
  refresh(): void {
    this.#changes++;
    this.#timer.refresh();
  }

  cancel(): void {
    this.#changes++;
    clearTimeout(this.#timer);
  }
}
