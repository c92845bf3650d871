/** One seeded run: start, load and faults, healing, and the verdict. */

import { Agent } from "node:http";
import type { Findings } from "../../soak/findings.js";
import { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { Callers } from "./callers.js";
import { judgeSoak, type Promised } from "./checks.js";
import { Faults } from "./faults.js";
import { Fleet } from "./fleet.js";
import { ROUTE, type RunRecord } from "./records.js";

const CALLERS = 16;
/** Time in which the fleet serves all again once everything is healed, ms. */
const RECOVERY_MS = 12_000;
/** Wait for every entry to be ready at the start, ms. */
const START_MS = 20_000;

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly basePort: number;
  readonly folder: string;
  readonly signal: AbortSignal;
}

export interface SoakResult {
  readonly findings: Findings<Promised>;
  readonly calls: number;
  readonly served: number;
  readonly faults: Readonly<Record<string, number>>;
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, basePort, folder, signal } = options;
  const fleet = new Fleet({ basePort, folder, signal });
  await fleet.start();
  await waitForReady(fleet, START_MS);
  const faults = new Faults({
    fleet,
    random: new Random(seed),
    untilMs: performance.now() + seconds * 1_000,
  });
  const ending = new AbortController();
  const callers = new Callers({
    count: CALLERS,
    ports: new Map(
      fleet.entries.map(({ name, callerLink }) => [name, callerLink.port]),
    ),
    random: new Random(seed + 1),
    listKeys: () => ({
      valid: fleet.keys,
      withdrawn: [...faults.withdrawals.keys()],
    }),
    signal: ending.signal,
  });
  const calling = callers.run();
  await faults.run();
  faults.heal();
  await waitForReady(fleet, RECOVERY_MS);
  ending.abort();
  await calling;
  const unserved = await callLast(fleet, callers);
  faults.isOver = true;
  await Promise.all(fleet.entries.map(({ process }) => process?.stop()));
  const { calls } = callers;
  const { disturbances, withdrawals, leavings, unexpectedExits } = faults;
  const findings = judgeSoak({
    calls,
    runs: listRuns(fleet),
    arrivals: fleet.replicas.flatMap(({ id, replica }) =>
      replica.arrivals.map((arrival) => ({ ...arrival, replica: id })),
    ),
    disturbances,
    withdrawals,
    leavings,
    unexpectedExits,
    unserved,
  });
  return {
    findings,
    calls: calls.length,
    served: calls.filter(({ status }) => status === 200).length,
    faults: Object.fromEntries(faults.counts),
  };
}

async function waitForReady(fleet: Fleet, timeoutMs: number): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    const states = await Promise.all(
      fleet.entries.map((entry) => fleet.isReady(entry)),
    );
    if (states.every(Boolean)) return;
    await delay(100);
  }
}

/** Calls of each kind at each entry once all is calm; those not served. */
async function callLast(fleet: Fleet, callers: Callers): Promise<string[]> {
  const failed: string[] = [];
  for (const { name } of fleet.entries) {
    for (const route of Object.values(ROUTE)) {
      const agent = new Agent();
      const call = await callers.callOnce(name, agent, route);
      agent.destroy();
      if (call.status === 200 && call.isComplete) continue;
      failed.push(`${call.id} ${route} at ${name}: ${call.status}`);
    }
  }
  return failed;
}

function listRuns(fleet: Fleet): RunRecord[] {
  return fleet.replicas.flatMap(({ id, replica }) =>
    replica.runs.map(({ requestId, startedAtMs }) => ({
      requestId,
      replica: id,
      startedAtMs,
    })),
  );
}
