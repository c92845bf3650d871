// Makes the programs under "bin" in package.json executable, as npm does when
// it installs a package.
import { chmodSync, readFileSync } from "node:fs";

const { bin } = JSON.parse(readFileSync("package.json", "utf8"));
for (const file of Object.values(bin)) chmodSync(file, 0o755);
