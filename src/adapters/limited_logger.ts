/** Keeps the volume of logs bounded under load. */

import type { LogFields, Logger } from "./logs.js";

export interface LogLimit {
  /** Lines in one second; warnings and errors have as many again. */
  readonly linesPerSecond: number;
  /** Steady clock, ms. */
  readonly now: () => number;
}

const SECOND_MS = 1_000;

/** Drops lines over the limit and tells how many, once a second at most. */
export function createLimitedLogger(logger: Logger, limit: LogLimit): Logger {
  const { linesPerSecond, now } = limit;
  let startedAtMs = now();
  let plain = 0;
  let urgent = 0;
  let dropped = 0;
  const isOpen = (isUrgent: boolean): boolean => {
    const nowMs = now();
    if (nowMs - startedAtMs >= SECOND_MS) {
      if (dropped > 0) {
        const ms = Math.round(nowMs - startedAtMs);
        logger.warn("log-lines-dropped", { count: dropped, ms });
      }
      startedAtMs = nowMs;
      plain = 0;
      urgent = 0;
      dropped = 0;
    }
    const count = isUrgent ? ++urgent : ++plain;
    if (count <= linesPerSecond) return true;
    dropped++;
    return false;
  };
  const limitLevel =
    (level: keyof Logger, isUrgent: boolean) =>
    (event: string, fields?: LogFields) => {
      if (isOpen(isUrgent)) logger[level](event, fields);
    };
  return {
    debug: limitLevel("debug", false),
    info: limitLevel("info", false),
    warn: limitLevel("warn", true),
    error: limitLevel("error", true),
  };
}
