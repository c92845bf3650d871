/**
 * The demo: both workloads through separate processes, change tickets, a data
 * centre taken out and brought back, and a graceful stop. Prints a table.
 */

import { setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { formatTable } from "../cli/table.js";
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
const READY_TIMEOUT_MS = 15_000;
const POLL_MS = 100;
/** The users' bound for a data centre that operators take out. */
const DRAIN_MS = 2_000;

const WORKLOADS: readonly Workload[] = [YUSHAN, IKENNA];

const ENGINE = {
  kind: "engine",
  versions: ["small-1", "medium-1", "large-1"],
  slots: 8,
  slotsWhileCold: 2,
  options: { coldStartMs: 500 },
} as const;

const SERVICE = {
  kind: "service",
  services: listServices(WORKLOADS),
  slots: 8,
  slotsWhileCold: 2,
} as const;

const ENDPOINTS: readonly EndpointSpec[] = [
  { ...ENGINE, name: "engine-a", dataCentre: "dc1" },
  { ...ENGINE, name: "engine-b", dataCentre: "dc2" },
  { ...SERVICE, name: "service-a", dataCentre: "dc1" },
  { ...SERVICE, name: "service-b", dataCentre: "dc2" },
];

const ENTRIES = [
  { name: "entry-a", dataCentre: "dc1" },
  { name: "entry-b", dataCentre: "dc2" },
] as const;

type DemoRow = [string, number, number, number, number, number];

class Demo {
  readonly #fleet: Fleet;
  readonly #rows: DemoRow[] = [];
  readonly #problems: string[] = [];
  #orders = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  async run(): Promise<boolean> {
    await this.#fleet.start();
    await this.#applyTicket(createSetupTicket(1, WORKLOADS, ["dc1", "dc2"]));
    await this.#waitUntilReady();
    await this.#sendAll("all data centres in");
    await this.#checkRepeatedOrder();
    await this.#checkSession();
    await this.#applyTicket(createDrain(2, "out"));
    await delay(DRAIN_MS);
    const before = await this.#countRuns("dc2");
    await this.#sendAll("dc2 out");
    const after = await this.#countRuns("dc2");
    this.#check(after === before, `dc2 got ${after - before} calls while out`);
    await this.#applyTicket(createDrain(3, "in"));
    await this.#waitUntilReady();
    await this.#sendAll("dc2 back");
    await this.#checkLateTicket();
    this.#printTable();
    this.#printMemory();
    await this.#checkBills();
    await this.#stop();
    for (const problem of this.#problems) {
      process.stdout.write(`problem: ${problem}\n`);
    }
    return this.#problems.length === 0;
  }

  #check(condition: boolean, problem: string): void {
    if (!condition) this.#problems.push(problem);
  }

  async #callOperator(method: string, path: string, body?: unknown) {
    const { operatorPort: port } = this.#fleet.getMember("entry-a");
    const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
    return await callJson({ port, method, path, headers, body });
  }

  async #applyTicket(ticket: Ticket): Promise<void> {
    const startMs = performance.now();
    for (;;) {
      try {
        const answer = (await this.#callOperator(
          "POST",
          "/tickets",
          ticket,
        )) as { state: string; revision: number };
        const ms = Math.round(performance.now() - startMs);
        process.stdout.write(
          `ticket ${ticket.number}: ${answer.state}, revision ${answer.revision}, ${ms} ms\n`,
        );
        if (answer.state === "accepted") return;
      } catch (error) {
        if (performance.now() - startMs > READY_TIMEOUT_MS) throw error;
      }
      await delay(POLL_MS);
    }
  }

  /** Waits until every entry sees every endpoint. */
  async #waitUntilReady(): Promise<void> {
    const limitMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < limitMs) {
      const reports = await Promise.all(
        ENTRIES.map(({ name }) => this.#readStatus(name)),
      );
      const isReady = reports.every(
        ({ endpoints }) => endpoints.length === ENDPOINTS.length,
      );
      if (isReady) return;
      await delay(POLL_MS);
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

  async #sendAll(phase: string): Promise<void> {
    for (const workload of WORKLOADS) {
      const startMs = performance.now();
      const times: number[] = [];
      const calls = workload.kinds.flatMap((kind) =>
        Array.from({ length: REQUESTS_PER_KIND }, async (_, index) => {
          const sentMs = performance.now();
          const outcome = await this.#send(workload, kind, index);
          times.push(performance.now() - sentMs);
          return outcome;
        }),
      );
      const outcomes = await Promise.all(calls);
      const count = (kind: CallerOutcome["kind"]) =>
        outcomes.filter((outcome) => outcome.kind === kind).length;
      const whole = outcomes.filter((o) => o.kind === "answered" && o.isWhole);
      times.sort((left, right) => left - right);
      const p95 = times[Math.floor(times.length * 0.95)] ?? 0;
      this.#rows.push([
        `${workload.name}: ${phase}`,
        outcomes.length,
        whole.length,
        count("refused"),
        Math.round(p95),
        Math.round(performance.now() - startMs),
      ]);
      this.#check(
        whole.length === outcomes.length,
        `${workload.name}, ${phase}: ${JSON.stringify(outcomes.find((o) => o.kind !== "answered" || !o.isWhole))}`,
      );
    }
  }

  #send(
    workload: Workload,
    kind: RequestKind,
    index: number,
  ): Promise<CallerOutcome> {
    const entry = ENTRIES[index % ENTRIES.length]?.name ?? "entry-a";
    const port = this.#fleet.getMember(entry).callerPort;
    const account = workload.accounts[index % workload.accounts.length] ?? "";
    const apiKey = getApiKey(account);
    if (kind.kind === "chat") {
      return sendChat({
        port,
        apiKey,
        requestClass: kind.name,
        prompt: `${kind.name} ${index}`,
        maxTokens: kind.maxTokens,
        stream: index % 2 === 0,
      });
    }
    this.#orders += 1;
    return sendServiceCall({
      port,
      apiKey,
      service: kind.name,
      path: "calls",
      body: { index },
      idempotencyKey: kind.idempotent ? undefined : `demo-${this.#orders}`,
    });
  }

  /** An order repeated at the other entry runs once and gets one answer. */
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

  /** A session keeps its version at the other entry, with the id alone. */
  async #checkSession(): Promise<void> {
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

  /** Ticket 2 again, after ticket 3, must not take the data centre out. */
  async #checkLateTicket(): Promise<void> {
    const late = { number: 2, dataCentres: [{ name: "dc1", state: "out" }] };
    const refusal = await this.#callOperator("POST", "/tickets", late).then(
      () => "accepted",
      (error: unknown) => String(error),
    );
    this.#check(refusal.includes("number-taken"), `late ticket: ${refusal}`);
  }

  async #countRuns(dataCentre: string): Promise<number> {
    const specs = ENDPOINTS.filter((spec) => spec.dataCentre === dataCentre);
    const records = await Promise.all(
      specs.map((spec) =>
        this.#fleet.readRecord<{ runs: unknown[] }>(`back-${spec.name}`),
      ),
    );
    return records.reduce((sum, record) => sum + record.runs.length, 0);
  }

  /** Every answered request has one receipt or one claim in the store. */
  async #checkBills(): Promise<void> {
    await delay(2_000);
    const { writes } = await this.#fleet.readRecord<{
      writes: { key: string; version: number; value: unknown }[];
    }>("store");
    const ids: string[] = [];
    for (const { key, version, value } of writes) {
      // Later versions of a claim belong to the same order.
      if (version > 1) continue;
      if (key.startsWith("ledger/")) {
        const page = value as { receipts?: { requestId: string }[] };
        ids.push(...(page.receipts ?? []).map((r) => r.requestId));
      }
      if (key.startsWith("claims/")) ids.push(key);
    }
    const sent = this.#rows.reduce((sum, row) => sum + row[1], 0);
    const extra = 1 + ENTRIES.length * 2;
    this.#check(
      ids.length === sent + extra && new Set(ids).size === ids.length,
      `${ids.length} bills for ${sent + extra} requests`,
    );
    process.stdout.write(`bills: ${ids.length} for ${sent + extra} requests\n`);
  }

  #printTable(): void {
    const header = ["workload", "sent", "whole", "refused", "p95 ms", "ms"];
    process.stdout.write(`\n${formatTable(header, this.#rows)}\n\n`);
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

function createDrain(number: number, state: "in" | "out"): Ticket {
  return { number, dataCentres: [{ name: "dc2", state }] };
}

const folder = mkdtempSync(join(tmpdir(), "hornbeamrill-demo-"));
const lifetime = new AbortController();
// Every process and link of the fleet listens to it.
setMaxListeners(0, lifetime.signal);
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
  lifetime.signal,
);
const startMs = performance.now();
const isGood = await new Demo(fleet).run().finally(() => lifetime.abort());
const seconds = ((performance.now() - startMs) / 1_000).toFixed(1);
process.stdout.write(`demo ${isGood ? "passed" : "failed"} in ${seconds} s\n`);
if (isGood) rmSync(folder, { recursive: true });
process.exit(isGood ? 0 : 1);
