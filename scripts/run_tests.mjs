// Runs every compiled test file under dist/ with node:test. Node 20 expands no
// glob patterns itself, so the files are listed here.
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";

// Faults that no test of the suite covers yet; printed with each run.
const knownFile = "KNOWN-RED.txt";
const files = readdirSync("dist", { recursive: true })
  .filter((file) => file.endsWith("_test.js"))
  .map((file) => `dist/${file}`)
  .sort();
if (existsSync(knownFile)) {
  console.log(
    `Known faults (${knownFile}):\n${readFileSync(knownFile, "utf8")}`,
  );
}
// Gives the randomised tests a fixed seed, so that each run has one verdict.
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
    ...files,
  ],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
