/** Commands that only read: status, reports and the check of settings. */

import { readFileSync, writeFileSync } from "node:fs";
import { extname } from "node:path";
import type { Result } from "neverthrow";
import { formatDocumentFailure, parseSettings } from "../adapters/documents.js";
import { decodeSettings } from "../platform/settings.js";
import {
  type CommandContext,
  print,
  printError,
  reportFailure,
  reportUsage,
} from "./context.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { formatStatus, type StatusReport } from "./status_table.js";

interface ReportAnswer {
  readonly text: string;
  readonly html?: string;
  readonly report: unknown;
}

export async function showStatus(context: CommandContext): Promise<ExitCode> {
  const answer = await context.client.get<StatusReport>("/status");
  if (answer.isErr()) return reportFailure(answer.error, context);
  const { value } = answer;
  print(context.flags.json ? JSON.stringify(value) : formatStatus(value));
  return EXIT_CODES.done;
}

export function checkSettingsFile(
  file: string,
  { flags }: CommandContext,
): ExitCode {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    return reportUsage(`Cannot read settings file "${file}": ${String(error)}`);
  }
  const checked = checkSettingsText(file, text);
  if (checked.isOk()) {
    print(flags.json ? JSON.stringify({ ok: true }) : `${file}: ok`);
    return EXIT_CODES.done;
  }
  const { failure, message } = checked.error;
  if (flags.json) print(JSON.stringify({ failure }));
  printError(message);
  return EXIT_CODES.usage;
}

/** Settings that the platform writes are TOML, the own ones JSON. */
const PLATFORM_EXTENSION = ".toml";

function checkSettingsText(
  file: string,
  text: string,
): Result<unknown, { readonly failure: unknown; readonly message: string }> {
  if (extname(file) === PLATFORM_EXTENSION) {
    return decodeSettings(text).mapErr((failure) => ({
      failure,
      message: `${file}: ${failure.detail}`,
    }));
  }
  return parseSettings(text, file).mapErr((failure) => ({
    failure,
    message: formatDocumentFailure(failure),
  }));
}

export async function showCostReport(
  context: CommandContext,
): Promise<ExitCode> {
  if (context.flags.html !== undefined) {
    return reportUsage("Option --html goes with report burn only");
  }
  return await showReport("cost", 24, context);
}

export async function showBurnReport(
  context: CommandContext,
): Promise<ExitCode> {
  return await showReport("burn", 72, context);
}

async function showReport(
  kind: "cost" | "burn",
  defaultHours: number,
  context: CommandContext,
): Promise<ExitCode> {
  const { hours = defaultHours, html: file, json } = context.flags;
  const path = `/reports/${kind}?hours=${hours}`;
  const answer = await context.client.get<ReportAnswer>(path);
  if (answer.isErr()) return reportFailure(answer.error, context);
  const { text, html, report } = answer.value;
  if (file !== undefined && html !== undefined) {
    try {
      writeFileSync(file, html);
    } catch (error) {
      return reportUsage(`Cannot write file "${file}": ${String(error)}`);
    }
  }
  print(json ? JSON.stringify(report) : text);
  return EXIT_CODES.done;
}
