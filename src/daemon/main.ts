#!/usr/bin/env -S node --max-semi-space-size=2 --max-old-space-size=96
/** The daemon: starts one role from a settings file and stops on SIGTERM. */

import { readFileSync } from "node:fs";
import meow from "meow";
import { formatDocumentFailure, parseSettings } from "../adapters/index.js";
import type { Settings } from "../schema/index.js";
import { runDaemon } from "./run_daemon.js";

const EXIT_SETTINGS = 2;

const cli = meow(
  `
  Usage
    $ hornbeamrilld --settings FILE

  Options
    --settings FILE  settings in JSON with comments; see docs/settings.md

  Exit codes
    0 stopped by SIGTERM or SIGINT, 1 failed, 2 wrong usage or settings
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: { settings: { type: "string" } },
  },
);

function readSettings(file: string | undefined): Settings | undefined {
  if (file === undefined) {
    process.stderr.write("hornbeamrilld: Option --settings is missing\n");
    return undefined;
  }
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    process.stderr.write(
      `hornbeamrilld: Cannot read settings file "${file}": ${String(error)}\n`,
    );
    return undefined;
  }
  const settings = parseSettings(text, file);
  if (settings.isOk()) return settings.value;
  process.stderr.write(`${formatDocumentFailure(settings.error)}\n`);
  return undefined;
}

const settings = readSettings(cli.flags.settings);
process.exit(
  settings === undefined ? EXIT_SETTINGS : await runDaemon(settings),
);
