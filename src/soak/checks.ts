/** All checks of one run, once everything has settled. */

import type { Fleet } from "../testbed/fleet.js";
import { checkBills } from "./check_bills.js";
import {
  checkAnswers,
  checkLost,
  checkOrders,
  checkRefusals,
  checkStops,
} from "./check_calls.js";
import { checkCold } from "./check_cold.js";
import { checkExits, checkLog } from "./check_logs.js";
import { checkSessions } from "./check_sessions.js";
import { checkStarts } from "./check_starts.js";
import { checkEngineOrders, checkLate, checkTickets } from "./check_tickets.js";
import { Findings, PROPERTIES } from "./findings.js";
import { History } from "./history.js";
import type { Journal } from "./journal.js";
import { readRecords } from "./records.js";

export interface JudgeInput {
  readonly fleet: Fleet;
  readonly journal: Journal;
  readonly folder: string;
  /** Stops all daemons gracefully; the stand-ins go on. */
  readonly stop: () => Promise<void>;
}

export async function judgeRun(input: JudgeInput): Promise<Findings> {
  const { fleet, journal, folder, stop } = input;
  const { calls, tickets, leavings } = journal;
  await stop();
  const findings = new Findings(PROPERTIES);
  const records = await readRecords(fleet);
  const { runs, orders, coldOverloads } = records;
  const history = new History(records.writes, tickets);
  checkStarts({ runs, history, calls, leavings }, findings);
  checkSessions(calls, history, findings);
  checkBills(calls, records.writes, findings);
  checkAnswers(calls, findings);
  checkRefusals(calls, runs, findings);
  checkOrders(runs, findings);
  checkLost(journal, findings);
  checkStops(journal, findings);
  checkTickets(tickets, history, findings);
  checkLate(calls, history, findings);
  checkEngineOrders(orders, findings);
  const engines = fleet.endpointSpecs.filter((item) => item.kind === "engine");
  checkCold(
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
