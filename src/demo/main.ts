/**
 * The demo: starts a fleet of separate processes, sends both workloads while
 * change tickets take a data centre out and bring it back, and stops the fleet
 * gracefully. Prints tables of the results, and exits 1 after any problem.
 */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { formatTable } from "../cli/format_table.js";
import type { Ticket } from "../schema/index.js";
import {
  type CallerOutcome,
  sendChat,
  sendServiceCall,
} from "../testbed/callers.js";
import { delay } from "../testbed/delay.js";
import { type EndpointSpec, Fleet, OPERATOR_TOKEN } from "../testbed/fleet.js";
import { callJson } from "../testbed/http_calls.js";
import { readResidentMegabytes } from "../testbed/process_usage.js";
import {
  createSetupTicket,
  getApiKey,
  IKENNA,
  listServices,
  type RequestKind,
  type Workload,
  YUSHAN,
} from "../testbed/workloads.js";

const BASE_PORT = 21_000;
const REQUESTS_PER_KIND = 6;
/** Longest time for one ticket to be accepted, or for endpoints to be seen. */
const STEP_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 100;
/** Time in which, by the users' requirement, a data centre must be out. */
const DRAIN_LIMIT_MS = 2_000;

const WORKLOADS: readonly Workload[] = [YUSHAN, IKENNA];

const ENGINE_ENDPOINT = {
  kind: "engine",
  versions: ["small-1", "medium-1", "large-1"],
  slots: 8,
  slotsWhileCold: 2,
  options: { coldStartMs: 500 },
} as const;

const SERVICE_ENDPOINT = {
  kind: "service",
  services: listServices(WORKLOADS),
  slots: 8,
  slotsWhileCold: 2,
} as const;

const ENDPOINTS: readonly EndpointSpec[] = [
  { ...ENGINE_ENDPOINT, name: "engine-a", dataCentre: "dc1" },
  { ...ENGINE_ENDPOINT, name: "engine-b", dataCentre: "dc2" },
  { ...SERVICE_ENDPOINT, name: "service-a", dataCentre: "dc1" },
  { ...SERVICE_ENDPOINT, name: "service-b", dataCentre: "dc2" },
];

const ENTRIES = [
  { name: "entry-a", dataCentre: "dc1" },
  { name: "entry-b", dataCentre: "dc2" },
] as const;

/** The cells of one row, in the order of the header in `#printTable`. */
type ResultRow = [string, number, number, number, number, number];

