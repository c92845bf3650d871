// Runs every compiled test file under dist/ with node:test. Node 20 expands no
// glob patterns itself, so the files are listed here.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";

const files = readdirSync("dist", { recursive: true })
  .filter((file) => file.endsWith("_test.js"))
  .map((file) => `dist/${file}`)
  .sort();
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
