/** Runs one role until SIGTERM or SIGINT. */

import { createLogger } from "../adapters/index.js";
import {
  type RoleHooks,
  startEndpointRole,
  startEntryRole,
} from "../roles/index.js";
import type { Settings } from "../schema/index.js";

/** Exit codes of the daemon. */
const EXIT_STOPPED = 0;
const EXIT_FAILED = 1;

/** Resolves to the exit code. `hooks` are for tests. @internal */
export async function runDaemon(
  settings: Settings,
  hooks: RoleHooks = {},
): Promise<number> {
  const log = createLogger(settings.log, {
    fields: {
      role: settings.role,
      process: settings.name,
      dataCentre: settings.dataCentre,
    },
  });
  const stop = new AbortController();
  for (const name of ["SIGTERM", "SIGINT"] as const) {
    process.once(name, () => {
      log.info("stop-requested", { signal: name });
      stop.abort();
    });
  }
  const start = settings.role === "entry" ? startEntryRole : startEndpointRole;
  try {
    const role = await start(settings, {
      log,
      signal: stop.signal,
      hooks,
    });
    log.info("started", { pid: process.pid });
    process.stdout.write("ready\n");
    await role.stopped;
    log.info("stopped");
    return EXIT_STOPPED;
  } catch (error) {
    log.error("failed", { error: String(error) });
    return EXIT_FAILED;
  }
}
