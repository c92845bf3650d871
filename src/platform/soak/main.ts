/** Command line of the soak test on the platform's edge; see docs/proof.md. */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import meow from "meow";
import { BUNDLE_FILE, PROPERTIES, runSoak } from "./index.js";

const EXIT_OK = 0;
const EXIT_VIOLATION = 1;

const cli = meow(
  `
  Usage
    $ npm run soak:platform -- --seed N --seconds T --json

  Options
    --seed N         seed of the faults and the load (1)
    --seconds T      how long faults are injected (60)
    --entries N      entries (5)
    --replicas N     replicas (4)
    --bundle FILE    program of the entries (target/entry.cjs)
    --repeat-stops   send SIGTERM again to entries that shut down
    --no-silences    no replica pauses within its answers
    --no-crashing-requests
                     no request ends the replicas that run it
    --no-floods      neither replicas nor callers send bytes without end
    --json           print the report as JSON on the last line
    --base-port N    first port of the entries (25000)
    --keep           keep the folder with settings and logs

  Exit codes
    0 no violation, 1 a violation, 3 the run itself failed
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      seed: { type: "number", default: 1 },
      seconds: { type: "number", default: 60 },
      entries: { type: "number", default: 5 },
      replicas: { type: "number", default: 4 },
      bundle: { type: "string", default: BUNDLE_FILE },
      repeatStops: { type: "boolean", default: false },
      silences: { type: "boolean", default: true },
      crashingRequests: { type: "boolean", default: true },
      floods: { type: "boolean", default: true },
      json: { type: "boolean", default: false },
      basePort: { type: "number", default: 25_000 },
      keep: { type: "boolean", default: false },
    },
  },
);

async function main(): Promise<number> {
  const { seed, seconds, json, basePort, keep } = cli.flags;
  const folder = mkdtempSync(join(tmpdir(), `hornbeamrill-platform-${seed}-`));
  const lifetime = new AbortController();
  const { signal } = lifetime;
  // Every process and link of the fleet adds an abort listener.
  setMaxListeners(0, signal);
  const options = {
    seed,
    seconds,
    entryCount: cli.flags.entries,
    replicaCount: cli.flags.replicas,
    bundleFile: cli.flags.bundle,
    repeatsStops: cli.flags.repeatStops,
    hasSilences: cli.flags.silences,
    hasCrashingRequests: cli.flags.crashingRequests,
    hasFloods: cli.flags.floods,
    basePort,
    folder,
    signal,
  };
  const result = await runSoak(options).finally(() => lifetime.abort());
  const { findings, ...counts } = result;
  for (const property of PROPERTIES) {
    for (const detail of findings.listViolations(property)) {
      process.stdout.write(`${property}: ${detail}\n`);
    }
  }
  if (findings.violationCount > 0 || keep)
    process.stdout.write(`logs: ${folder}\n`);
  else rmSync(folder, { recursive: true });
  if (json) {
    const report = {
      seed,
      seconds,
      ...counts,
      cases: findings.countCases(),
      violations: findings.countViolations(),
      notExercised: findings.listNotExercised(),
    };
    process.stdout.write(`${JSON.stringify(report)}\n`);
  }
  return findings.violationCount > 0 ? EXIT_VIOLATION : EXIT_OK;
}

process.exit(await main());
