// Removes the build output, so that no test of a deleted source runs again.
import { rmSync } from "node:fs";

rmSync("dist", { recursive: true, force: true });
