/**
 * Signals to the process, from before the program is loaded. Without a listener
 * each of them would end it at once.
 */

export interface StopRequest {
  readonly signal: string;
  /** When the first signal came, on the monotonic clock, ms. */
  readonly atMs: number;
}

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

export class ProcessSignals {
  readonly #stopController = new AbortController();
  /** Resolves at the first signal to stop; further ones change nothing. */
  readonly stopRequested: Promise<StopRequest>;
  #isReloadDue = false;
  #onReload: (() => void) | undefined;

  constructor() {
    this.stopRequested = new Promise((resolve) => {
      for (const signal of STOP_SIGNALS) {
        process.on(signal, () => {
          resolve({ signal, atMs: performance.now() });
          this.#stopController.abort();
        });
      }
    });
    process.on("SIGHUP", () => {
      this.#isReloadDue = this.#onReload === undefined;
      this.#onReload?.();
    });
  }

  /** Aborts at the first signal to stop. */
  get stopSignal(): AbortSignal {
    return this.#stopController.signal;
  }

  /** Calls back at each request to reload, also if one came before. */
  setReload(onReload: () => void): void {
    this.#onReload = onReload;
    if (this.#isReloadDue) onReload();
  }
}
