/**
 * State of an outage of the store, shared by all its callers. While the outage
 * lasts, one call at a time probes whether the store answers; the others wait.
 */

import { pauseFor } from "../adapters/pause_for.js";
import { STORE_FAILURE, type StoreFailure } from "./failures.js";

/** Mean pause before the first probe, ms; doubles with each failed one. */
const FIRST_PROBE_PAUSE_MS = 50;

export interface StoreOutageOptions {
  /** Longest mean pause between two calls that probe the store, ms. */
  readonly getMaxProbePauseMs: () => number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

/** The call was given up before it could tell whether the store answers. */
export const CALL_ABANDONED = "abandoned";
/** Why a call failed; undefined when it did not. */
export type CallOutcome = StoreFailure | typeof CALL_ABANDONED | undefined;

export class StoreOutage {
  readonly #options: StoreOutageOptions;
  readonly #waiters = new Set<() => void>();
  #isOngoing = false;
  #isProbing = false;
  #probePauseMs = FIRST_PROBE_PAUSE_MS;

  constructor(options: StoreOutageOptions) {
    this.#options = options;
    options.signal.addEventListener("abort", () => this.#wake(), {
      once: true,
    });
  }

  /** True from the first failed call until one succeeds. */
  get isOngoing(): boolean {
    return this.#isOngoing;
  }

  /** Another entry has lost the store: the next call probes it for this one. */
  suspect(): void {
    this.#isOngoing = true;
  }

  /**
   * Makes a call at once, or in its turn while the outage lasts. Makes none if
   * it is no longer wanted by then.
   */
  async run(
    send: () => Promise<CallOutcome>,
    isWanted: () => boolean = () => true,
  ): Promise<CallOutcome> {
    const isProbe = await this.#waitForTurn();
    let failure: CallOutcome;
    try {
      if (!this.#options.signal.aborted && isWanted()) {
        failure = await send();
        this.#recordResult(failure, isProbe);
      }
    } finally {
      if (isProbe) {
        this.#isProbing = false;
        this.#wake();
      }
    }
    return failure;
  }

  /** Waits for the turn; true if the call is the one that probes the store. */
  async #waitForTurn(): Promise<boolean> {
    const { signal, random } = this.#options;
    while (this.#isOngoing && !signal.aborted) {
      if (!this.#isProbing) {
        this.#isProbing = true;
        await pauseFor(this.#probePauseMs * (0.5 + random()), signal);
        return true;
      }
      await new Promise<void>((resolve) => {
        const settle = () => {
          this.#waiters.delete(settle);
          resolve();
        };
        this.#waiters.add(settle);
      });
    }
    return false;
  }

  #recordResult(failure: CallOutcome, isProbe: boolean): void {
    if (failure === CALL_ABANDONED) return;
    if (failure !== undefined && isOutage(failure)) {
      this.#isOngoing = true;
      if (!isProbe) return;
      const maxMs = this.#options.getMaxProbePauseMs();
      this.#probePauseMs = Math.min(maxMs, this.#probePauseMs * 2);
      return;
    }
    this.#isOngoing = false;
    this.#probePauseMs = FIRST_PROBE_PAUSE_MS;
    this.#wake();
  }

  #wake(): void {
    for (const wake of [...this.#waiters]) wake();
  }
}

/** A store that answers why it refuses one call is not down. */
function isOutage({ kind }: StoreFailure): boolean {
  const { historyGone, tooLarge, conflict, notFound } = STORE_FAILURE;
  const isAnswered =
    kind === historyGone ||
    kind === tooLarge ||
    kind === conflict ||
    kind === notFound;
  return !isAnswered;
}
