/** Command line of the bench; the last line is one JSON object. */

import meow from "meow";
import { BASELINES, type BaselineName } from "./baselines.js";
import { runCoreBench } from "./core.js";
import { createPeak } from "./peak.js";
import { runBench } from "./run.js";
import { type Assumptions, loadAssumptions } from "./workload.js";

const cli = meow(
  `
  Usage
    $ npm run bench -- --workload yushan|ikenna|peak --policy NAME
    $ npm run bench -- --core

  Options
    --policy NAME       ${[...BASELINES, "hornbeamrill"].join(", ")}
    --seed N            seed of arrivals and draws (1)
    --load X            offered load as a share of the capacity
    --seconds S         virtual time; events later than that do not happen
    --assumptions FILE  in place of bench/assumptions/WORKLOAD.json
    --core              speed of the router alone at several fleet sizes
    --json              print only the result
`,
  {
    importMeta: import.meta,
    flags: {
      workload: { type: "string", default: "yushan" },
      policy: { type: "string", default: "hornbeamrill" },
      seed: { type: "number", default: 1 },
      load: { type: "number" },
      seconds: { type: "number" },
      assumptions: { type: "string" },
      core: { type: "boolean", default: false },
      json: { type: "boolean", default: false },
    },
  },
);

function isPolicy(name: string): name is BaselineName | "hornbeamrill" {
  return [...BASELINES, "hornbeamrill"].includes(name);
}

function loadPeak(): Assumptions {
  return createPeak(loadWorkload("yushan"), loadWorkload("ikenna"));
}

function loadWorkload(workload: string, file?: string): Assumptions {
  if (workload === "peak" && file === undefined) return loadPeak();
  return loadAssumptions(file ?? `bench/assumptions/${workload}.json`);
}

function main(): number {
  const { workload, policy, seed, load, seconds, assumptions } = cli.flags;
  if (!isPolicy(policy)) {
    console.error(`Unknown policy "${policy}"`);
    return 2;
  }
  const loaded = loadWorkload(workload, assumptions);
  if (cli.flags.core) {
    console.log(JSON.stringify(runCoreBench(loadPeak())));
    return 0;
  }
  const shortened = { ...loaded, seconds: seconds ?? loaded.seconds };
  const result = runBench(shortened, { policy, seed, load });
  console.log(JSON.stringify({ workload, policy, seed, ...result }));
  return 0;
}

process.exitCode = main();
