/** Estimates when a dispatch arrived, also after a pause of the process. */

/** Events come at least every 50 ms; a gap longer than this is a pause. */
export const MIN_PAUSE_MS = 500;
/** Time allowed to read what arrived in the sockets during a pause. */
const BACKLOG_READ_MS = 100;

/**
 * A dispatch read just after a pause may have waited in the socket since the
 * pause began, so its remaining time counts from there.
 */
export class ArrivalClock {
  #lastMs: number | undefined;
  #pausedSinceMs = 0;
  #backlogUntilMs = Number.NEGATIVE_INFINITY;

  /** Takes the time of each event, which reveals pauses. */
  recordEventTime(nowMs: number): void {
    const lastMs = this.#lastMs ?? nowMs;
    if (nowMs - lastMs > MIN_PAUSE_MS) {
      this.#pausedSinceMs = lastMs;
      this.#backlogUntilMs = nowMs + BACKLOG_READ_MS;
    }
    this.#lastMs = nowMs;
  }

  getArrivalMs(nowMs: number): number {
    return nowMs < this.#backlogUntilMs ? this.#pausedSinceMs : nowMs;
  }
}
