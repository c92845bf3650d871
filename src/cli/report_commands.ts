/** Commands that change nothing: status, reports and the settings check. */

import { readFileSync, writeFileSync } from "node:fs";
import { extname } from "node:path";
import type { Result } from "neverthrow";
import { formatDocumentFailure, parseSettings } from "../adapters/documents.js";
import { decodeSettings } from "../platform/entry_settings.js";
import {
  type CommandContext,
  print,
  printError,
  reportFailure,
  reportUsage,
} from "./command_context.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { formatStatusReport, type StatusReport } from "./status_report.js";

interface ReportAnswer {
  readonly text: string;
  /** Page with a chart; only the burn report has one. */
  readonly html?: string;
  readonly report: unknown;
}

export async function showStatus(context: CommandContext): Promise<ExitCode> {
  const answer = await context.client.get<StatusReport>("/status");
  if (answer.isErr()) return reportFailure(answer.error, context);
  const { value: report } = answer;
  print(
    context.flags.json ? JSON.stringify(report) : formatStatusReport(report),
  );
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
  const checkResult = checkSettingsText(file, text);
  if (checkResult.isOk()) {
    print(flags.json ? JSON.stringify({ ok: true }) : `${file}: ok`);
    return EXIT_CODES.done;
  }
  const { failure, message } = checkResult.error;
  if (flags.json) print(JSON.stringify({ failure }));
  printError(message);
  return EXIT_CODES.usage;
}

/** The platform writes settings in TOML; the product's own are in JSON. */
const PLATFORM_SETTINGS_EXTENSION = ".toml";

function checkSettingsText(
  file: string,
  text: string,
): Result<unknown, { readonly failure: unknown; readonly message: string }> {
  if (extname(file) === PLATFORM_SETTINGS_EXTENSION) {
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
    return reportUsage("Option --html is only for report burn");
  }
  return await showReport("cost", 24, context);
}

export async function showBurnReport(
  context: CommandContext,
): Promise<ExitCode> {
  return await showReport("burn", 72, context);
}

async function showReport(
  reportKind: "cost" | "burn",
  defaultHours: number,
  context: CommandContext,
): Promise<ExitCode> {
  const { hours = defaultHours, html: htmlFile, json } = context.flags;
  const path = `/reports/${reportKind}?hours=${hours}`;
  const answer = await context.client.get<ReportAnswer>(path);
  if (answer.isErr()) return reportFailure(answer.error, context);
  const { text, html, report } = answer.value;
  if (htmlFile !== undefined && html !== undefined) {
    try {
      writeFileSync(htmlFile, html);
    } catch (error) {
      return reportUsage(`Cannot write file "${htmlFile}": ${String(error)}`);
    }
  }
  print(json ? JSON.stringify(report) : text);
  return EXIT_CODES.done;
}