class Demo {
  readonly #fleet: Fleet;
  readonly #resultRows: ResultRow[] = [];
  readonly #problems: string[] = [];
  /** Makes each idempotency key differ from the others. */
  #serviceCallCount = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async run(): Promise<boolean> {
    await this.#fleet.start();
    await this.#applyTicket(createSetupTicket(1, WORKLOADS, ["dc1", "dc2"]));
    await this.#waitUntilReady();
    await this.#sendWorkloads("all data centres in");
    await this.#checkRepeatedOrder();
    await this.#checkSessionVersion();
    await this.#applyTicket(createDataCentreTicket(2, "out"));
    await delay(DRAIN_LIMIT_MS);
    const callsBefore = await this.#countCallsRun("dc2");
    await this.#sendWorkloads("dc2 out");
    const callsAfter = await this.#countCallsRun("dc2");
    this.#check(
      callsAfter === callsBefore,
      `dc2 got ${callsAfter - callsBefore} calls while out`,
    );
    await this.#applyTicket(createDataCentreTicket(3, "in"));
    await this.#waitUntilReady();
    await this.#sendWorkloads("dc2 back");
    await this.#checkReusedTicketNumber();
    this.#printTable();
    this.#printMemory();
    await this.#checkBills();
    await this.#stop();
    for (const problem of this.#problems) {
      process.stdout.write(`problem: ${problem}\n`);
    }
    return this.#problems.length === 0;
  }

  /** Records the problem when the condition is false. */
  #check(condition: boolean, problem: string): void {
    if (!condition) this.#problems.push(problem);
  }

  async #callOperator(method: string, path: string, body?: unknown) {
    const { operatorPort: port } = this.#fleet.getMember("entry-a");
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    return await callJson({ port, method, path, headers, body });
  }

  /** Sends the ticket again until it is accepted; an entry may still start. */
  async #applyTicket(ticket: Ticket): Promise<void> {
    const startMs = performance.now();
    for (;;) {
      try {
        const answer = (await this.#callOperator(
          "POST",
          "/tickets",
          ticket,
        )) as { state: string; revision: number };
        const elapsedMs = Math.round(performance.now() - startMs);
        process.stdout.write(
          `ticket ${ticket.number}: ${answer.state}, revision ${answer.revision}, ${elapsedMs} ms\n`,
        );
        if (answer.state === "accepted") return;
      } catch (error) {
        if (performance.now() - startMs > STEP_TIMEOUT_MS) throw error;
      }
      await delay(POLL_INTERVAL_MS);
    }
  }

  /** Waits until every entry sees every endpoint. */
  async #waitUntilReady(): Promise<void> {
    const deadlineMs = performance.now() + STEP_TIMEOUT_MS;
    while (performance.now() < deadlineMs) {
      const reports = await Promise.all(
        ENTRIES.map(({ name }) => this.#readStatus(name)),
      );
      const seesAllEndpoints = reports.every(
        ({ endpoints }) => endpoints.length === ENDPOINTS.length,
      );
      if (seesAllEndpoints) return;
      await delay(POLL_INTERVAL_MS);
    }
    this.#check(false, "endpoints were not ready in time");
  }

  async #readStatus(entry: string) {
    const { operatorPort: port } = this.#fleet.getMember(entry);
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    return (await callJson({
      port,
      method: "GET",
      path: "/status",
      headers,
    })) as { endpoints: unknown[] };
  }

  /** Sends all requests of each workload at once, and adds a row for each. */
  async #sendWorkloads(phase: string): Promise<void> {
    for (const workload of WORKLOADS) {
      const startMs = performance.now();
      const durationsMs: number[] = [];
      const calls = workload.kinds.flatMap((requestKind) =>
        Array.from({ length: REQUESTS_PER_KIND }, async (_, index) => {
          const sentMs = performance.now();
          const outcome = await this.#sendRequest(workload, requestKind, index);
          durationsMs.push(performance.now() - sentMs);
          return outcome;
        }),
      );
      const outcomes = await Promise.all(calls);
      const countOutcomes = (kind: CallerOutcome["kind"]) =>
        outcomes.filter((outcome) => outcome.kind === kind).length;
      const completeAnswers = outcomes.filter(
        (o) => o.kind === "answered" && o.isWhole,
      );
      durationsMs.sort((left, right) => left - right);
      const p95Ms = durationsMs[Math.floor(durationsMs.length * 0.95)] ?? 0;
      this.#resultRows.push([
        `${workload.name}: ${phase}`,
        outcomes.length,
        completeAnswers.length,
        countOutcomes("refused"),
        Math.round(p95Ms),
        Math.round(performance.now() - startMs),
      ]);
      this.#check(
        completeAnswers.length === outcomes.length,
        `${workload.name}, ${phase}: ${JSON.stringify(outcomes.find((o) => o.kind !== "answered" || !o.isWhole))}`,
      );
    }
  }

  #sendRequest(
    workload: Workload,
    requestKind: RequestKind,
    index: number,
  ): Promise<CallerOutcome> {
    const entry = ENTRIES[index % ENTRIES.length]?.name ?? "entry-a";
    const port = this.#fleet.getMember(entry).callerPort;
    const account = workload.accounts[index % workload.accounts.length] ?? "";
    const apiKey = getApiKey(account);
    if (requestKind.kind === "chat") {
      return sendChat({
        port,
        apiKey,
        requestClass: requestKind.name,
        prompt: `${requestKind.name} ${index}`,
        maxTokens: requestKind.maxTokens,
        stream: index % 2 === 0,
      });
    }
    this.#serviceCallCount += 1;
    return sendServiceCall({
      port,
      apiKey,
      service: requestKind.name,
      path: "calls",
      body: { index },
      idempotencyKey: requestKind.idempotent
        ? undefined
        : `demo-${this.#serviceCallCount}`,
    });
  }

  /** An order sent to both entries with one key must get the same answer. */
  async #checkRepeatedOrder(): Promise<void> {
    const outcomes = await Promise.all(
      ENTRIES.map(({ name }) =>
        sendServiceCall({
          port: this.#fleet.getMember(name).callerPort,
          apiKey: getApiKey("installers"),
          service: "order",
          path: "calls",
          body: { pumps: 1 },
          idempotencyKey: "repeated",
        }),
      ),
    );
    const texts = outcomes.map((o) => (o.kind === "answered" ? o.text : ""));
    this.#check(
      texts[0] !== "" && texts[0] === texts[1],
      `the repeated order got ${JSON.stringify(outcomes)}`,
    );
  }

  /** A session must keep its version at each entry, by the session id alone. */
  async #checkSessionVersion(): Promise<void> {
    const versions: string[] = [];
    for (const { name } of [...ENTRIES, ...ENTRIES]) {
      const outcome = await sendChat({
        port: this.#fleet.getMember(name).callerPort,
        apiKey: getApiKey("installers"),
        requestClass: "troubleshooting_chat",
        prompt: "the pump does not start",
        maxTokens: 6,
        stream: false,
        session: "rooftop-7",
      });
      versions.push(outcome.kind === "answered" ? outcome.version : "none");
    }
    this.#check(
      new Set(versions).size === 1 && versions[0] !== "none",
      `the session got versions ${versions.join(", ")}`,
    );
  }

  /**
   * A late ticket with the used number 2, sent after ticket 3, must be refused,
   * so that it can't take a data centre out.
   */
  async #checkReusedTicketNumber(): Promise<void> {
    const conflictingTicket = {
      number: 2,
      dataCentres: [{ name: "dc1", state: "out" }],
    };
    const result = await this.#callOperator(
      "POST",
      "/tickets",
      conflictingTicket,
    ).then(
      () => "accepted",
      (error: unknown) => String(error),
    );
    this.#check(
      result.includes("number-taken"),
      `ticket with a used number: ${result}`,
    );
  }

  /** Calls that the engines and services of a data centre have run so far. */
  async #countCallsRun(dataCentre: string): Promise<number> {
    const specs = ENDPOINTS.filter((spec) => spec.dataCentre === dataCentre);
    const records = await Promise.all(
      specs.map((spec) =>
        this.#fleet.readRecord<{ runs: unknown[] }>(`back-${spec.name}`),
      ),
    );
    return records.reduce((sum, record) => sum + record.runs.length, 0);
  }

  /** Every answered request must have one receipt or one claim in the store. */
  async #checkBills(): Promise<void> {
    await delay(2_000);
    const { writes } = await this.#fleet.readRecord<{
      writes: { key: string; version: number; value: unknown }[];
    }>("store");
    const billedIds: string[] = [];
    for (const { key, version, value } of writes) {
      // Later versions of a claim belong to an order already counted.
      if (version > 1) continue;
      if (key.startsWith("ledger/")) {
        const ledgerPage = value as { receipts?: { requestId: string }[] };
        billedIds.push(...(ledgerPage.receipts ?? []).map((r) => r.requestId));
      }
      if (key.startsWith("claims/")) billedIds.push(key);
    }
    const requestsInTable = this.#resultRows.reduce(
      (sum, row) => sum + row[1],
      0,
    );
    // One bill for the repeated order, and one for each session request.
    const requestsInChecks = 1 + ENTRIES.length * 2;
    this.#check(
      billedIds.length === requestsInTable + requestsInChecks &&
        new Set(billedIds).size === billedIds.length,
      `${billedIds.length} bills for ${requestsInTable + requestsInChecks} requests`,
    );
    process.stdout.write(
      `bills: ${billedIds.length} for ${requestsInTable + requestsInChecks} requests\n`,
    );
  }

  #printTable(): void {
    const header = ["workload", "sent", "whole", "refused", "p95 ms", "ms"];
    process.stdout.write(`\n${formatTable(header, this.#resultRows)}\n\n`);
  }

  #printMemory(): void {
    const rows = this.#fleet.members.map((member) => [
      member.name,
      member.role,
      readResidentMegabytes(member.process?.pid),
    ]);
    const header = ["process", "role", "resident MB"];
    process.stdout.write(`${formatTable(header, rows)}\n\n`);
  }

  async #stop(): Promise<void> {
    for (const member of this.#fleet.members) {
      const status = await member.process?.stop();
      this.#check(
        status?.code === 0,
        `${member.name} ended with ${JSON.stringify(status)}`,
      );
    }
    await this.#fleet.stopAll();
  }
}

function createDataCentreTicket(number: number, state: "in" | "out"): Ticket {
  return { number, dataCentres: [{ name: "dc2", state }] };
}

const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-demo-"));
const fleetAbort = new AbortController();
// Each process and link of the fleet adds a listener; Node warns from 11 on.
setMaxListeners(0, fleetAbort.signal);
const fleet = new Fleet(
  {
    entries: ENTRIES,
    endpoints: ENDPOINTS,
    basePort: BASE_PORT,
    folder,
    seed: 1,
    hostListLagMs: 200,
    ratingOptions: { specificity: 1, sensitivity: 1 },
  },
  fleetAbort.signal,
);
const startMs = performance.now();
const hasPassed = await new Demo(fleet).run().finally(() => fleetAbort.abort());
const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
process.stdout.write(
  `demo ${hasPassed ? "passed" : "failed"} in ${seconds} s\n`,
);
if (hasPassed) rmSync(folder, { recursive: true });
process.exit(hasPassed ? 0 : 1);
