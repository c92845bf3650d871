/** Command line of the bench; the last line is one JSON object. */

import meow from "meow";
import { BASELINES, type BaselineName } from "./baselines.js";
import { runBench } from "./run.js";
import { loadAssumptions } from "./workload.js";

const cli = meow(
  `
  Usage
    $ npm run bench -- --workload yushan|ikenna --policy NAME

  Options
    --policy NAME       ${[...BASELINES, "hornbeamrill"].join(", ")}
    --seed N            seed of arrivals and draws (1)
    --load X            offered load as a share of the capacity
    --seconds S         virtual time; events later than that do not happen
    --assumptions FILE  in place of bench/assumptions/WORKLOAD.json
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
      json: { type: "boolean", default: false },
    },
  },
);

function isPolicy(name: string): name is BaselineName | "hornbeamrill" {
  return [...BASELINES, "hornbeamrill"].includes(name);
}

function main(): number {
  const { workload, policy, seed, load, seconds, assumptions } = cli.flags;
  if (!isPolicy(policy)) {
    console.error(`Unknown policy "${policy}"`);
    return 2;
  }
  const file = assumptions ?? `bench/assumptions/${workload}.json`;
  const loaded = loadAssumptions(file);
  const shortened = { ...loaded, seconds: seconds ?? loaded.seconds };
  const result = runBench(shortened, { policy, seed, load });
  console.log(JSON.stringify({ workload, policy, seed, ...result }));
  return 0;
}

process.exitCode = main();
