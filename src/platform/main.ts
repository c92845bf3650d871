/** The entry of a host of the platform, from its settings to its exit code. */

import { SonicBoom } from "sonic-boom";
import { createLimitedLogger } from "../adapters/limited_logger.js";
import { createLogger, type Logger } from "../adapters/logs.js";
import type { EarlyListener } from "./early_listener.js";
import { startEntry } from "./entry.js";
import { type EntrySettings, readSettings } from "./settings.js";

const SETTINGS_VARIABLE = "HORNBEAMRILL_NODE_FILE";
/** Exit codes, the same as the daemon's. */
const EXIT_STOPPED = 0;
const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

const STDOUT = 1;
/** Bytes of log that wait for a reader; later lines are dropped. */
const MAX_LOG_BYTES = 1_048_576;
/** Four lines a request at 250 requests a second. */
const LOG_LINES_PER_SECOND = 1_000;

/** Writes without waiting: a reader that stalls costs lines, not requests. */
function createOutput(): SonicBoom {
  return new SonicBoom({
    fd: STDOUT,
    sync: false,
    maxLength: MAX_LOG_BYTES,
  });
}

function createEntryLogger(settings: EntrySettings, output: SonicBoom): Logger {
  const { name, dataCentre, role } = settings;
  const fields = { role, process: name, dataCentre };
  const logger = createLogger({}, { fields, output });
  const now = () => performance.now();
  const linesPerSecond = LOG_LINES_PER_SECOND;
  return createLimitedLogger(logger, { linesPerSecond, now });
}

/**
 * Addresses and bounds are read once: a listener can't move under callers.
 * The reload tells whether the file would start another entry.
 */
function reportReload(held: EntrySettings, log: Logger): void {
  const next = readSettings(process.env[SETTINGS_VARIABLE] ?? "");
  if (next.isErr()) {
    log.error("reload-failed", { reason: next.error.detail });
    return;
  }
  const changed = JSON.stringify(next.value) !== JSON.stringify(held);
  log.info("reloaded", { needsRestart: changed });
}

/** Runs until the host stops it; `early` holds callers that came before. */
export async function runProgram(early?: EarlyListener): Promise<number> {
  const startedAtMs = performance.now();
  const settings = readSettings(process.env[SETTINGS_VARIABLE] ?? "");
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.detail}\n`);
    return EXIT_SETTINGS;
  }
  const output = createOutput();
  const log = createEntryLogger(settings.value, output);
  const stopRequested = new Promise<string>((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
  process.on("SIGHUP", () => reportReload(settings.value, log));
  try {
    const entry = await startEntry(settings.value, log, early);
    log.info("started", {
      ms: Math.round(performance.now()),
      initMs: Math.round(startedAtMs),
      bootMs: Math.round(performance.nodeTiming.bootstrapComplete),
    });
    log.info("stop-requested", { signal: await stopRequested });
    await entry.stop();
    log.info("stopped");
    output.flushSync();
    return EXIT_STOPPED;
  } catch (error) {
    log.error("failed", { error: String(error) });
    output.flushSync();
    return EXIT_FAILED;
  }
}
