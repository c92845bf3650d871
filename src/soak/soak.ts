/** One soak run: load and faults on a fleet, then recovery and the checks. */

import { delay } from "../testbed/delay.js";
import { Fleet, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callJson } from "../testbed/http_calls.js";
import { listUnbilled } from "./check_bills.js";
import { FaultInjector } from "./fault_injector.js";
import { createFaultPlan, type FaultKind } from "./fault_plan.js";
import type { Findings } from "./findings.js";
import { Journal } from "./journal.js";
import { judgeRun } from "./judge_run.js";
import { createLayout, HOST_LIST_LAG_MS, type Layout } from "./layout.js";
import { LoadGenerator } from "./load_generator.js";
import { Operators } from "./operators.js";
import { ProcessSupervisor } from "./process_supervisor.js";
import { readStoreWrites } from "./standin_records.js";

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly basePort: number;
  readonly folder: string;
  /** Guard that is switched off. */
  readonly brokenGuard?: string;
  readonly requestsPerSecond: number;
  readonly meanFaultGapMs: number;
  /** Kinds of faults to inject; all if absent. */
  readonly kinds?: readonly FaultKind[];
  readonly signal: AbortSignal;
}

export interface SoakResult {
  readonly journal: Journal;
  readonly findings: Findings;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 250;
/**
 * Another process seals the ledger pages of an entry that is unseen for 30 s,
 * and recovers its receipts.
 */
const RECEIPT_RECOVERY_MS = 40_000;
const MIN_SETTLE_MS = 3_000;
const MAX_SETTLE_MS = 90_000;

interface EntryStatus {
  readonly revision: number;
  readonly openRequests: number;
  readonly openReceipts: number;
  readonly endpoints: readonly unknown[];
}

export class Soak {
  readonly #options: SoakOptions;
  readonly #layout: Layout;
  readonly #fleet: Fleet;
  readonly #journal = new Journal();
  readonly #supervisor: ProcessSupervisor;
  readonly #operators: Operators;

  constructor(options: SoakOptions) {
    const { seed, basePort, folder, signal, brokenGuard } = options;
    this.#options = options;
    this.#layout = createLayout(seed);
    this.#fleet = new Fleet(
      {
        entries: this.#layout.entries,
        endpoints: this.#layout.endpoints,
        basePort,
        folder,
        seed,
        hostListLagMs: HOST_LIST_LAG_MS,
        ...(brokenGuard === undefined ? {} : createBrokenDaemon(brokenGuard)),
      },
      signal,
    );
    this.#supervisor = new ProcessSupervisor(this.#fleet, this.#journal);
    this.#operators = new Operators({
      fleet: this.#fleet,
      journal: this.#journal,
      supervisor: this.#supervisor,
      layout: this.#layout,
      seed,
    });
  }

  async run(): Promise<SoakResult> {
    await this.#fleet.start();
    this.#supervisor.watchAll();
    await this.#operators.applySetup();
    await this.#waitUntilReady();
    await this.#runFaults();
    await this.#operators.applySetup();
    await this.#settle();
    const findings = await judgeRun({
      fleet: this.#fleet,
      journal: this.#journal,
      folder: this.#options.folder,
      stopDaemons: () => this.#supervisor.stopAll(),
    });
    await this.#fleet.stopAll();
    return { journal: this.#journal, findings };
  }

  /** Runs load, faults and tickets together until every fault has ended. */
  async #runFaults(): Promise<void> {
    const { seed, seconds, requestsPerSecond, meanFaultGapMs, kinds } =
      this.#options;
    const faultsMs = seconds * 1_000;
    const shared = {
      fleet: this.#fleet,
      journal: this.#journal,
      supervisor: this.#supervisor,
    };
    const loadGenerator = new LoadGenerator({
      ...shared,
      seed,
      requestsPerSecond,
    });
    const plan = createFaultPlan(this.#layout, {
      seed,
      planMs: faultsMs,
      meanGapMs: meanFaultGapMs,
      kinds,
    });
    const faultsEnd = new AbortController();
    const loadEnd = new AbortController();
    setTimeout(() => faultsEnd.abort(), faultsMs);
    const loadDone = loadGenerator.run(loadEnd.signal);
    await Promise.all([
      new FaultInjector({
        ...shared,
        loadGenerator,
        operators: this.#operators,
      }).run(plan),
      this.#operators.run(faultsEnd.signal),
    ]);
    await this.#supervisor.waitForRestarts();
    loadEnd.abort();
    await loadDone;
  }

  async #readStatus(): Promise<EntryStatus[]> {
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    return (await Promise.all(
      this.#layout.entries.map(({ name }) =>
        callJson({
          port: this.#fleet.getMember(name).operatorPort,
          method: "GET",
          path: "/status",
          headers,
        }),
      ),
    )) as EntryStatus[];
  }

  async #waitUntilReady(): Promise<void> {
    const endpointCount = this.#layout.endpoints.length;
    const deadlineMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const statuses = await this.#readStatus().catch(() => []);
      const isReady = statuses.every(
        (status) => status.endpoints.length === endpointCount,
      );
      if (statuses.length > 0 && isReady) return;
      await delay(POLL_INTERVAL_MS);
    }
    throw new Error("The entries did not list all endpoints in time");
  }

  /** Waits until every answer is billed and all entries agree on a revision. */
  async #settle(): Promise<void> {
    const startMs = Date.now();
    // Only an entry that ended without a graceful stop leaves receipts behind.
    const recoveryTimes = this.#journal.lives
      .filter(
        (lifetime) =>
          lifetime.endedMs !== undefined && lifetime.status?.code !== 0,
      )
      .filter(
        (lifetime) => this.#fleet.getMember(lifetime.member).role === "entry",
      )
      .map((lifetime) => (lifetime.endedMs ?? 0) + RECEIPT_RECOVERY_MS);
    const earliestEndMs = Math.max(startMs + MIN_SETTLE_MS, ...recoveryTimes);
    while (Date.now() < startMs + MAX_SETTLE_MS) {
      if (Date.now() >= earliestEndMs && (await this.#isSettled())) return;
      await delay(POLL_INTERVAL_MS);
    }
  }

  async #isSettled(): Promise<boolean> {
    const statuses = await this.#readStatus().catch(() => undefined);
    if (statuses === undefined) return false;
    const isIdle = statuses.every(
      (status) =>
        status.openReceipts === 0 &&
        status.openRequests === 0 &&
        status.revision === statuses[0]?.revision,
    );
    if (!isIdle) return false;
    const writes = await readStoreWrites(this.#fleet);
    return listUnbilled(this.#journal.calls, writes).length === 0;
  }
}

function createBrokenDaemon(guard: string) {
  const daemonFile = new URL("./broken_daemon.js", import.meta.url).pathname;
  return { daemonFile, daemonArgs: ["--break", guard] };
}
