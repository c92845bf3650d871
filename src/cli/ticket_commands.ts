/** Commands that apply tickets or tell their status. */

import { readFileSync } from "node:fs";
import { formatDocumentFailure, parseTicket } from "../adapters/documents.js";
import type { DataCentre, FleetState, Ticket } from "../schema/index.js";
import {
  type CommandContext,
  print,
  printError,
  reportFailure,
  reportUsage,
} from "./context.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { formatTable } from "./table.js";

interface TicketAnswer {
  readonly number: number;
  readonly state: string;
  readonly revision?: number;
  readonly holders?: Readonly<Record<string, number>>;
}

function printTicketAnswer(
  answer: TicketAnswer,
  { flags }: CommandContext,
): void {
  if (flags.json) {
    print(JSON.stringify(answer));
    return;
  }
  const { number, state, revision = "-" } = answer;
  const header = ["ticket", "state", "revision"];
  print(formatTable(header, [[number, state, revision]]));
  const holders = Object.entries(answer.holders ?? {});
  if (holders.length === 0) return;
  print(`\n${formatTable(["process", "revision"], holders)}`);
}

async function sendTicket(
  text: string,
  context: CommandContext,
): Promise<ExitCode> {
  const answer = await context.client.post<TicketAnswer>("/tickets", text);
  if (answer.isErr()) return reportFailure(answer.error, context);
  printTicketAnswer(answer.value, context);
  const { number, state } = answer.value;
  if (state !== "spreading") return EXIT_CODES.done;
  printError(
    `Ticket ${number} is committed, but too few watchers have confirmed it; ask with ticket status ${number}`,
  );
  return EXIT_CODES.unknownOutcome;
}

/** Checks the file here too, so that its faults are named with their lines. */
export async function applyTicketFile(
  file: string,
  context: CommandContext,
): Promise<ExitCode> {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return reportUsage(`Cannot read ticket file "${file}": ${String(error)}`);
  }
  const ticket = parseTicket(text, file);
  if (ticket.isOk()) return await sendTicket(text, context);
  if (context.flags.json) print(JSON.stringify({ failure: ticket.error }));
  printError(formatDocumentFailure(ticket.error));
  return EXIT_CODES.usage;
}

export async function showTicket(
  number: string,
  context: CommandContext,
): Promise<ExitCode> {
  if (!/^[1-9]\d*$/.test(number)) {
    return reportUsage(
      `Ticket number "${number}" is not a whole number from 1`,
    );
  }
  const path = `/tickets/${number}`;
  const answer = await context.client.get<TicketAnswer>(path);
  if (answer.isErr()) return reportFailure(answer.error, context);
  printTicketAnswer(answer.value, context);
  return EXIT_CODES.done;
}

function getNextNumber(state: FleetState): number {
  return 1 + Math.max(0, ...Object.values(state.subjects));
}

/** Builds a ticket from the state in force and applies it. */
async function changeState(
  createChange: (state: FleetState) => Omit<Ticket, "number"> | undefined,
  missing: string,
  context: CommandContext,
): Promise<ExitCode> {
  const state = await context.client.get<FleetState>("/state");
  if (state.isErr()) return reportFailure(state.error, context);
  const change = createChange(state.value);
  if (change === undefined) return reportUsage(missing);
  const number = context.flags.number ?? getNextNumber(state.value);
  return await sendTicket(JSON.stringify({ number, ...change }), context);
}

export async function setDataCentre(
  name: string,
  state: DataCentre["state"],
  context: CommandContext,
): Promise<ExitCode> {
  const createChange = ({ dataCentres }: FleetState) =>
    Object.hasOwn(dataCentres, name)
      ? { dataCentres: [{ name, state }] }
      : undefined;
  const missing = `Data centre "${name}" is not known`;
  return await changeState(createChange, missing, context);
}

export async function setRollout(
  version: string,
  context: CommandContext,
): Promise<ExitCode> {
  const { share } = context.flags;
  if (share === undefined || share < 0 || share > 1) {
    return reportUsage("Option --share needs a number from 0 to 1");
  }
  const createChange = ({ versions }: FleetState) =>
    Object.hasOwn(versions, version)
      ? { rollouts: [{ version, share }] }
      : undefined;
  const missing = `Version "${version}" is not known`;
  return await changeState(createChange, missing, context);
}

export async function setVersionWithdrawn(
  name: string,
  context: CommandContext,
): Promise<ExitCode> {
  const createChange = ({ versions }: FleetState) => {
    const version = Object.hasOwn(versions, name) ? versions[name] : undefined;
    return (
      version && { versions: [{ ...version, state: "withdrawn" as const }] }
    );
  };
  const missing = `Version "${name}" is not known`;
  return await changeState(createChange, missing, context);
}
