// Runs every compiled test file under dist/ with node:test. Node 20 expands no
// glob patterns itself, so the files are listed here.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";

// Known faults that no test of the suite covers; printed with each run.
const knownFaultsFile = "KNOWN-RED.txt";
const testFiles = readdirSync("dist", { recursive: true })
  .filter((file) => file.endsWith("_test.js"))
  .map((file) => `dist/${file}`)
  .sort();
if (existsSync(knownFaultsFile)) {
  console.log(
    `Known faults (${knownFaultsFile}):\n${readFileSync(knownFaultsFile, "utf8")}`,
  );
}
// Fixes the seed of the randomised tests, so that a rerun gives the same result.
const seedModule = new URL("../dist/testbed/fuzz_seed.js", import.meta.url)
  .href;
const result = spawnSync(
  process.execPath,
  [
    "--import",
    seedModule,
    "--test",
    "--test-concurrency=4",
    "--test-reporter=spec",
    ...testFiles,
  ],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
