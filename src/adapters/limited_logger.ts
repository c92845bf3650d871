/** Logger that limits the number of lines per second. */

import type { LogFields, Logger } from "./logger.js";

export interface LogLimit {
  /** For debug and info lines; warnings and errors have as many again. */
  readonly linesPerSecond: number;
  /** Monotonic clock in milliseconds. */
  readonly now: () => number;
}

const WINDOW_MS = 1_000;

/** Drops lines over the limit and logs their number at most once a second. */
export function createLimitedLogger(logger: Logger, limit: LogLimit): Logger {
  const { linesPerSecond, now } = limit;
  let windowStartMs = now();
  let plainLines = 0;
  let urgentLines = 0;
  let droppedLines = 0;
  const isWithinLimit = (isUrgent: boolean): boolean => {
    const nowMs = now();
    if (nowMs - windowStartMs >= WINDOW_MS) {
      if (droppedLines > 0) {
        const ms = Math.round(nowMs - windowStartMs);
        logger.warn("log-lines-dropped", { count: droppedLines, ms });
      }
      windowStartMs = nowMs;
      plainLines = 0;
      urgentLines = 0;
      droppedLines = 0;
    }
    const count = isUrgent ? ++urgentLines : ++plainLines;
    if (count <= linesPerSecond) return true;
    droppedLines++;
    return false;
  };
  const limitLevel =
    (level: keyof Logger, isUrgent: boolean) =>
    (event: string, fields?: LogFields) => {
      if (isWithinLimit(isUrgent)) logger[level](event, fields);
    };
  return {
    debug: limitLevel("debug", false),
    info: limitLevel("info", false),
    warn: limitLevel("warn", true),
    error: limitLevel("error", true),
  };
}
