/**
 * Looks for an endpoint to go on with a request whose endpoint fell silent
 * within its answer. The silent one is kept until another one has taken the
 * request, and goes on if its next data comes first.
 */

import type { AnsweredAttempt } from "./attempt_runner.js";
import { OverlapTimer } from "./overlap_timer.js";

export interface SearchHooks {
  /** Aborts when the silent endpoint goes on. */
  readonly signal: AbortSignal;
  /** An attempt was sent to another endpoint. */
  readonly onSent: () => void;
  /** No attempt at another endpoint runs any more. */
  readonly onFailed: () => void;
}

export interface ReplacementSearchOptions {
  readonly find: (hooks: SearchHooks) => Promise<AnsweredAttempt | undefined>;
  /** Ends an attempt that was found too late. */
  readonly discard: (attempt: AnsweredAttempt) => void;
}

interface RunningSearch {
  readonly controller: AbortController;
  readonly found: Promise<AnsweredAttempt | undefined>;
}

export class ReplacementSearch {
  readonly #options: ReplacementSearchOptions;
  readonly #abandon = new AbortController();
  #running: RunningSearch | undefined;

  constructor(options: ReplacementSearchOptions) {
    this.#options = options;
  }

  /** Aborts when the silent endpoint has to be given up. */
  get abandonSignal(): AbortSignal {
    return this.#abandon.signal;
  }

  /** Called when the endpoint is silent, more than once if it stays so. */
  start(): void {
    if (this.#running !== undefined) return;
    const controller = new AbortController();
    const { signal } = controller;
    const abandon = () => this.#abandon.abort();
    const timer = new OverlapTimer(abandon);
    const hooks: SearchHooks = {
      signal,
      onSent: () => timer.start(),
      onFailed: () => timer.cancel(),
    };
    signal.addEventListener("abort", () => timer.cancel());
    const search = async () => {
      const attempt = await this.#options.find(hooks);
      timer.cancel();
      if (signal.aborted) {
        if (attempt !== undefined) this.#options.discard(attempt);
        return undefined;
      }
      if (attempt !== undefined) abandon();
      else if (!this.#abandon.signal.aborted) this.#running = undefined;
      return attempt;
    };
    this.#running = { controller, found: search() };
  }

  /** Called when the endpoint goes on. */
  cancel(): void {
    this.#running?.controller.abort();
    this.#running = undefined;
  }

  /** The result of the search that runs; undefined where there is none. */
  async take(): Promise<AnsweredAttempt | undefined> {
    return await this.#running?.found;
  }
}
