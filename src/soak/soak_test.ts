import assert from "node:assert/strict";
import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { PROPERTIES } from "./findings.js";
import type { FaultKind } from "./plan.js";
import { Soak } from "./soak.js";

/** Faults whose effects end with them, so that the run settles at once. */
const KINDS: readonly FaultKind[] = [
  "stop",
  "cut-link",
  "slow-link",
  "store-down",
  "store-loses-replies",
  "engine-cold",
  "back-end-frozen",
  "service-loses-replies",
  "version-bad",
  "ratings-down",
];

/**
 * Below the ports that the kernel gives out (32,768 and up), and another block
 * for each process, so that two runs on one machine do not meet.
 */
const BASE_PORT = 20_000 + (process.pid % 120) * 100;

describe("a short soak", { timeout: 150_000 }, () => {
  // Guards against a change that breaks a promise of the system under faults
  // that are common in operation. The long runs have the rare ones.
  it("keeps every property under stops, cuts, outages and cold engines", async () => {
    const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-soak-test-"));
    const lifetime = new AbortController();
    setMaxListeners(0, lifetime.signal);
    const soak = new Soak({
      seed: 7,
      seconds: 9,
      basePort: BASE_PORT,
      folder,
      requestsPerSecond: 10,
      meanFaultGapMs: 900,
      kinds: KINDS,
      signal: lifetime.signal,
    });
    const { findings } = await soak.run().finally(() => lifetime.abort());
    for (const property of PROPERTIES) {
      assert.deepEqual(findings.listViolations(property), [], property);
    }
    rmSync(folder, { recursive: true });
  });
});
