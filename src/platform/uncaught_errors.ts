/**
 * Errors that no part of the program has handled. Each loop handles those of its
 * own rounds, so what is left belongs to one connection, and the others go on. A
 * process in which they come one after another is stopped as planned, since a new
 * one serves better than one with a broken part.
 */

import type { Logger } from "../adapters/logger.js";

/** With this many errors in this time, ms, the process is to stop. */
const MAX_ERRORS = 5;
const ERROR_WINDOW_MS = 60_000;

export interface UncaughtErrorsOptions {
  /** Monotonic clock, ms. */
  readonly now: () => number;
  readonly log: Pick<Logger, "error">;
}

export class UncaughtErrors {
  readonly #options: UncaughtErrorsOptions;
  #times: number[] = [];
  #stop: () => void = () => {};
  /** Resolves when there were too many. */
  readonly tooMany: Promise<void>;

  constructor(options: UncaughtErrorsOptions) {
    this.#options = options;
    this.tooMany = new Promise((resolve) => {
      this.#stop = resolve;
    });
  }

  /** Takes the errors that would end the process, rejected promises too. */
  start(): void {
    process.on("uncaughtException", (error, origin) =>
      this.#record(error, origin),
    );
  }

  #record(error: unknown, origin: string): void {
    const { log, now } = this.#options;
    const nowMs = now();
    // An error's text tells what, the first lines of its stack where.
    const stack = error instanceof Error ? error.stack : undefined;
    const at = stack?.split("\n").slice(1, 4).join(" ").trim();
    log.error("error-uncaught", { origin, error: String(error), at });
    this.#times = [...this.#times, nowMs]
      .filter((atMs) => nowMs - atMs < ERROR_WINDOW_MS)
      .slice(-MAX_ERRORS);
    if (this.#times.length >= MAX_ERRORS) this.#stop();
  }
}
