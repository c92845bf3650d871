#!/usr/bin/env node
/** Command-line tool for operators. */

import { readFileSync, writeFileSync } from "node:fs";
import meow from "meow";
import { match, P } from "ts-pattern";
import { formatDocumentFailure, parseSettings } from "../adapters/index.js";
import type {
  DataCentre,
  FleetState,
  ModelVersion,
  Ticket,
} from "../schema/index.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { OperatorClient, type OperatorFailure } from "./operator_client.js";
import { formatStatus, type StatusReport } from "./status_table.js";
import { formatTable } from "./table.js";

const cli = meow(
  `
  Usage
    $ hornbeamrill <command> [options]

  Commands
    ticket apply FILE         apply a numbered change ticket
    ticket status N           say whether ticket N is in force, and where
    drain DATACENTRE          take a data centre out
    restore DATACENTRE        bring a data centre back
    rollout VERSION --share X let at most the share X of requests use a version
    withdraw VERSION          give a version no new work
    status                    endpoints, versions and revisions as an entry sees them
    settings check FILE       check a settings file; nothing is started
    report cost               cost by account and version
    report burn               burn of the service-level objectives

  Options
    --entry URL    operator listener of an entry (or HORNBEAMRILL_ENTRY)
    --token TOKEN  operator token (or HORNBEAMRILL_TOKEN)
    --number N     ticket number of drain, restore, rollout and withdraw;
                   the highest accepted number plus one when absent
    --hours H      time that a report covers (cost: 24, burn: 72)
    --html FILE    write report burn as a page with a chart
    --json         one JSON document instead of a table

  Exit codes
    0 done, 1 refused, 2 wrong usage or settings, 3 unreachable,
    4 outcome unknown: ask with ticket status, or apply the ticket again
`,
  {
    importMeta: import.meta,
    flags: {
      entry: { type: "string" },
      token: { type: "string" },
      number: { type: "number" },
      share: { type: "number" },
      hours: { type: "number" },
      html: { type: "string" },
      json: { type: "boolean", default: false },
    },
  },
);

interface TicketAnswer {
  number: number;
  state: string;
  revision?: number;
  holders?: Record<string, number>;
}

interface ReportAnswer {
  text: string;
  html?: string;
  report: unknown;
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printError(text: string): void {
  process.stderr.write(`hornbeamrill: ${text}\n`);
}

function createClient(): OperatorClient {
  return new OperatorClient({
    entry:
      cli.flags.entry ??
      process.env.HORNBEAMRILL_ENTRY ??
      "http://127.0.0.1:7003",
    token: cli.flags.token ?? process.env.HORNBEAMRILL_TOKEN ?? "",
  });
}

function reportFailure(failure: OperatorFailure): ExitCode {
  if (cli.flags.json) print(JSON.stringify({ failure }));
  return match(failure)
    .with({ kind: "refused" }, (f) => {
      printError(`${f.code}: ${f.detail}`);
      return EXIT_CODES.refused;
    })
    .with({ kind: "unreachable" }, (f) => {
      printError(`Cannot reach the entry: ${f.detail}`);
      return EXIT_CODES.unreachable;
    })
    .with({ kind: "outcome-unknown" }, (f) => {
      printError(`Outcome unknown: ${f.detail}`);
      return EXIT_CODES.unknownOutcome;
    })
    .exhaustive();
}

function reportUsage(detail: string): ExitCode {
  printError(`${detail}; see hornbeamrill --help`);
  return EXIT_CODES.usage;
}

function printTicketAnswer(answer: TicketAnswer): void {
  if (cli.flags.json) {
    print(JSON.stringify(answer));
    return;
  }
  print(
    formatTable(
      ["ticket", "state", "revision"],
      [[answer.number, answer.state, answer.revision ?? "-"]],
    ),
  );
  const holders = Object.entries(answer.holders ?? {});
  if (holders.length === 0) return;
  print("");
  print(formatTable(["process", "revision"], holders));
}

async function sendTicket(text: string): Promise<ExitCode> {
  const answer = await createClient().post<TicketAnswer>("/tickets", text);
  if (answer.isErr()) return reportFailure(answer.error);
  printTicketAnswer(answer.value);
  return EXIT_CODES.done;
}

async function applyTicketFile(file: string): Promise<ExitCode> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return reportUsage(`Cannot read ticket file "${file}": ${String(error)}`);
  }
  return await sendTicket(text);
}

