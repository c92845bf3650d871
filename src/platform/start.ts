/**
 * Starts the program: `entry [IP:PORT]`. It opens the port for callers first
 * and then loads the rest, which takes ten times as long.
 */

// Comes first: until its listeners are set, any signal ends the process.
import { earlySignals } from "./early_signals.js";

// The others take some 10 ms to load.

import { createRequire } from "node:module";
import { dirname } from "node:path";
import { loadBundle, writeCodeCache } from "./code_cache.js";
import { EarlyListener } from "./early_listener.js";
import type * as Program from "./main.js";
import { parseAddress } from "./parse_address.js";

const [, file = "", argument = ""] = process.argv;
const bundleOptions = { folder: dirname(file), require: createRequire(file) };

async function main(earlyListener: EarlyListener | undefined): Promise<void> {
  const { runProgram } = loadBundle<typeof Program>("program", bundleOptions);
  process.exit(await runProgram(earlyListener, earlySignals));
}

if (argument === "--write-cache") writeCodeCache("program", bundleOptions);
else {
  const callerAddress = parseAddress(argument);
  const earlyListener =
    callerAddress === undefined ? undefined : new EarlyListener(callerAddress);
  // The port opens only after this turn of the event loop, so load in the next.
  setImmediate(() => void main(earlyListener));
}
