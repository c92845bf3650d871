/** Commands that apply change tickets or show their status. */

import { readFileSync } from "node:fs";
import { formatDocumentFailure, parseTicket } from "../adapters/documents.js";
import type { DataCentre, FleetState, Ticket } from "../schema/index.js";
import {
  type CommandContext,
  print,
  printError,
  reportFailure,
  reportUsage,
} from "./command_context.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { formatTable } from "./format_table.js";

interface TicketAnswer {
  readonly number: number;
  readonly state: string;
  readonly revision?: number;
  /** Revision of the configuration that each process holds. */
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
  const holderRevisions = Object.entries(answer.holders ?? {});
  if (holderRevisions.length === 0) return;
  print(`\n${formatTable(["process", "revision"], holderRevisions)}`);
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
    `Ticket ${number} is committed, but not yet confirmed by enough watchers; check with ticket status ${number}`,
  );
  return EXIT_CODES.unknownOutcome;
}

/** Checks the file before sending, to report faults with file and line. */
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

export async function showTicketStatus(
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

function getNextTicketNumber(state: FleetState): number {
  return 1 + Math.max(0, ...Object.values(state.subjects));
}

/**
 * Applies a ticket that is created from the current configuration. Prints the
 * message when the configuration lacks what the ticket would change.
 */
async function applyStateChange(
  createTicketContent: (
    state: FleetState,
  ) => Omit<Ticket, "number"> | undefined,
  notFoundMessage: string,
  context: CommandContext,
): Promise<ExitCode> {
  const answer = await context.client.get<FleetState>("/state");
  if (answer.isErr()) return reportFailure(answer.error, context);
  const content = createTicketContent(answer.value);
  if (content === undefined) return reportUsage(notFoundMessage);
  const number = context.flags.number ?? getNextTicketNumber(answer.value);
  return await sendTicket(JSON.stringify({ number, ...content }), context);
}

export async function setDataCentreState(
  name: string,
  state: DataCentre["state"],
  context: CommandContext,
): Promise<ExitCode> {
  const createTicketContent = ({ dataCentres }: FleetState) =>
    Object.hasOwn(dataCentres, name)
      ? { dataCentres: [{ name, state }] }
      : undefined;
  const notFoundMessage = `Data centre "${name}" is not known`;
  return await applyStateChange(createTicketContent, notFoundMessage, context);
}

export async function setRolloutShare(
  version: string,
  context: CommandContext,
): Promise<ExitCode> {
  const { share } = context.flags;
  if (share === undefined || share < 0 || share > 1) {
    return reportUsage("Option --share needs a number from 0 to 1");
  }
  const createTicketContent = ({ versions }: FleetState) =>
    Object.hasOwn(versions, version)
      ? { rollouts: [{ version, share }] }
      : undefined;
  const notFoundMessage = `Version "${version}" is not known`;
  return await applyStateChange(createTicketContent, notFoundMessage, context);
}

export async function setVersionWithdrawn(
  name: string,
  context: CommandContext,
): Promise<ExitCode> {
  const createTicketContent = ({ versions }: FleetState) => {
    const version = Object.hasOwn(versions, name) ? versions[name] : undefined;
    return (
      version && { versions: [{ ...version, state: "withdrawn" as const }] }
    );
  };
  const notFoundMessage = `Version "${name}" is not known`;
  return await applyStateChange(createTicketContent, notFoundMessage, context);
}
