/**
 * One outage of the store for all that call it: while it lasts, one call at a
 * time finds out whether it is over, however many wait to call.
 */

import { pauseFor } from "../adapters/pause.js";
import { STORE_FAILURE, type StoreFailure } from "./errors.js";

/** First pause after a failed call, ms; doubles up to the longest. */
const FIRST_PAUSE_MS = 50;

export interface StoreOutageOptions {
  /** Longest pause between two calls that probe the store, ms. */
  readonly getLongestPauseMs: () => number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** Why a call failed; undefined when it did not. */
export type CallOutcome = StoreFailure | undefined;

export class StoreOutage {
  readonly #options: StoreOutageOptions;
  readonly #waiting = new Set<() => void>();
  #isOn = false;
  #isProbing = false;
  #pauseMs = FIRST_PAUSE_MS;

  constructor(options: StoreOutageOptions) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#wake(), {
      once: true,
    });
  }

  /** True from the first failed call until one succeeds. */
  get isOn(): boolean {
    return this.#isOn;
  }

  /** Another entry lost the store: one call finds out whether this one has. */
  suspect(): void {
    this.#isOn = true;
  }

  /**
   * Makes a call at once, or in its turn while the outage lasts; not at all
   * when it is no longer wanted by then.
   */
  async run(
    send: () => Promise<CallOutcome>,
    isWanted: () => boolean = () => true,
  ): Promise<CallOutcome> {
    const isProbe = await this.#waitForTurn();
    let failure: CallOutcome;
    if (!this.#options.signal.aborted && isWanted()) {
      failure = await send();
      this.#record(failure, isProbe);
    }
    if (isProbe) {
      this.#isProbing = false;
      this.#wake();
    }
    return failure;
  }

  /** Waits for the turn; true when the call is the one that probes. */
  async #waitForTurn(): Promise<boolean> {
    const { signal, random } = this.#options;
    while (this.#isOn && !signal.aborted) {
      if (!this.#isProbing) {
        this.#isProbing = true;
        await pauseFor(this.#pauseMs * (0.5 + random()), signal);
        return true;
      }
      await new Promise<void>((resolve) => {
        const settle = () => {
          this.#waiting.delete(settle);
          resolve();
        };
        this.#waiting.add(settle);
      });
    }
    return false;
  }

  #record(failure: CallOutcome, isProbe: boolean): void {
    if (failure !== undefined && isOutage(failure)) {
      this.#isOn = true;
      if (!isProbe) return;
      const longestMs = this.#options.getLongestPauseMs();
      this.#pauseMs = Math.min(longestMs, this.#pauseMs * 2);
      return;
    }
    this.#isOn = false;
    this.#pauseMs = FIRST_PAUSE_MS;
    this.#wake();
  }

  #wake(): void {
    for (const wake of [...this.#waiting]) wake();
  }
}

/** A store that answers with a reason of its own is there. */
function isOutage({ kind }: StoreFailure): boolean {
  const { historyGone, tooLarge, conflict, notFound } = STORE_FAILURE;
  const isAnswered =
    kind === historyGone ||
    kind === tooLarge ||
    kind === conflict ||
    kind === notFound;
  return !isAnswered;
}
