#!/usr/bin/env node
/** Command-line tool for operators. */

import meow from "meow";
import { match, P } from "ts-pattern";
import { type CommandContext, reportUsage } from "./context.js";
import type { ExitCode } from "./exit_codes.js";
import { OperatorClient } from "./operator_client.js";
import {
  checkSettingsFile,
  showBurnReport,
  showCostReport,
  showStatus,
} from "./report_commands.js";
import {
  applyTicketFile,
  setDataCentre,
  setRollout,
  setVersionWithdrawn,
  showTicket,
} from "./ticket_commands.js";

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
    settings check FILE       check a settings file, own or of the platform
                              (.toml); nothing is started
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
    4 outcome unknown or not yet confirmed: ask with ticket status, or apply
    the ticket again
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
      json: { type: "boolean", default: false },
    },
  },
);

const DEFAULT_ENTRY = "http://127.0.0.1:7003";

const { flags, input } = cli;
const entry = flags.entry ?? process.env.HORNBEAMRILL_ENTRY ?? DEFAULT_ENTRY;

/** Names the first option whose value can't be used. */
function findWrongOption(): string | undefined {
  const { number, share, hours } = flags;
  for (const [name, value] of Object.entries({ number, share, hours })) {
    if (value !== undefined && !Number.isFinite(value)) {
      return `Option --${name} is not a number`;
    }
  }
  if (number !== undefined && !(Number.isSafeInteger(number) && number > 0)) {
    return `Option --number is "${number}", expected a whole number from 1`;
  }
  return URL.canParse(entry) && new URL(entry).protocol === "http:"
    ? undefined
    : `Option --entry is "${entry}", expected a URL such as ${DEFAULT_ENTRY}`;
}

async function runCommand(context: CommandContext): Promise<ExitCode> {
  return await match(input)
    .with(["ticket", "apply", P.string], ([, , file]) =>
      applyTicketFile(file, context),
    )
    .with(["ticket", "status", P.string], ([, , number]) =>
      showTicket(number, context),
    )
    .with(["drain", P.string], ([, name]) =>
      setDataCentre(name, "out", context),
    )
    .with(["restore", P.string], ([, name]) =>
      setDataCentre(name, "in", context),
    )
    .with(["rollout", P.string], ([, version]) => setRollout(version, context))
    .with(["withdraw", P.string], ([, version]) =>
      setVersionWithdrawn(version, context),
    )
    .with(["status"], () => showStatus(context))
    .with(["settings", "check", P.string], ([, , file]) =>
      Promise.resolve(checkSettingsFile(file, context)),
    )
    .with(["report", "cost"], () => showCostReport(context))
    .with(["report", "burn"], () => showBurnReport(context))
    .otherwise(() =>
      Promise.resolve(reportUsage(`Unknown command "${input.join(" ")}"`)),
    );
}

async function run(): Promise<ExitCode> {
  const wrongOption = findWrongOption();
  if (wrongOption !== undefined) return reportUsage(wrongOption);
  const token = flags.token ?? process.env.HORNBEAMRILL_TOKEN ?? "";
  return await runCommand({
    flags,
    client: new OperatorClient({ entry, token }),
  });
}

process.exitCode = await run();
