/** Starts one stand-in: `main.js KIND --port N [--seed N] [options]`. */

import meow, { type AnyFlag } from "meow";
import type { Options } from "./options.js";
import { ReplyError } from "./server.js";
import { isStandinKind, STANDIN_KINDS, startStandin } from "./standin_kinds.js";

const EXIT_CODE_USAGE = 2;

function describeOptions(): string {
  return Object.entries(STANDIN_KINDS)
    .map(([kind, { defaults }]) => `  ${kind}: ${Object.keys(defaults)}`)
    .join("\n");
}

/** Flags without defaults, so that only given ones reach the stand-in. */
function createFlags(defaults: Options): Record<string, AnyFlag> {
  return Object.fromEntries(
    Object.entries(defaults).map(([name, value]) => [
      name,
      { type: typeof value } as AnyFlag,
    ]),
  );
}

const kind = process.argv[2];
const help = `Usage
  $ main.js KIND --port N [--seed N] [--OPTION VALUE]

Options by kind (camelCase here, kebab-case on the command line)
${describeOptions()}`;
if (!isStandinKind(kind)) {
  process.stderr.write(`${help}\n`);
  process.exit(EXIT_CODE_USAGE);
}
const { flags } = meow(help, {
  importMeta: import.meta,
  allowUnknownFlags: false,
  booleanDefault: undefined,
  flags: {
    port: { type: "number", default: 0 },
    seed: { type: "number", default: 1 },
    ...createFlags(STANDIN_KINDS[kind].defaults),
  },
});
const { port, seed, ...flagValues } = flags as Record<string, unknown>;
const options = Object.fromEntries(
  Object.entries(flagValues).filter(
    ([name, value]) =>
      value !== undefined && Object.hasOwn(STANDIN_KINDS[kind].defaults, name),
  ),
);
try {
  const server = await startStandin(kind, {
    port: Number(port),
    seed: Number(seed),
    options,
  });
  process.once("SIGTERM", () => {
    void server.close().then(() => process.exit(0));
  });
  process.stdout.write(`ready port=${server.port}\n`);
} catch (error) {
  process.stderr.write(`Stand-in "${kind}" failed to start: ${error}\n`);
  process.exit(error instanceof ReplyError ? EXIT_CODE_USAGE : 1);
}
