/**
 * Looks for an endpoint to go on with a request whose endpoint fell silent
 * within its answer. The silent one is kept until another one has taken the
 * request, and goes on if its next data comes first.
 */

import type { AnsweredAttempt } from "./attempt_runner.js";
import { OverlapTimer } from "./overlap_timer.js";
import { OVERLAP_DECISION, type OverlapDecision } from "./silence_decision.js";

export interface SearchHooks {
  /** Aborts when the silent endpoint goes on. */
  readonly signal: AbortSignal;
  /** Time since the last data of the silent endpoint; undefined once it ended. */
  readonly getSilentMs: () => number | undefined;
  /**
   * An attempt was sent to another endpoint; `decide` says after a silence
   * which of the two goes on.
   */
  readonly onSent: (decide: (silentMs: number) => OverlapDecision) => void;
  /** No attempt at another endpoint runs any more. */
  readonly onFailed: () => void;
}

export interface ReplacementSearchOptions {
  /** Pause after which the endpoint is silent, ms. */
  readonly stallTimeoutMs: number;
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
  /** When the silent endpoint's last data came. */
  #silentSinceMs: number | undefined;
  #hasEnded = false;

  constructor(options: ReplacementSearchOptions) {
    this.#options = options;
  }

  /** Aborts when the silent endpoint has to be given up. */
  get abandonSignal(): AbortSignal {
    return this.#abandon.signal;
  }

  /** Called when the endpoint is silent, more than once if it stays so. */
  start(): void {
    this.#silentSinceMs ??= performance.now() - this.#options.stallTimeoutMs;
    if (this.#running !== undefined) return;
    const controller = new AbortController();
    const { signal } = controller;
    const abandon = () => this.#abandon.abort();
    let decide: (silentMs: number) => OverlapDecision;
    const timer = new OverlapTimer(() => {
      const silentMs = this.#getSilentMs();
      if (silentMs === undefined) return;
      if (decide(silentMs) === OVERLAP_DECISION.keepNewest) {
        abandon();
        return;
      }
      controller.abort();
      this.#running = undefined;
      this.start();
    });
    const hooks: SearchHooks = {
      signal,
      getSilentMs: () => this.#getSilentMs(),
      onSent: (decideNext) => {
        decide = decideNext;
        timer.start();
      },
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

  /** Undefined once the endpoint has ended or was given up. */
  #getSilentMs(): number | undefined {
    if (this.#hasEnded || this.#abandon.signal.aborted) return undefined;
    return performance.now() - (this.#silentSinceMs ?? performance.now());
  }

  /** Called when the endpoint goes on. */
  cancel(): void {
    this.#silentSinceMs = undefined;
    this.#running?.controller.abort();
    this.#running = undefined;
  }

  /** Called when the endpoint has ended; what was found goes on alone. */
  setEnded(): void {
    this.#hasEnded = true;
  }

  /** The result of the search that runs; undefined where there is none. */
  async take(): Promise<AnsweredAttempt | undefined> {
    return await this.#running?.found;
  }
}
