/** One seeded soak run: start, load and faults, recovery, and the checks. */

import { Agent } from "node:http";
import { monitorEventLoopDelay } from "node:perf_hooks";
import type { Findings } from "../../soak/findings.js";
import { Random } from "../../soak/random.js";
import { delay } from "../../testbed/delay.js";
import { Callers } from "./callers.js";
import { runCrashingRequests } from "./crashing_requests.js";
import { FaultInjector } from "./fault_injector.js";
import { Fleet, type FleetOptions } from "./fleet.js";
import { runFloods } from "./floods.js";
import { judgeSoak } from "./judge_soak.js";
import { measureMemory } from "./measure_memory.js";
import { startStallRecords } from "./own_stalls.js";
import type { Property } from "./properties.js";
import { type Disturbance, ROUTE, type RunRecord } from "./records.js";
import { runSilences } from "./silences.js";
import { startStopCalls } from "./stop_calls.js";

const MIN_CALLER_COUNT = 16;
const CALLERS_PER_ENTRY = 3;
const NANOSECONDS_PER_MS = 1_000_000;
/** Times for which silences, then crashing requests as well, come alone, ms. */
const ALONE = { silencesMs: 1_500, crashesMs: 5_500 } as const;
/** Time for every entry to be ready again once all faults have ended, ms. */
const RECOVERY_TIMEOUT_MS = 12_000;
/** Time for every entry to be ready at the start, ms. */
const START_TIMEOUT_MS = 20_000;

export interface SoakOptions extends FleetOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Requests planned stops again while an entry shuts down. */
  readonly repeatsStops: boolean;
  readonly hasSilences: boolean;
  readonly hasCrashingRequests: boolean;
  readonly hasFloods: boolean;
}

export interface SoakResult {
  readonly findings: Findings<Property>;
  /** Calls apart from those of bursts, and those of them that were served. */
  readonly calls: number;
  readonly served: number;
  readonly burstCalls: number;
  readonly faults: Readonly<Record<string, number>>;
  /** Answers that replicas wrote once more. */
  readonly repeatedAnswers: number;
  /** Longest pause of this process, which has callers, links and replicas, ms. */
  readonly longestStallMs: number;
  /** Most memory that an entry had, MB. */
  readonly peakMemoryMb: number;
}

