#!/usr/bin/env node
/** Command-line tool for operators. */

import meow from "meow";
import { match, P } from "ts-pattern";
import { parseAddress } from "../platform/parse_address.js";
import { type CommandContext, reportUsage } from "./command_context.js";
import type { ExitCode } from "./exit_codes.js";
import { showExplanation } from "./explain_command.js";
import { OperatorClient } from "./operator_client.js";
import {
  checkSettingsFile,
  showBurnReport,
  showCostReport,
  showStatus,
} from "./report_commands.js";
import {
  applyTicketFile,
  setDataCentreState,
  setRolloutShare,
  setVersionWithdrawn,
  showTicketStatus,
} from "./ticket_commands.js";

const cli = meow(
  `
  Usage
    $ hornbeamrill <command> [options]

  Commands
    ticket apply FILE         apply a numbered change ticket
    ticket status N           show the state of ticket N, and the revision that
                              each process holds
    drain DATACENTRE          take a data centre out: it gets no new requests
    restore DATACENTRE        bring a data centre back in
    rollout VERSION --share X send at most the share X (0 to 1) of the requests
                              to a version
    withdraw VERSION          send no new requests to a version
    status                    endpoints, versions and revisions as an entry sees them
    settings check FILE       check a settings file, in JSON or in the TOML of the
                              platform (.toml); nothing is started
    report cost               cost by account and version
    report burn               burn rates of the service-level objectives
    explain --host HOST --path PATH
                              where an entry of the platform would send a
                              request now, and why; nothing is sent

  Options
    --entry URL    operator listener of an entry (or HORNBEAMRILL_ENTRY); for
                   explain the control address, as ADDRESS:PORT
    --token TOKEN  operator token (or HORNBEAMRILL_TOKEN)
    --number N     ticket number for drain, restore, rollout and withdraw
                   (default: the highest accepted number plus one)
    --hours H      hours that a report covers (default: cost 24, burn 72)
    --html FILE    also write report burn to FILE, as a page with a chart
    --json         one JSON document instead of a table

  Options of explain, beside --host and --path
    --method M         method of the request (default: GET)
    --key K            API key of the caller
    --session S        session of the request
    --prompt-tokens N  tokens of the prompt (default: the sum of its parts)
    --parts ID:TOKENS,...
                       parts of the prompt, in their order
    --model M          model that the caller names
    --deadline-ms N    time for which the caller waits

  Exit codes
    0 done, 1 refused, 2 wrong usage or settings, 3 unreachable,
    4 outcome unknown, or the ticket is not yet confirmed: check with ticket
    status, or apply the ticket again
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      entry: { type: "string" },
      token: { type: "string" },
      number: { type: "number" },
      share: { type: "number" },
      hours: { type: "number" },
      html: { type: "string" },
      host: { type: "string" },
      path: { type: "string" },
      method: { type: "string" },
      key: { type: "string" },
      session: { type: "string" },
      promptTokens: { type: "number" },
      parts: { type: "string" },
      model: { type: "string" },
      deadlineMs: { type: "number" },
      json: { type: "boolean", default: false },
    },
  },
);

const DEFAULT_ENTRY_URL = "http://127.0.0.1:7003";

const { flags, input } = cli;
const entryText =
  flags.entry ?? process.env.HORNBEAMRILL_ENTRY ?? DEFAULT_ENTRY_URL;
const entryUrl =
  parseAddress(entryText) === undefined ? entryText : `http://${entryText}`;

/** Describes the first option with an invalid value. */
function findOptionProblem(): string | undefined {
  const { number, share, hours, promptTokens, deadlineMs } = flags;
  const numbers = {
    number,
    share,
    hours,
    "prompt-tokens": promptTokens,
    "deadline-ms": deadlineMs,
  };
  for (const [name, value] of Object.entries(numbers)) {
    if (value !== undefined && !Number.isFinite(value)) {
      return `Option --${name} is not a number`;
    }
  }
  if (number !== undefined && !(Number.isSafeInteger(number) && number > 0)) {
    return `Option --number is "${number}", expected a whole number from 1`;
  }
  return URL.canParse(entryUrl) && new URL(entryUrl).protocol === "http:"
    ? undefined
    : `Option --entry is "${entryUrl}", expected a URL such as ${DEFAULT_ENTRY_URL}`;
}

async function runCommand(context: CommandContext): Promise<ExitCode> {
  return await match(input)
    .with(["ticket", "apply", P.string], ([, , file]) =>
      applyTicketFile(file, context),
    )
    .with(["ticket", "status", P.string], ([, , number]) =>
      showTicketStatus(number, context),
    )
    .with(["drain", P.string], ([, name]) =>
      setDataCentreState(name, "out", context),
    )
    .with(["restore", P.string], ([, name]) =>
      setDataCentreState(name, "in", context),
    )
    .with(["rollout", P.string], ([, version]) =>
      setRolloutShare(version, context),
    )
    .with(["withdraw", P.string], ([, version]) =>
      setVersionWithdrawn(version, context),
    )
    .with(["status"], () => showStatus(context))
    .with(["settings", "check", P.string], ([, , file]) =>
      Promise.resolve(checkSettingsFile(file, context)),
    )
    .with(["report", "cost"], () => showCostReport(context))
    .with(["report", "burn"], () => showBurnReport(context))
    .with(["explain"], () => showExplanation(context))
    .otherwise(() =>
      Promise.resolve(reportUsage(`Unknown command "${input.join(" ")}"`)),
    );
}

async function runTool(): Promise<ExitCode> {
  const optionProblem = findOptionProblem();
  if (optionProblem !== undefined) return reportUsage(optionProblem);
  const token = flags.token ?? process.env.HORNBEAMRILL_TOKEN ?? "";
  return await runCommand({
    flags,
    client: new OperatorClient({ entryUrl, token }),
  });
}

process.exitCode = await runTool();
