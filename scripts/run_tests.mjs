// Runs every compiled test file under dist/ with node:test. Node 20 expands no
// glob patterns itself, so the files are listed here.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";

const files = readdirSync("dist", { recursive: true })
  .filter((file) => file.endsWith("_test.js"))
  .map((file) => `dist/${file}`)
  .sort();
const result = spawnSync(
  process.execPath,
  ["--test", "--test-concurrency=4", "--test-reporter=spec", ...files],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
