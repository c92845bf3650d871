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
  readonly #stopController: AbortController;
  /** Resolves at the first signal to stop; further ones change nothing. */
  readonly stopRequested: Promise<StopRequest>;
  #isReloadDue = false;
  #onReload: (() => void) | undefined;

  constructor() {
    let resolveStop: (request: StopRequest) => void = () => undefined;
    // Signals come in later turns of the event loop. Their listeners are set
    // before all else: Node takes milliseconds to load the class below.
    process.on("SIGHUP", () => {
      this.#isReloadDue = this.#onReload === undefined;
      this.#onReload?.();
    });
    for (const signal of STOP_SIGNALS) {
      process.on(signal, () => {
        resolveStop({ signal, atMs: performance.now() });
        this.#stopController.abort();
      });
    }
    this.stopRequested = new Promise((resolve) => {
      resolveStop = resolve;
    });
    this.#stopController = new AbortController();
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
