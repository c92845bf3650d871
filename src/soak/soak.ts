/** One soak run: a fleet under load and faults, then healed and judged. */

import { delay } from "../testbed/delay.js";
import { Fleet, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callJson } from "../testbed/http_calls.js";
import { listUnbilled } from "./check_bills.js";
import { judgeRun } from "./checks.js";
import { Faults } from "./faults.js";
import type { Findings } from "./findings.js";
import { Journal } from "./journal.js";
import { createLayout, HOST_LIST_LAG_MS, type Layout } from "./layout.js";
import { Load } from "./load.js";
import { Members } from "./members.js";
import { Operators } from "./operators.js";
import { createPlan, type FaultKind } from "./plan.js";
import { readStoreWrites } from "./records.js";

export interface SoakOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly basePort: number;
  readonly folder: string;
  /** Guard that is switched off. */
  readonly brokenGuard?: string;
  readonly requestsPerSecond: number;
  readonly meanFaultGapMs: number;
  /** Kinds of faults; all when absent. */
  readonly kinds?: readonly FaultKind[];
  readonly signal: AbortSignal;
}

export interface SoakResult {
  readonly journal: Journal;
  readonly findings: Findings;
}

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 250;
/** A survivor seals the pages of an entry that is unseen for 30 s. */
const SURVIVOR_MS = 40_000;
const LEAST_SETTLE_MS = 3_000;
const MOST_SETTLE_MS = 90_000;

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
  readonly #members: Members;
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
    this.#members = new Members(this.#fleet, this.#journal);
    this.#operators = new Operators({
      fleet: this.#fleet,
      journal: this.#journal,
      members: this.#members,
      layout: this.#layout,
      seed,
    });
  }

  async run(): Promise<SoakResult> {
    await this.#fleet.start();
    this.#members.watchAll();
    await this.#operators.applySetup();
    await this.#waitUntilReady();
    await this.#runFaults();
    await this.#operators.applySetup();
    await this.#settle();
    const findings = await judgeRun({
      fleet: this.#fleet,
      journal: this.#journal,
      folder: this.#options.folder,
      stop: () => this.#members.stopAll(),
    });
    await this.#fleet.stopAll();
    return { journal: this.#journal, findings };
  }

  /** Load, faults and tickets at once; all effects are over at its end. */
  async #runFaults(): Promise<void> {
    const { seed, seconds, requestsPerSecond, meanFaultGapMs, kinds } =
      this.#options;
    const lengthMs = seconds * 1_000;
    const parts = {
      fleet: this.#fleet,
      journal: this.#journal,
      members: this.#members,
    };
    const load = new Load({ ...parts, seed, perSecond: requestsPerSecond });
    const plan = createPlan(this.#layout, {
      seed,
      lengthMs,
      meanGapMs: meanFaultGapMs,
      kinds,
    });
    const ending = new AbortController();
    const healed = new AbortController();
    setTimeout(() => ending.abort(), lengthMs);
    const calls = load.run(healed.signal);
    await Promise.all([
      new Faults({ ...parts, load, operators: this.#operators }).run(plan),
      this.#operators.run(ending.signal),
    ]);
    await this.#members.settle();
    healed.abort();
    await calls;
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
    const count = this.#layout.endpoints.length;
    const limitMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < limitMs) {
      const reports = await this.#readStatus().catch(() => []);
      const isReady = reports.every(
        (report) => report.endpoints.length === count,
      );
      if (reports.length > 0 && isReady) return;
      await delay(POLL_MS);
    }
    throw new Error("Endpoints were not ready in time");
  }

  /** Waits until receipts, claims and tickets have settled. */
  async #settle(): Promise<void> {
    const startMs = Date.now();
    // Only an entry that ended without its own stop leaves receipts behind.
    const ends = this.#journal.lives
      .filter((life) => life.endedMs !== undefined && life.status?.code !== 0)
      .filter((life) => this.#fleet.getMember(life.member).role === "entry")
      .map((life) => (life.endedMs ?? 0) + SURVIVOR_MS);
    const leastMs = Math.max(startMs + LEAST_SETTLE_MS, ...ends);
    while (Date.now() < startMs + MOST_SETTLE_MS) {
      if (Date.now() >= leastMs && (await this.#isSettled())) return;
      await delay(POLL_MS);
    }
  }

  async #isSettled(): Promise<boolean> {
    const reports = await this.#readStatus().catch(() => undefined);
    if (reports === undefined) return false;
    const isQuiet = reports.every(
      (report) =>
        report.openReceipts === 0 &&
        report.openRequests === 0 &&
        report.revision === reports[0]?.revision,
    );
    if (!isQuiet) return false;
    const writes = await readStoreWrites(this.#fleet);
    return listUnbilled(this.#journal.calls, writes).length === 0;
  }
}

function createBrokenDaemon(guard: string) {
  const daemonFile = new URL("./broken_daemon.js", import.meta.url).pathname;
  return { daemonFile, daemonArgs: ["--break", guard] };
}
