import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { setMaxListeners } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { PROMISES, runSoak } from "./index.js";

const BUNDLE_SCRIPT = fileURLToPath(
  new URL("../../../scripts/bundle.mjs", import.meta.url),
);
/** Ports that no other test uses. */
const BASE_PORT = 26_800;

describe("soak on the platform's edge", () => {
  before(async () => {
    await promisify(execFile)(process.execPath, [BUNDLE_SCRIPT]);
  });

  // Faults that come together break what each one alone does not.
  it("keeps all promises in a short run", async () => {
    const folder = await mkdtemp(join(tmpdir(), "hornbeamrill-platform-"));
    const lifetime = new AbortController();
    const { signal } = lifetime;
    setMaxListeners(0, signal);
    const { findings, calls, served } = await runSoak({
      seed: 3,
      seconds: 10,
      basePort: BASE_PORT,
      folder,
      signal,
    }).finally(() => lifetime.abort());
    const violations = PROMISES.flatMap((promise) =>
      findings.listViolations(promise).map((text) => `${promise}: ${text}`),
    );
    assert.deepEqual(violations, []);
    assert.ok(served > calls / 2, `${served} of ${calls} calls were served`);
    await rm(folder, { recursive: true });
  });
});
