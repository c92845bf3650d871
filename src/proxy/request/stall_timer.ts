import { InactivityTimer } from "./inactivity_timer.js";

/** Reports a silent endpoint, again after each further time without activity. */
export class StallTimer {
  readonly #timer: InactivityTimer | undefined;

  /** Without `ms`, no silence is reported. */
  constructor(onStall: () => void, ms: number | undefined) {
    if (ms === undefined) return;
    this.#timer = new InactivityTimer(() => {
      this.#timer?.refresh();
      onStall();
    }, ms);
  }

  /** Restarts the time; called on activity. */
  refresh(): void {
    this.#timer?.refresh();
  }

  cancel(): void {
    this.#timer?.cancel();
  }
}