async function showTicket(number: string): Promise<ExitCode> {
  if (!/^\d+$/.test(number)) {
    return reportUsage(`Ticket number "${number}" is not a whole number`);
  }
  const answer = await createClient().get<TicketAnswer>(`/tickets/${number}`);
  if (answer.isErr()) return reportFailure(answer.error);
  printTicketAnswer(answer.value);
  return EXIT_CODES.done;
}

function getNextNumber(state: FleetState): number {
  return 1 + Math.max(0, ...Object.values(state.subjects));
}

/** Builds a ticket from the state in force and applies it. */
async function changeState(
  createChange: (state: FleetState) => Omit<Ticket, "number"> | undefined,
  missing: string,
): Promise<ExitCode> {
  const state = await createClient().get<FleetState>("/state");
  if (state.isErr()) return reportFailure(state.error);
  const change = createChange(state.value);
  if (change === undefined) return reportUsage(missing);
  const number = cli.flags.number ?? getNextNumber(state.value);
  return await sendTicket(JSON.stringify({ number, ...change }));
}

async function setDataCentre(
  name: string,
  state: DataCentre["state"],
): Promise<ExitCode> {
  return await changeState(
    (current) =>
      name in current.dataCentres
        ? { dataCentres: [{ name, state }] }
        : undefined,
    `Data centre "${name}" is not known`,
  );
}

async function setRollout(version: string): Promise<ExitCode> {
  const { share } = cli.flags;
  if (share === undefined || !(share >= 0 && share <= 1)) {
    return reportUsage("Option --share needs a number from 0 to 1");
  }
  return await changeState(
    (state) =>
      version in state.versions
        ? { rollouts: [{ version, share }] }
        : undefined,
    `Version "${version}" is not known`,
  );
}

async function withdrawVersion(name: string): Promise<ExitCode> {
  return await changeState((state) => {
    const version: ModelVersion | undefined = state.versions[name];
    return version && { versions: [{ ...version, state: "withdrawn" }] };
  }, `Version "${name}" is not known`);
}

async function showStatus(): Promise<ExitCode> {
  const answer = await createClient().get<StatusReport>("/status");
  if (answer.isErr()) return reportFailure(answer.error);
  print(
    cli.flags.json ? JSON.stringify(answer.value) : formatStatus(answer.value),
  );
  return EXIT_CODES.done;
}

function checkSettingsFile(file: string): ExitCode {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return reportUsage(`Cannot read settings file "${file}": ${String(error)}`);
  }
  const settings = parseSettings(text, file);
  if (settings.isOk()) {
    print(cli.flags.json ? JSON.stringify({ ok: true }) : `${file}: ok`);
    return EXIT_CODES.done;
  }
  if (cli.flags.json) print(JSON.stringify({ failure: settings.error }));
  else printError(formatDocumentFailure(settings.error));
  return EXIT_CODES.usage;
}

async function showReport(
  kind: "cost" | "burn",
  defaultHours: number,
): Promise<ExitCode> {
  const hours = cli.flags.hours ?? defaultHours;
  const answer = await createClient().get<ReportAnswer>(
    `/reports/${kind}?hours=${hours}`,
  );
  if (answer.isErr()) return reportFailure(answer.error);
  const { text, html, report } = answer.value;
  if (cli.flags.html !== undefined) {
    if (html === undefined) return reportUsage(`Report ${kind} has no page`);
    writeFileSync(cli.flags.html, html);
  }
  print(cli.flags.json ? JSON.stringify(report) : text);
  return EXIT_CODES.done;
}

async function runCommand(): Promise<ExitCode> {
  return await match(cli.input)
    .with(["ticket", "apply", P.string], ([, , file]) => applyTicketFile(file))
    .with(["ticket", "status", P.string], ([, , number]) => showTicket(number))
    .with(["drain", P.string], ([, name]) => setDataCentre(name, "out"))
    .with(["restore", P.string], ([, name]) => setDataCentre(name, "in"))
    .with(["rollout", P.string], ([, version]) => setRollout(version))
    .with(["withdraw", P.string], ([, version]) => withdrawVersion(version))
    .with(["status"], () => showStatus())
    .with(["settings", "check", P.string], ([, , file]) =>
      Promise.resolve(checkSettingsFile(file)),
    )
    .with(["report", "cost"], () => showReport("cost", 24))
    .with(["report", "burn"], () => showReport("burn", 72))
    .otherwise((input) =>
      Promise.resolve(reportUsage(`Unknown command "${input.join(" ")}"`)),
    );
}

process.exitCode = await runCommand();
