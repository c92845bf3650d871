/** Checks each run at a back end against the states in force then. */

import type { FleetState } from "../schema/index.js";
import type { Findings, Property } from "./findings.js";
import type { CallRecord, Period } from "./journal.js";
import { ALL_VERSIONS, HOST_LIST_LAG_MS } from "./layout.js";
import { IN_FORCE_DELAY_MS, type RevisionHistory } from "./revision_history.js";
import type { BackEndRun } from "./standin_records.js";

interface ForbiddenRunsInput {
  readonly runs: readonly BackEndRun[];
  readonly history: RevisionHistory;
  readonly calls: readonly CallRecord[];
  readonly leavings: readonly Period[];
}

/** Accounts by request id, of the requests whose callers learned the id. */
function findAccountsByRequest(
  calls: readonly CallRecord[],
): Map<string, string> {
  const accounts = new Map<string, string>();
  for (const { outcome, account } of calls) {
    if (outcome.kind !== "broken") accounts.set(outcome.requestId, account);
  }
  return accounts;
}

function isPermitted(
  state: FleetState,
  account: string,
  run: BackEndRun,
): boolean {
  const { versions = [], services = [] } = state.accounts[account] ?? {};
  return (run.kind === "engine" ? versions : services).includes(run.name);
}

/** The setup gives accounts all versions and services; tickets take some. */
function hasLostPermission(state: FleetState, account: string): boolean {
  const { versions = [], services = [] } = state.accounts[account] ?? {};
  const serviceLists = Object.values(state.accounts).map(
    (item) => item.services,
  );
  const maxCount = Math.max(...serviceLists.map((list) => list.length));
  return versions.length < ALL_VERSIONS.length || services.length < maxCount;
}

function describeRun(run: BackEndRun, history: RevisionHistory): string {
  const { requestId, name, endpoint, arrivedMs } = run;
  const states = history
    .listPossibleStates(arrivedMs)
    .map((state) => state.revision);
  return `request ${requestId} for ${name} reached ${endpoint} at ${arrivedMs}, revisions possible then: ${states}`;
}

interface RoutingRule {
  readonly property: Property;
  /** The rule forbids something in this state, so it could be violated. */
  readonly isRestricting: (state: FleetState) => boolean;
  readonly isAllowed: (state: FleetState) => boolean;
}

function createRules(
  run: BackEndRun,
  account: string | undefined,
): RoutingRule[] {
  const rules: RoutingRule[] = [
    {
      property: "drainedDataCentreServed",
      isRestricting: ({ dataCentres }) =>
        Object.values(dataCentres).some((item) => item.state === "out"),
      isAllowed: ({ dataCentres }) =>
        dataCentres[run.dataCentre]?.state !== "out",
    },
    {
      property: "leavingEndpointServed",
      isRestricting: ({ endpoints }) =>
        Object.values(endpoints).some((item) => item.state === "out"),
      isAllowed: ({ endpoints }) => endpoints[run.endpoint]?.state !== "out",
    },
  ];
  if (run.kind === "engine") {
    rules.push({
      property: "withdrawnServed",
      isRestricting: ({ versions }) =>
        Object.values(versions).some((item) => item.state === "withdrawn"),
      isAllowed: ({ versions }) => versions[run.name]?.state === "active",
    });
  }
  if (account !== undefined) {
    rules.push({
      property: "notAllowed",
      isRestricting: (state) => hasLostPermission(state, account),
      isAllowed: (state) => isPermitted(state, account, run),
    });
  }
  return rules;
}

/** Applies a rule only where it forbids something in every possible state. */
export function checkForbiddenRuns(
  input: ForbiddenRunsInput,
  findings: Findings,
): void {
  const { runs, history, calls, leavings } = input;
  const accounts = findAccountsByRequest(calls);
  for (const run of runs) {
    const states = history.listPossibleStates(run.arrivedMs);
    const describe = () => describeRun(run, history);
    for (const rule of createRules(run, accounts.get(run.requestId))) {
      if (!states.every(rule.isRestricting)) continue;
      findings.check(rule.property, states.some(rule.isAllowed), describe);
    }
    const knownLeavings = leavings.filter((period) =>
      isKnownLeaving(period, run.arrivedMs),
    );
    if (knownLeavings.length === 0) continue;
    const ownLeaving = knownLeavings.find(
      (period) => period.subject === run.endpoint,
    );
    findings.check(
      "leavingEndpointServed",
      ownLeaving === undefined,
      () => `${describe()}, leaving since ${ownLeaving?.fromMs}`,
    );
  }
}

function isKnownLeaving(period: Period, atMs: number): boolean {
  const { fromMs, toMs } = period;
  return atMs > fromMs + HOST_LIST_LAG_MS + IN_FORCE_DELAY_MS && atMs < toMs;
}
