/**
 * The daemon with one guard switched off, to prove that the soak then reports a
 * property that the guard protects: `--settings FILE --break GUARD`.
 */

import { readFileSync } from "node:fs";
import meow from "meow";
import { formatDocumentFailure, parseSettings } from "../adapters/index.js";
import { runDaemon } from "../daemon/run_daemon.js";
import { getGuard, isGuard } from "./guards.js";

const EXIT_USAGE = 2;

async function main(): Promise<number> {
  const { flags } = meow("", {
    importMeta: import.meta,
    flags: {
      settings: { type: "string", isRequired: true },
      break: { type: "string", isRequired: true },
    },
  });
  const settings = parseSettings(
    readFileSync(flags.settings, "utf8"),
    flags.settings,
  );
  if (settings.isErr()) {
    process.stderr.write(`${formatDocumentFailure(settings.error)}\n`);
    return EXIT_USAGE;
  }
  if (!isGuard(flags.break)) {
    process.stderr.write(`Unknown guard "${flags.break}"\n`);
    return EXIT_USAGE;
  }
  const { hooks, stopsAtOnce, changeSettings } = getGuard(flags.break);
  if (stopsAtOnce) process.once("SIGTERM", () => process.exit(0));
  return runDaemon(changeSettings?.(settings.value) ?? settings.value, hooks);
}

process.exit(await main());
