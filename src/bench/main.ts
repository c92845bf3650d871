/** Command line of the bench; prints one JSON line. */

import meow from "meow";
import { type Assumptions, loadAssumptions } from "./assumptions.js";
import { BASELINE_NAMES, type BaselineName } from "./baseline_policy.js";
import { createPeakAssumptions } from "./peak_assumptions.js";
import { runRouterBench } from "./router_bench.js";
import { runBench } from "./run_bench.js";

const cli = meow(
  `
  Usage
    $ npm run bench -- --workload yushan|ikenna|peak --policy NAME
    $ npm run bench -- --core

  Options
    --policy NAME       ${[...BASELINE_NAMES, "hornbeamrill"].join(", ")}
    --seed N            seed of arrivals and draws (1)
    --load X            offered load as a share of the capacity
    --seconds S         virtual time; arrivals and events after it are left out
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
  return [...BASELINE_NAMES, "hornbeamrill"].includes(name);
}

function loadPeakAssumptions(): Assumptions {
  return createPeakAssumptions(
    loadWorkloadAssumptions("yushan"),
    loadWorkloadAssumptions("ikenna"),
  );
}

function loadWorkloadAssumptions(workload: string, file?: string): Assumptions {
  if (workload === "peak" && file === undefined) return loadPeakAssumptions();
  return loadAssumptions(file ?? `bench/assumptions/${workload}.json`);
}

function main(): number {
  const { workload, policy, seed, load, seconds, assumptions } = cli.flags;
  if (!isPolicy(policy)) {
    console.error(`Unknown policy "${policy}"`);
    return 2;
  }
  const loadedAssumptions = loadWorkloadAssumptions(workload, assumptions);
  if (cli.flags.core) {
    console.log(JSON.stringify(runRouterBench(loadPeakAssumptions())));
    return 0;
  }
  const runAssumptions = {
    ...loadedAssumptions,
    seconds: seconds ?? loadedAssumptions.seconds,
  };
  const result = runBench(runAssumptions, { policy, seed, load });
  console.log(JSON.stringify({ workload, policy, seed, ...result }));
  return 0;
}

process.exitCode = main();
