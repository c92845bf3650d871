import { setMaxListeners } from "node:events";

/** The end of all requests in a planned stop. */
export class Shutdown {
  readonly #controller = new AbortController();
  #endsAtMs = Number.POSITIVE_INFINITY;

  constructor() {
    // Each open request listens.
    setMaxListeners(0, this.signal);
  }

  /** Aborts when requests that still run must be answered. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** When that is, on the monotonic clock; infinite until a stop begins. */
  get endsAtMs(): number {
    return this.#endsAtMs;
  }

  begin(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }

  end(): void {
    this.#controller.abort();
  }
}
