// Runs the soak on the platform's edge for a range of seeds, some side by side,
// and prints the violations of each one. Build and bundle first; don't rebuild
// meanwhile. What follows "--" goes to each run.
//
//   node scripts/soak_seeds.mjs --from 1 --to 50 --jobs 2 --seconds 15 \
//     --folder soak-logs -- --entries 12 --replicas 24
import { spawn } from "node:child_process";
import { createWriteStream, mkdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";

const SOAK_FILE = "dist/platform/soak/main.js";
// Clear of the ports that the kernel hands out, and of those of the tests.
const FIRST_PORT = 20_000;
const PORTS_PER_JOB = 500;

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    from: { type: "string", default: "1" },
    to: { type: "string", default: "12" },
    jobs: { type: "string", default: "2" },
    seconds: { type: "string", default: "15" },
    folder: { type: "string", default: "soak-logs" },
  },
});
mkdirSync(values.folder, { recursive: true });
const totals = {
  seeds: 0,
  failed: [],
  noReport: [],
  violations: {},
  cases: {},
};
const notExercised = {};
let nextSeed = Number(values.from);

function runSeed(seed, basePort) {
  const file = join(values.folder, `seed-${seed}.log`);
  const args = ["--seed", seed, "--seconds", values.seconds, "--json"];
  const ports = ["--base-port", basePort];
  const all = [SOAK_FILE, ...args, ...ports, ...positionals].map(String);
  const child = spawn(process.execPath, all);
  const log = createWriteStream(file);
  child.stdout.pipe(log, { end: false });
  child.stderr.pipe(log, { end: false });
  return new Promise((resolve) => {
    child.once("close", () => log.end(() => resolve(file)));
  });
}

function readReport(file) {
  try {
    return JSON.parse(readFileSync(file, "utf8").trim().split("\n").at(-1));
  } catch {
    return undefined;
  }
}

function addCounts(sums, counts) {
  for (const [name, count] of Object.entries(counts)) {
    sums[name] = (sums[name] ?? 0) + count;
  }
}

function reportSeed(seed, report) {
  totals.seeds++;
  if (report === undefined) {
    totals.noReport.push(seed);
    console.log(`seed ${seed}: no report`);
    return;
  }
  const { calls, served, longestStallMs, cases, violations } = report;
  addCounts(totals.violations, violations);
  addCounts(totals.cases, cases);
  for (const name of report.notExercised)
    addCounts(notExercised, { [name]: 1 });
  const found = Object.entries(violations).filter(([, count]) => count > 0);
  if (found.length > 0) totals.failed.push(seed);
  const text = found.map(
    ([name, count]) => `${name} ${count} of ${cases[name]}`,
  );
  console.log(
    `seed ${seed}: ${calls} calls, ${served} served, longest stall ${longestStallMs} ms: ${text.join(", ") || "no violation"}`,
  );
}

async function runJob(job) {
  while (nextSeed <= Number(values.to)) {
    const seed = nextSeed++;
    const file = await runSeed(seed, FIRST_PORT + job * PORTS_PER_JOB);
    reportSeed(seed, readReport(file));
  }
}

await Promise.all(
  Array.from({ length: Number(values.jobs) }, (_, job) => runJob(job)),
);
console.log(JSON.stringify({ ...totals, notExercised }));
process.exit(totals.failed.length + totals.noReport.length > 0 ? 1 : 0);
