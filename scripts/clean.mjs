// Removes the build output, so that no compiled test of a deleted source runs.
import { rmSync } from "node:fs";

rmSync("dist", { recursive: true, force: true });
