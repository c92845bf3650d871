/**
 * Attempts of one request that run at the same time: one that is silent is kept
 * until another endpoint has taken the request.
 */

import {
  type AnsweredAttempt,
  type AttemptHooks,
  type AttemptOutcome,
  type FailedOutcome,
  OUTCOME_KIND,
} from "./attempt_runner.js";
import { OverlapTimer } from "./overlap_timer.js";
import { OVERLAP_DECISION, type OverlapDecision } from "./silence_decision.js";

export const RACE_EVENT = {
  answered: "answered",
  failed: "failed",
  /** The newest attempt is silent, and goes on or was given up for that. */
  stalled: "stalled",
} as const;

const THREW = "threw";

export type RaceEvent =
  | {
      readonly kind: typeof RACE_EVENT.answered;
      readonly attempt: AnsweredAttempt;
    }
  | { readonly kind: typeof RACE_EVENT.failed | typeof RACE_EVENT.stalled };

interface ThrownError {
  readonly kind: typeof THREW;
  readonly error: unknown;
}

export interface AttemptRaceOptions {
  /** Called for each attempt that ends without an answer that is used. */
  readonly onFailed: (outcome: FailedOutcome) => void;
  /** Ends an attempt whose answer is not needed any more. */
  readonly discard: (attempt: AnsweredAttempt) => FailedOutcome;
}

export class AttemptRace {
  readonly #options: AttemptRaceOptions;
  /** Attempts and when they were started, oldest first. */
  readonly #running = new Map<AbortController, number>();
  #events: (RaceEvent | ThrownError)[] = [];
  #notify = () => {};
  #isClosed = false;

  constructor(options: AttemptRaceOptions) {
    this.#options = options;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  /** How long the oldest attempt runs, ms; undefined where none runs. */
  get oldestRunMs(): number | undefined {
    const [startedAtMs] = this.#running.values();
    return startedAtMs && performance.now() - startedAtMs;
  }

  /**
   * Starts an attempt. Soon after it is sent, either the earlier ones end or,
   * where `decide` says so after their silence, this one.
   */
  start(
    run: (hooks: AttemptHooks) => Promise<AttemptOutcome>,
    decide: (silentMs: number) => OverlapDecision,
  ): void {
    const controller = new AbortController();
    const earlier = [...this.#running.keys()];
    this.#running.set(controller, performance.now());
    const isNewest = () => [...this.#running.keys()].at(-1) === controller;
    const timer = new OverlapTimer(() => {
      const running = earlier.filter((other) => this.#running.has(other));
      if (running.length === 0) return;
      if (decide(this.oldestRunMs ?? 0) === OVERLAP_DECISION.keepNewest) {
        for (const other of running) other.abort();
        return;
      }
      controller.abort();
      if (isNewest()) this.#push({ kind: RACE_EVENT.stalled });
    });
    const hooks: AttemptHooks = {
      signal: controller.signal,
      onStall: () => {
        if (isNewest()) this.#push({ kind: RACE_EVENT.stalled });
      },
      onSent: () => timer.start(),
      onErred: () => timer.cancel(),
    };
    const end = () => {
      timer.cancel();
      this.#running.delete(controller);
    };
    void run(hooks).then(
      (outcome) => {
        end();
        this.#settle(outcome, controller.signal.aborted);
      },
      (error: unknown) => {
        end();
        const detail = String(error);
        if (!this.#isClosed) this.#push({ kind: THREW, error });
        else this.#options.onFailed({ kind: OUTCOME_KIND.unknown, detail });
      },
    );
  }

  #settle(outcome: AttemptOutcome, isSuperseded: boolean): void {
    const { discard, onFailed } = this.#options;
    if (outcome.kind !== OUTCOME_KIND.answered) {
      onFailed(outcome);
    } else if (isSuperseded) {
      onFailed(discard(outcome.attempt));
    } else {
      this.#push({ kind: RACE_EVENT.answered, attempt: outcome.attempt });
      return;
    }
    if (isSuperseded) this.#notify();
    else this.#push({ kind: RACE_EVENT.failed });
  }

  #push(event: RaceEvent | ThrownError): void {
    this.#events.push(event);
    this.#notify();
  }

  /**
   * The next event; undefined where no attempt runs, or after `close`. Throws
   * what an attempt has thrown.
   */
  async next(): Promise<RaceEvent | undefined> {
    while (!this.#isClosed && this.#events.length === 0) {
      if (this.#running.size === 0) return undefined;
      await new Promise<void>((resolve) => {
        this.#notify = resolve;
      });
    }
    const event = this.#isClosed ? undefined : this.#events.shift();
    if (event?.kind === THREW) throw event.error;
    return event;
  }

  /** Ends the attempts that still run and discards further answers. */
  close(): void {
    this.#isClosed = true;
    for (const controller of this.#running.keys()) controller.abort();
    for (const event of this.#events.splice(0)) {
      if (event.kind === RACE_EVENT.answered)
        this.#options.onFailed(this.#options.discard(event.attempt));
    }
    this.#notify();
  }
}
