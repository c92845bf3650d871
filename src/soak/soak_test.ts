import assert from "node:assert/strict";
import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import type { FaultKind } from "./fault_plan.js";
import { PROPERTIES } from "./findings.js";
import { Soak } from "./soak.js";

/** Faults whose effects end with them, so that the run settles at once. */
const FAULT_KINDS: readonly FaultKind[] = [
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
 * Below the kernel's ephemeral ports (32,768 and up), and another block for
 * each process, so that two runs on one machine don't use the same ports.
 */
const BASE_PORT = 20_000 + (process.pid % 120) * 100;

describe("a short soak", { timeout: 150_000 }, () => {
  // Guards against a change that breaks a property of the system under faults
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
      kinds: FAULT_KINDS,
      signal: lifetime.signal,
    });
    const { findings } = await soak.run().finally(() => lifetime.abort());
    for (const property of PROPERTIES) {
      assert.deepEqual(findings.listViolations(property), [], property);
    }
    rmSync(folder, { recursive: true });
  });
});
