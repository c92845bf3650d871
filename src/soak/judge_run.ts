/** Runs all checks on one soak run, once everything has settled. */

import type { Fleet } from "../testbed/fleet.js";
import { checkBills } from "./check_bills.js";
import {
  checkAnswers,
  checkDuplicateRuns,
  checkLostRequests,
  checkNotRunRefusals,
  checkPlannedStops,
} from "./check_calls.js";
import { checkColdOverloads } from "./check_cold_overloads.js";
import { checkForbiddenRuns } from "./check_forbidden_runs.js";
import { checkExits, checkLog } from "./check_logs.js";
import { checkSessions } from "./check_sessions.js";
import {
  checkEngineOrders,
  checkRevisionAge,
  checkTickets,
} from "./check_tickets.js";
import { Findings, PROPERTIES } from "./findings.js";
import type { Journal } from "./journal.js";
import { RevisionHistory } from "./revision_history.js";
import { readStandinRecords } from "./standin_records.js";

export interface JudgeInput {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly folder: string;
  /** Stops all daemons gracefully; the stand-ins keep running. */
  readonly stopDaemons: () => Promise<void>;
}

export async function judgeRun(input: JudgeInput): Promise<Findings> {
  const { fleet, journal, folder, stopDaemons } = input;
  const { calls, tickets, leavings } = journal;
  await stopDaemons();
  const findings = new Findings(PROPERTIES);
  const records = await readStandinRecords(fleet);
  const { runs, orders, coldOverloads } = records;
  const history = new RevisionHistory(records.writes, tickets);
  checkForbiddenRuns({ runs, history, calls, leavings }, findings);
  checkSessions(calls, history, findings);
  checkBills(calls, records.writes, findings);
  checkAnswers(calls, findings);
  checkNotRunRefusals(calls, runs, findings);
  checkDuplicateRuns(runs, findings);
  checkLostRequests(journal, findings);
  checkPlannedStops(journal, findings);
  checkTickets(tickets, history, findings);
  checkRevisionAge(calls, history, findings);
  checkEngineOrders(orders, findings);
  const engines = fleet.endpointSpecs.filter((item) => item.kind === "engine");
  checkColdOverloads(
    {
      journal,
      runs,
      overloads: coldOverloads,
      engines: new Set(engines.map((item) => item.name)),
    },
    findings,
  );
  for (const member of fleet.members) {
    await checkLog(folder, member.name, findings);
  }
  checkExits(journal, findings);
  return findings;
}
