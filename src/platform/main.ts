/** Runs the entry of a platform host, from its settings to its exit code. */

import { createLimitedLogger } from "../adapters/limited_logger.js";
import { createLogger, type Logger } from "../adapters/logger.js";
import type { EarlyListener } from "./early_listener.js";
import { startEntry } from "./entry.js";
import {
  type EntrySettings,
  loadSettings,
  readSettings,
} from "./entry_settings.js";
import { createLogOutput, type ProcessOutput } from "./log_output.js";
import { ProcessSignals } from "./process_signals.js";
import { UncaughtErrors } from "./uncaught_errors.js";

const SETTINGS_VARIABLE = "HORNBEAMRILL_NODE_FILE";
/** Exit codes, the same as the daemon's. */
const EXIT_STOPPED = 0;
const EXIT_FAILED = 1;
const EXIT_INVALID_SETTINGS = 2;

/** Allows four lines per request at 250 requests per second. */
const MAX_LOG_LINES_PER_SECOND = 1_000;

function createEntryLogger(
  settings: EntrySettings,
  output: ProcessOutput,
): Logger {
  const { name, dataCentre, role } = settings;
  const fields = { role, process: name, dataCentre };
  const logger = createLogger({}, { fields, output });
  const now = () => performance.now();
  const linesPerSecond = MAX_LOG_LINES_PER_SECOND;
  return createLimitedLogger(logger, { linesPerSecond, now });
}

/**
 * Settings apply only at the start, as the addresses of a running server can't
 * change. A reload only logs whether the file now differs.
 */
function reportReload(current: EntrySettings, log: Logger): void {
  const reread = readSettings(process.env[SETTINGS_VARIABLE] ?? "");
  if (reread.isErr()) {
    log.error("reload-failed", { reason: reread.error.detail });
    return;
  }
  const needsRestart = JSON.stringify(reread.value) !== JSON.stringify(current);
  log.info("reloaded", { needsRestart });
}

/**
 * Runs until a signal to stop; returns the exit code. `earlyListener` holds the
 * connections that callers opened while the program was loading, `signals` the
 * signals that came meanwhile: after one to stop, the entry starts and stops as
 * planned, so that those connections are answered.
 */
export async function runProgram(
  earlyListener?: EarlyListener,
  signals = new ProcessSignals(),
): Promise<number> {
  const loadedAtMs = performance.now();
  const path = process.env[SETTINGS_VARIABLE] ?? "";
  const settings = await loadSettings(path, signals.stopSignal);
  if (settings.isErr()) {
    if (signals.stopSignal.aborted) return EXIT_STOPPED;
    // Without a reader, the error event would change the exit code.
    process.stderr.on("error", () => undefined);
    process.stderr.write(`${settings.error.detail}\n`);
    return EXIT_INVALID_SETTINGS;
  }
  const output = createLogOutput();
  const log = createEntryLogger(settings.value, output);
  const errors = new UncaughtErrors({ log, now: () => performance.now() });
  signals.setReload(() => reportReload(settings.value, log));
  let hasStarted = false;
  try {
    const entry = await startEntry(
      settings.value,
      log,
      earlyListener,
      signals.stopSignal,
    );
    hasStarted = true;
    log.info("started", {
      ms: Math.round(performance.now()),
      initMs: Math.round(loadedAtMs),
      bootMs: Math.round(performance.nodeTiming.bootstrapComplete),
    });
    // Before, Node's own handling ends a start that would not come to its end.
    errors.start();
    const stop = await Promise.race([signals.stopRequested, errors.tooMany]);
    if (stop === undefined) log.error("stop-requested", { reason: "errors" });
    else log.info("stop-requested", { signal: stop.signal });
    const elapsedMs = stop === undefined ? 0 : performance.now() - stop.atMs;
    await entry.stop(elapsedMs);
    log.info("stopped");
    await output.flush();
    return stop === undefined ? EXIT_FAILED : EXIT_STOPPED;
  } catch (error) {
    if (!hasStarted && signals.stopSignal.aborted) {
      log.info("stopped", { during: "start", reason: String(error) });
      await output.flush();
      return EXIT_STOPPED;
    }
    log.error("failed", { error: String(error) });
    await output.flush();
    return EXIT_FAILED;
  }
}
