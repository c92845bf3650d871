/** Judges what callers and replicas saw against the promises. */

import { Findings } from "../../soak/findings.js";
import { PLAIN_ANSWER_BODY } from "../standins/replica.js";
import { BOUNDS, STREAM_EVENTS } from "./fleet.js";
import {
  type ArrivalRecord,
  type CallRecord,
  ROUTE,
  type RunRecord,
  type SoakRecords,
} from "./records.js";

export const PROMISES = [
  "ranTwice",
  "falseNotRun",
  "wrongAnswer",
  "wrongStream",
  "withdrawnKeyServed",
  "leavingReplicaServed",
  "leavingWordIgnored",
  "pauseIgnored",
  "cutByPlannedStop",
  "lostRequest",
  "answeredLate",
  "unexpectedExit",
  "notRecovered",
] as const;
export type Promised = (typeof PROMISES)[number];

/** Calm before which a bound in time does not hold, ms. */
const CONTACT_MS = 3_000;
/** Time within which a request that was read is passed on, ms. */
const CROSSING_MS = 200;
/** How much later than its deadline an answer may come, ms. */
const LATE_MS = 500;
/** Time in which requests may be on their way to a replica that closes, ms. */
const ON_THE_WAY_MS = 500;
/** Requests that may reach a closed replica after that from one entry. */
const MOST_WHILE_CLOSED = 2;
/** Answers that promise that the request has not run. */
const NOT_RUN = new Set([408, 421, 429, 503]);

export function judgeSoak(records: SoakRecords): Findings<Promised> {
  const findings = new Findings<Promised>(PROMISES);
  const runs = groupRuns(records.runs);
  for (const call of records.calls) {
    const own = runs.get(call.id) ?? [];
    checkRuns(call, own, findings);
    checkAnswer(call, own, findings);
    checkKey(call, own, records, findings);
    checkEnd(call, own, records, findings);
  }
  checkLeaving(records, findings);
  checkWishes(records, findings);
  for (const exit of records.unexpectedExits) {
    findings.addViolation("unexpectedExit", exit);
  }
  for (const call of records.unserved) {
    findings.addViolation("notRecovered", call);
  }
  findings.addCase("unexpectedExit");
  findings.addCase("notRecovered");
  return findings;
}

function groupRuns(runs: readonly RunRecord[]): Map<string, RunRecord[]> {
  const groups = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const group = groups.get(run.requestId) ?? [];
    group.push(run);
    groups.set(run.requestId, group);
  }
  return groups;
}

function describeCall(call: CallRecord, text: string): string {
  const { id, route, entry, status, sentAtMs, endedAtMs } = call;
  const times = `${Math.round(sentAtMs)} to ${Math.round(endedAtMs)} ms`;
  return `${id} ${route} at ${entry}, ${times}, status ${status}: ${text}`;
}

function checkRuns(
  call: CallRecord,
  runs: readonly RunRecord[],
  findings: Findings<Promised>,
): void {
  if (call.route !== ROUTE.once) return;
  findings.check("ranTwice", runs.length <= 1, () =>
    describeCall(call, `${runs.length} runs`),
  );
  if (call.status === undefined || !NOT_RUN.has(call.status)) return;
  findings.check("falseNotRun", runs.length === 0, () =>
    describeCall(call, "it has run"),
  );
}

function checkAnswer(
  call: CallRecord,
  runs: readonly RunRecord[],
  findings: Findings<Promised>,
): void {
  if (call.status !== 200) return;
  if (call.route === ROUTE.stream) {
    findings.check("wrongStream", isSoundStream(call), () =>
      describeCall(call, JSON.stringify(call.body)),
    );
    return;
  }
  // A caller sees that an answer without its end is none.
  if (!call.isComplete) return;
  const hasRun = runs.some(({ replica }) => call.stamp === `stamp-${replica}`);
  findings.check("wrongAnswer", call.body === PLAIN_ANSWER_BODY && hasRun, () =>
    describeCall(call, `${call.body.length} bytes, stamp ${call.stamp}`),
  );
}

/** Every event once and in order; all of them if it ends as complete. */
function isSoundStream(call: CallRecord): boolean {
  const events = call.body.split("\n\n");
  const last = events.pop();
  const isOrdered = events.every(
    (event, index) => event === `id: ${index}\ndata: piece ${index}`,
  );
  if (!call.isComplete) return isOrdered;
  return isOrdered && last === "" && events.length === STREAM_EVENTS;
}

function checkKey(
  call: CallRecord,
  runs: readonly RunRecord[],
  { withdrawals }: SoakRecords,
  findings: Findings<Promised>,
): void {
  const withdrawnAtMs = withdrawals.get(call.key);
  if (withdrawnAtMs === undefined) return;
  if (call.sentAtMs <= withdrawnAtMs + BOUNDS.revokeMs) return;
  findings.check("withdrawnKeyServed", runs.length === 0, () =>
    describeCall(
      call,
      `sent ${Math.round(call.sentAtMs - withdrawnAtMs)} ms after the key was withdrawn`,
    ),
  );
}

