/** When a dispatch was received, also after a pause of the process. */

/** The gate hears of time every 50 ms, so a longer gap is a pause. */
export const PAUSE_MS = 500;
/** Time to read what lay in the sockets during the pause. */
const BACKLOG_MS = 100;

/**
 * A dispatch read just after a pause may have waited in the socket since the
 * pause began, so its remaining time counts from there.
 */
export class ReceiptClock {
  #lastMs: number | undefined;
  #pausedSinceMs = 0;
  #backlogUntilMs = Number.NEGATIVE_INFINITY;

  /** Called with each event's time. */
  note(nowMs: number): void {
    const lastMs = this.#lastMs ?? nowMs;
    if (nowMs - lastMs > PAUSE_MS) {
      this.#pausedSinceMs = lastMs;
      this.#backlogUntilMs = nowMs + BACKLOG_MS;
    }
    this.#lastMs = nowMs;
  }

  getReceiptMs(nowMs: number): number {
    return nowMs < this.#backlogUntilMs ? this.#pausedSinceMs : nowMs;
  }
}
