/**
 * The first file of the program: `entry [IP:PORT]`. It opens the port for
 * callers and loads the rest afterwards, which takes ten times as long.
 */

import { createRequire } from "node:module";
import { dirname } from "node:path";
import { parseAddress } from "./address.js";
import { loadCached, writeCache } from "./code_cache.js";
import { EarlyListener } from "./early_listener.js";
import type * as Program from "./main.js";

const [, file = "", argument = ""] = process.argv;
const options = { folder: dirname(file), require: createRequire(file) };

async function main(early: EarlyListener | undefined): Promise<void> {
  const { runProgram } = loadCached<typeof Program>("program", options);
  process.exit(await runProgram(early));
}

if (argument === "--write-cache") writeCache("program", options);
else {
  const place = parseAddress(argument);
  const early = place === undefined ? undefined : new EarlyListener(place);
  // The port opens once this turn of the event loop has ended.
  setImmediate(() => void main(early));
}