/** True when nothing disturbed the members between the two times. */
function isCalm(
  { disturbances }: SoakRecords,
  members: ReadonlySet<string>,
  span: { fromMs: number; toMs: number },
  options: { ignorePlanned?: boolean; ignored?: string } = {},
): boolean {
  return !disturbances.some(
    ({ kind, member, fromMs, toMs, isPlanned }) =>
      kind !== options.ignored &&
      fromMs < span.toMs &&
      toMs > span.fromMs &&
      (member === undefined || members.has(member)) &&
      !(isPlanned && options.ignorePlanned),
  );
}

function checkEnd(
  call: CallRecord,
  runs: readonly RunRecord[],
  records: SoakRecords,
  findings: Findings<Promised>,
): void {
  const { entry, sentAtMs, endedAtMs, deadlineMs } = call;
  const members = new Set([entry, ...runs.map(({ replica }) => replica)]);
  const span = { fromMs: sentAtMs - CONTACT_MS, toMs: endedAtMs };
  if (!isCalm(records, members, span, { ignorePlanned: true })) return;
  const isStopping = !isCalm(records, members, span);
  const tookMs = endedAtMs - sentAtMs;
  findings.check("answeredLate", tookMs <= deadlineMs + LATE_MS, () =>
    describeCall(call, `deadline ${deadlineMs} ms`),
  );
  // A request that crosses the close of its connection isn't passed on.
  const wasRead = runs.length > 0 || tookMs > CROSSING_MS;
  const isAnswered = call.status !== undefined && call.isComplete;
  const promise = isStopping ? "cutByPlannedStop" : "lostRequest";
  findings.check(promise, isAnswered || !wasRead, () =>
    describeCall(call, `no whole answer, ${runs.length} runs`),
  );
}

function checkLeaving(
  records: SoakRecords,
  findings: Findings<Promised>,
): void {
  const calls = new Map(records.calls.map((call) => [call.id, call]));
  for (const run of records.runs) {
    const leftAtMs = records.leavings.get(run.replica);
    const call = calls.get(run.requestId);
    if (leftAtMs === undefined || call === undefined) continue;
    const span = { fromMs: leftAtMs - CONTACT_MS, toMs: run.startedAtMs };
    const members = new Set([call.entry, run.replica]);
    if (!isCalm(records, members, span)) continue;
    const afterMs = run.startedAtMs - leftAtMs;
    findings.check("leavingReplicaServed", afterMs <= BOUNDS.drainMs, () =>
      describeCall(
        call,
        `${run.replica} ran it ${Math.round(afterMs)} ms after it left`,
      ),
    );
  }
}

/** What replicas asked of single entries in their answers. */
function checkWishes(records: SoakRecords, findings: Findings<Promised>): void {
  const calls = new Map(records.calls.map((call) => [call.id, call]));
  const groups = new Map<
    string,
    { call: CallRecord; arrival: ArrivalRecord }[]
  >();
  for (const arrival of records.arrivals) {
    const call = calls.get(arrival.requestId);
    if (call === undefined) continue;
    const key = `${call.entry} ${arrival.replica}`;
    const group = groups.get(key) ?? [];
    group.push({ call, arrival });
    groups.set(key, group);
  }
  for (const group of groups.values()) {
    checkLeavingWord(group, records, findings);
    checkPauses(group, records, findings);
  }
}

/** Arrivals at one replica from one entry, with their calls. */
type Exchanged = readonly {
  readonly call: CallRecord;
  readonly arrival: ArrivalRecord;
}[];

function checkLeavingWord(
  group: Exchanged,
  records: SoakRecords,
  findings: Findings<Promised>,
): void {
  const told = group.find(
    ({ call, arrival }) =>
      arrival.isLeaving &&
      call.isComplete &&
      call.stamp === `stamp-${arrival.replica}`,
  );
  if (told === undefined) return;
  const { replica } = told.arrival;
  const toldAtMs = told.call.endedAtMs;
  const late = group.filter(
    ({ call, arrival }) =>
      call.sentAtMs > toldAtMs &&
      isCalm(records, new Set([call.entry]), {
        fromMs: toldAtMs,
        toMs: arrival.atMs,
      }),
  );
  findings.check("leavingWordIgnored", late.length === 0, () =>
    describeCall(told.call, `${late.length} requests to ${replica} after it`),
  );
}

function checkPauses(
  group: Exchanged,
  records: SoakRecords,
  findings: Findings<Promised>,
): void {
  for (const { call, arrival } of group) {
    const { replica, atMs, retryAfterMs } = arrival;
    if (retryAfterMs === undefined) continue;
    const untilMs = atMs + retryAfterMs;
    const members = new Set([call.entry, replica]);
    const span = { fromMs: atMs - ON_THE_WAY_MS, toMs: untilMs };
    if (!isCalm(records, members, span, { ignored: "replica" })) continue;
    const late = group.filter(
      (other) =>
        other.arrival.atMs > atMs + ON_THE_WAY_MS &&
        other.arrival.atMs < untilMs,
    );
    findings.check("pauseIgnored", late.length <= MOST_WHILE_CLOSED, () =>
      describeCall(call, `${late.length} requests to ${replica}, closed`),
    );
  }
}
