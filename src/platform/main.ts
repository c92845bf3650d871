/** The program that the platform starts on an entry host. */

import { createLogger } from "../adapters/logs.js";
import { startEntry } from "./entry.js";
import { readSettings } from "./settings.js";

const SETTINGS_VARIABLE = "HORNBEAMRILL_NODE_FILE";
/** Exit codes, the same as the daemon's. */
const EXIT_STOPPED = 0;
const EXIT_FAILED = 1;
const EXIT_SETTINGS = 2;

async function main(): Promise<number> {
  const startedAtMs = performance.now();
  const settings = readSettings(process.env[SETTINGS_VARIABLE] ?? "");
  if (settings.isErr()) {
    process.stderr.write(`${settings.error.detail}\n`);
    return EXIT_SETTINGS;
  }
  const { name, dataCentre, role } = settings.value;
  const log = createLogger({}, { fields: { role, process: name, dataCentre } });
  const stopRequested = new Promise<string>((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
  process.on("SIGHUP", () => log.info("reload-requested", {}));
  try {
    const entry = await startEntry(settings.value, log);
    log.info("started", {
      ms: Math.round(performance.now()),
      initMs: Math.round(startedAtMs),
    });
    log.info("stop-requested", { signal: await stopRequested });
    await entry.stop();
    log.info("stopped");
    return EXIT_STOPPED;
  } catch (error) {
    log.error("failed", { error: String(error) });
    return EXIT_FAILED;
  }
}

process.exit(await main());
