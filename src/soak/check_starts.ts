/** Judges each call that reached a back end by the states in force then. */

import type { FleetState } from "../schema/index.js";
import type { Findings, Property } from "./findings.js";
import { type History, IN_FORCE_MS } from "./history.js";
import type { CallRecord, Period } from "./journal.js";
import { ALL_VERSIONS, HOST_LIST_LAG_MS } from "./layout.js";
import type { Run } from "./records.js";

interface StartsInput {
  readonly runs: readonly Run[];
  readonly history: History;
  readonly calls: readonly CallRecord[];
  readonly leavings: readonly Period[];
}

/** Accounts by request id, as far as callers learned the id. */
function findAccounts(calls: readonly CallRecord[]): Map<string, string> {
  const accounts = new Map<string, string>();
  for (const { outcome, account } of calls) {
    if (outcome.kind !== "broken") accounts.set(outcome.requestId, account);
  }
  return accounts;
}

function isAllowedUse(state: FleetState, account: string, run: Run): boolean {
  const { versions = [], services = [] } = state.accounts[account] ?? {};
  return (run.kind === "engine" ? versions : services).includes(run.name);
}

/** Every account has all versions and its services, unless a ticket took one. */
function hasLostPermission(state: FleetState, account: string): boolean {
  const { versions = [], services = [] } = state.accounts[account] ?? {};
  const lists = Object.values(state.accounts).map((item) => item.services);
  const most = Math.max(...lists.map((list) => list.length));
  return versions.length < ALL_VERSIONS.length || services.length < most;
}

function describeRun(run: Run, history: History): string {
  const { requestId, name, endpoint, arrivedMs } = run;
  const states = history.listStates(arrivedMs).map((s) => s.revision);
  return `request ${requestId} for ${name} reached ${endpoint} at ${arrivedMs}, revisions possible then: ${states}`;
}

interface Rule {
  readonly property: Property;
  /** The rule forbids something in this state, so a fault could show. */
  readonly isExercised: (state: FleetState) => boolean;
  readonly isAllowed: (state: FleetState) => boolean;
}

function createRules(run: Run, account: string | undefined): Rule[] {
  const rules: Rule[] = [
    {
      property: "drainedDataCentreServed",
      isExercised: ({ dataCentres }) =>
        Object.values(dataCentres).some((item) => item.state === "out"),
      isAllowed: ({ dataCentres }) =>
        dataCentres[run.dataCentre]?.state !== "out",
    },
    {
      property: "leavingEndpointServed",
      isExercised: ({ endpoints }) =>
        Object.values(endpoints).some((item) => item.state === "out"),
      isAllowed: ({ endpoints }) => endpoints[run.endpoint]?.state !== "out",
    },
  ];
  if (run.kind === "engine") {
    rules.push({
      property: "withdrawnServed",
      isExercised: ({ versions }) =>
        Object.values(versions).some((item) => item.state === "withdrawn"),
      isAllowed: ({ versions }) => versions[run.name]?.state === "active",
    });
  }
  if (account !== undefined) {
    rules.push({
      property: "notAllowed",
      isExercised: (state) => hasLostPermission(state, account),
      isAllowed: (state) => isAllowedUse(state, account, run),
    });
  }
  return rules;
}

/** Judges a start where a rule forbids something in every possible state. */
export function checkStarts(input: StartsInput, findings: Findings): void {
  const { runs, history, calls, leavings } = input;
  const accounts = findAccounts(calls);
  for (const run of runs) {
    const states = history.listStates(run.arrivedMs);
    const describe = () => describeRun(run, history);
    for (const rule of createRules(run, accounts.get(run.requestId))) {
      if (!states.every(rule.isExercised)) continue;
      findings.check(rule.property, states.some(rule.isAllowed), describe);
    }
    const due = leavings.filter((period) => isDue(period, run.arrivedMs));
    if (due.length === 0) continue;
    const own = due.find((period) => period.subject === run.endpoint);
    findings.check(
      "leavingEndpointServed",
      own === undefined,
      () => `${describe()}, leaving since ${own?.fromMs}`,
    );
  }
}

function isDue(period: Period, atMs: number): boolean {
  const { fromMs, toMs } = period;
  return atMs > fromMs + HOST_LIST_LAG_MS + IN_FORCE_MS && atMs < toMs;
}
