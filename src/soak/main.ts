/** The soak test's command line; see docs/proof.md. */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import meow from "meow";
import { isGuard, listGuards } from "./guards.js";
import { createReport, printFindings } from "./report.js";
import { Soak } from "./soak.js";

const EXIT_OK = 0;
const EXIT_VIOLATION = 1;
const EXIT_USAGE = 2;
/** The run itself failed, so no property was checked. */
const EXIT_RUN_FAILED = 3;

const cli = meow(
  `
  Usage
    $ npm run soak -- --seed N --seconds T --json [--break GUARD]

  Options
    --seed N         seed of the fleet, faults, load and tickets (1)
    --seconds T      how long faults are injected (60)
    --json           print the report as JSON on the last line
    --break GUARD    switch one guard off: ${listGuards().join(", ")}
    --base-port N    first port of the fleet (24000)
    --rate N         requests a second (25)
    --fault-gap N    mean milliseconds between two faults (1500)
    --keep           keep the folder with settings and logs

  Exit codes
    0 no violation, 1 a violation, 2 wrong usage, 3 the run itself failed
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seed: { type: "number", default: 1 },
      seconds: { type: "number", default: 60 },
      json: { type: "boolean", default: false },
      break: { type: "string" },
      basePort: { type: "number", default: 24_000 },
      rate: { type: "number", default: 25 },
      faultGap: { type: "number", default: 1_500 },
      keep: { type: "boolean", default: false },
    },
  },
);

async function main(): Promise<number> {
  const { seed, seconds, json, basePort, rate, faultGap, keep } = cli.flags;
  const guard = cli.flags.break;
  if (guard !== undefined && !isGuard(guard)) {
    process.stderr.write(`Unknown guard "${guard}"\n`);
    return EXIT_USAGE;
  }
  const folder = mkdtempSync(join(tmpdir(), `hornbeamrill-soak-${seed}-`));
  const lifetime = new AbortController();
  // Every process and link of the fleet adds an abort listener.
  setMaxListeners(0, lifetime.signal);
  const soak = new Soak({
    seed,
    seconds,
    basePort,
    folder,
    brokenGuard: guard,
    requestsPerSecond: rate,
    meanFaultGapMs: faultGap,
    signal: lifetime.signal,
  });
  const result = await soak.run().finally(() => lifetime.abort());
  printFindings(result.findings);
  const report = createReport({ seed, seconds, guard, ...result });
  if (!keep) rmSync(folder, { recursive: true });
  else {
    const text = JSON.stringify(result.journal, null, 1);
    writeFileSync(join(folder, "journal.json"), text);
    process.stdout.write(`logs and the journal are in ${folder}\n`);
  }
  if (json) process.stdout.write(`${JSON.stringify(report)}\n`);
  return result.findings.violationCount === 0 ? EXIT_OK : EXIT_VIOLATION;
}

process.exit(
  await main().catch((error: unknown) => {
    process.stderr.write(`The soak run failed: ${error}\n`);
    return EXIT_RUN_FAILED;
  }),
);
