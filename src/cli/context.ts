/** What the commands share: flags, the operator API and their output. */

import { match } from "ts-pattern";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import type { OperatorClient, OperatorFailure } from "./operator_client.js";

export interface Flags {
  readonly number?: number;
  readonly share?: number;
  readonly hours?: number;
  readonly html?: string;
  readonly json: boolean;
}

export interface CommandContext {
  readonly flags: Flags;
  readonly client: OperatorClient;
}

export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function printError(text: string): void {
  process.stderr.write(`hornbeamrill: ${text}\n`);
}

export function reportUsage(detail: string): ExitCode {
  printError(`${detail}; see hornbeamrill --help`);
  return EXIT_CODES.usage;
}

export function reportFailure(
  failure: OperatorFailure,
  { flags }: CommandContext,
): ExitCode {
  if (flags.json) print(JSON.stringify({ failure }));
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
