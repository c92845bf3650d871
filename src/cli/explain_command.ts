/** Shows where an entry of the platform would route a request, and why. */

import { err, ok, type Result } from "neverthrow";
import {
  type CommandContext,
  type CommandFlags,
  print,
  reportFailure,
  reportUsage,
} from "./command_context.js";
import { EXIT_CODES, type ExitCode } from "./exit_codes.js";
import { formatExplanation, isExplanation } from "./explanation_report.js";

/** HTTP path on the control address of an entry. */
const EXPLAIN_PATH = "/explain";

interface Part {
  readonly id: string;
  readonly tokens: number;
}

export async function showExplanation(
  context: CommandContext,
): Promise<ExitCode> {
  const query = createQuery(context.flags);
  if (query.isErr()) return reportUsage(query.error);
  const body = JSON.stringify(query.value);
  const answer = await context.client.query<unknown>(EXPLAIN_PATH, body);
  if (answer.isErr()) return reportFailure(answer.error, context);
  const { value } = answer;
  if (!isExplanation(value)) {
    const { code, detail } = (value ?? {}) as Record<string, unknown>;
    const failure = {
      kind: "refused",
      status: 200,
      code: String(code ?? "unreadable-answer"),
      detail: String(detail ?? "The answer is no explanation"),
    } as const;
    return reportFailure(failure, context);
  }
  print(context.flags.json ? JSON.stringify(value) : formatExplanation(value));
  return EXIT_CODES.done;
}

/** The body of the call, or what is wrong with the options. */
function createQuery(flags: CommandFlags): Result<object, string> {
  const { host, path, method, key, session, model, deadlineMs } = flags;
  if (!host) return err("Option --host is missing");
  if (!path?.startsWith("/")) {
    return err('Option --path is missing or does not begin with "/"');
  }
  const counts = {
    "prompt-tokens": flags.promptTokens,
    "deadline-ms": deadlineMs,
  };
  for (const [name, value] of Object.entries(counts)) {
    if (value === undefined || (Number.isSafeInteger(value) && value >= 0)) {
      continue;
    }
    return err(
      `Option --${name} is "${value}", expected a whole number from 0`,
    );
  }
  return parseParts(flags.parts).map((parts) => {
    const sum = parts.reduce((tokens, part) => tokens + part.tokens, 0);
    const promptTokens = flags.promptTokens ?? sum;
    const common = { method, host, path, key, session, model, deadlineMs };
    return { ...common, promptTokens, parts };
  });
}

function parseParts(text: string | undefined): Result<Part[], string> {
  const parts: Part[] = [];
  for (const item of text?.split(",") ?? []) {
    const [, id, tokens] = /^([^:\s]+):(\d{1,15})$/.exec(item.trim()) ?? [];
    if (id === undefined || tokens === undefined) {
      return err(`Option --parts has "${item}", expected ID:TOKENS`);
    }
    parts.push({ id, tokens: Number(tokens) });
  }
  return ok(parts);
}