export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, seconds, repeatsStops } = options;
  const fleet = new Fleet(options);
  await fleet.start();
  await waitUntilReady(fleet, START_TIMEOUT_MS);
  const stalls = monitorEventLoopDelay();
  stalls.enable();
  const ownStalls = startStallRecords(options.signal);
  const startedAtMs = performance.now();
  const faultsFromMs = startedAtMs + ALONE.silencesMs + ALONE.crashesMs;
  const untilMs = faultsFromMs + seconds * 1_000;
  const silences: Disturbance[] = [];
  const stopRandom = new Random(seed + 10);
  const faults = new FaultInjector({
    fleet,
    random: new Random(seed),
    limitRandom: new Random(seed + 2),
    restoreRandom: new Random(seed + 4),
    repeatRandom: new Random(seed + 5),
    sendBurst: () => callers.sendBurst(),
    startStopCalls: ({ name, callerLink }, stopSignal) =>
      startStopCalls({
        callers,
        entry: name,
        port: callerLink.port,
        random: stopRandom,
        signal: stopSignal,
      }),
    untilMs,
  });
  const portsByEntry = new Map(
    fleet.entries.map(({ name, callerLink }) => [name, callerLink.port]),
  );
  const listKeys = () => ({
    valid: fleet.apiKeys,
    withdrawn: [...faults.withdrawals.keys()],
  });
  const callersEnd = new AbortController();
  const callers = new Callers({
    callerCount: Math.max(
      MIN_CALLER_COUNT,
      CALLERS_PER_ENTRY * options.entryCount,
    ),
    portsByEntry,
    random: new Random(seed + 1),
    crashingRandom: new Random(seed + 3),
    burstRandom: new Random(seed + 6),
    patientRandom: new Random(seed + 8),
    listKeys,
    isUnaccepted: (name, localPort) =>
      fleet.entries.some(
        (entry) =>
          entry.name === name &&
          entry.callerLink.unacceptedPorts.has(localPort),
      ),
    signal: callersEnd.signal,
  });
  const callersDone = callers.run();
  const silencesDone = options.hasSilences
    ? runSilences({
        random: new Random(seed + 7),
        untilMs,
        listReplicas: () => fleet.listCurrentReplicas(),
        onSilence: (silence) => silences.push(silence),
      })
    : undefined;
  const floods: Disturbance[] = [];
  const floodsDone = options.hasFloods
    ? runFloods({
        random: new Random(seed + 12),
        untilMs,
        listReplicas: () => fleet.listCurrentReplicas(),
        callerPorts: [...portsByEntry.values()],
        listKeys,
        onFlood: (flood) => floods.push(flood),
      })
    : undefined;
  const memoryEnd = new AbortController();
  const memoryPeaksDone = measureMemory(fleet.entries, memoryEnd.signal);
  const stopsDone = faults.runStops(new Random(seed + 11), repeatsStops);
  await delay(ALONE.silencesMs);
  const crashingRequestsDone = options.hasCrashingRequests
    ? runCrashingRequests({
        random: new Random(seed + 9),
        untilMs,
        portsByEntry,
        listKeys,
        crashingBodies: fleet.crashingBodies,
      })
    : [];
  await delay(faultsFromMs - performance.now());
  // Ends earlier than most faults, so that recovery gets no extra time.
  const crashingDone = callers.runCrashingCalls(untilMs);
  await Promise.all([faults.run(), stopsDone]);
  faults.heal();
  await Promise.all([crashingDone, silencesDone, floodsDone]);
  const crashingRequests = await crashingRequestsDone;
  await fleet.waitForRestarts();
  await waitUntilReady(fleet, RECOVERY_TIMEOUT_MS);
  callersEnd.abort();
  await callersDone;
  const unserved = await callEveryRoute(fleet, callers);
  faults.isStoppingEntries = true;
  memoryEnd.abort();
  const memoryPeaks = await memoryPeaksDone;
  await Promise.all(fleet.entries.map(({ process }) => process?.stop()));
  stalls.disable();
  const { calls } = callers;
  const steadyCalls = calls.filter((call) => !callers.burstCalls.has(call));
  const { disturbances, withdrawals, leavings, unexpectedExits } = faults;
  const findings = judgeSoak({
    calls,
    runs: listRuns(fleet),
    arrivals: fleet.replicas.flatMap(({ id, replica }) =>
      replica.arrivals.map((arrival) => ({ ...arrival, replica: id })),
    ),
    crashingCalls: callers.crashingCalls,
    crashingRequests,
    requestCrashes: fleet.requestCrashes,
    ownStalls,
    disturbances: [...disturbances, ...silences, ...floods, ...fleet.crashes],
    withdrawals,
    leavings,
    unexpectedExits,
    memoryPeaks,
    unserved,
  });
  return {
    findings,
    calls: steadyCalls.length,
    served: steadyCalls.filter(({ status }) => status === 200).length,
    burstCalls: callers.burstCalls.size,
    faults: {
      ...Object.fromEntries(faults.counts),
      silence: silences.length,
      flood: floods.length,
      crashingRequest: fleet.crashingBodies.size,
      requestCrash: fleet.requestCrashes.length,
    },
    repeatedAnswers: fleet.replicas.reduce(
      (sum, { replica }) => sum + replica.copyCount,
      0,
    ),
    peakMemoryMb: Math.max(...memoryPeaks.map(({ megabytes }) => megabytes)),
    longestStallMs: Math.round(stalls.max / NANOSECONDS_PER_MS),
  };
}

async function waitUntilReady(fleet: Fleet, timeoutMs: number): Promise<void> {
  const untilMs = performance.now() + timeoutMs;
  while (performance.now() < untilMs) {
    const states = await Promise.all(
      fleet.entries.map((entry) => fleet.isReady(entry)),
    );
    if (states.every(Boolean)) return;
    await delay(100);
  }
}

/** Calls each route at each entry after recovery; returns failed calls. */
async function callEveryRoute(
  fleet: Fleet,
  callers: Callers,
): Promise<string[]> {
  const failures: string[] = [];
  for (const { name } of fleet.entries) {
    for (const route of Object.values(ROUTE)) {
      const agent = new Agent();
      const call = await callers.callOnce(name, agent, { route });
      agent.destroy();
      if (call.status === 200 && call.isComplete) continue;
      failures.push(`${call.id} ${route} at ${name}: ${call.status}`);
    }
  }
  return failures;
}

function listRuns(fleet: Fleet): RunRecord[] {
  return fleet.replicas.flatMap(({ id, replica }) =>
    replica.runs.map(({ requestId, startedAtMs, wasSilent, endedAtMs }) => ({
      requestId,
      replica: id,
      startedAtMs,
      wasSilent,
      endedAtMs,
    })),
  );
}
