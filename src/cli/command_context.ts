/** Context that each command gets, and the output that commands share. */

import { match } from "ts-pattern";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import type { OperatorClient, OperatorFailure } from "./operator_client.js";

/** Values of the options; `hornbeamrill --help` explains them. */
export interface CommandFlags {
  readonly number?: number;
  readonly share?: number;
  readonly hours?: number;
  readonly html?: string;
  readonly host?: string;
  readonly path?: string;
  readonly method?: string;
  readonly key?: string;
  readonly session?: string;
  readonly promptTokens?: number;
  readonly parts?: string;
  readonly model?: string;
  readonly deadlineMs?: number;
  readonly json: boolean;
}

export interface CommandContext {
  readonly flags: CommandFlags;
  readonly client: OperatorClient;
}

export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

export function printError(text: string): void {
  process.stderr.write(`hornbeamrill: ${text}\n`);
}

/** Prints a fault in the arguments or in a file that the user named. */
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
    .with({ kind: "refused" }, (refused) => {
      printError(`${refused.code}: ${refused.detail}`);
      return EXIT_CODES.refused;
    })
    .with({ kind: "unreachable" }, (unreachable) => {
      printError(`Cannot reach the entry: ${unreachable.detail}`);
      return EXIT_CODES.unreachable;
    })
    .with({ kind: "outcome-unknown" }, (unknown) => {
      printError(`Outcome unknown: ${unknown.detail}`);
      return EXIT_CODES.unknownOutcome;
    })
    .exhaustive();
}
