/** Checks what callers and replicas saw against the promised properties. */

import { Findings } from "../../soak/findings.js";
import { PLAIN_ANSWER_BODY } from "../standins/replica.js";
import { countInBusiestWindow } from "./busiest_window.js";
import { CALM_BEFORE_MS, describeCall, isCalm } from "./calm.js";
import { checkCrashingRequests } from "./check_crashing_requests.js";
import { checkSilence } from "./check_silence.js";
import { HOST_MEMORY_MB, STREAM_EVENTS, TIME_BOUNDS } from "./fleet.js";
import { hasGraceEnded } from "./has_grace_ended.js";
import { sumStalledMs } from "./own_stalls.js";
import { PROPERTIES, type Property } from "./properties.js";
import {
  type ArrivalRecord,
  type CallRecord,
  CRASH_KIND,
  CRASHING_PART,
  ROUTE,
  type RunRecord,
  type SoakRecords,
} from "./records.js";

/** Time within which an entry forwards a request that it has read, ms. */
const FORWARDING_MS = 200;
/** How much later than its deadline an answer may come, ms. */
const MAX_LATENESS_MS = 500;
/** Time for requests in transit to reach a replica that wants a pause, ms. */
const IN_TRANSIT_MS = 500;
/** Requests that may reach it after that from one entry during the pause. */
const MAX_WHILE_PAUSED = 2;
/** Time after its first answer with a limit in which it need not hold, ms. */
const LIMIT_CONTACT_MS = 3_000;
/** Time after which an entry keeps to a limit that it has passed on, ms. */
const LIMIT_NOTICE_MS = 500;
const LIMIT_WINDOW_MS = 4_000;
/** Part of the limit, and requests beyond it, that a window may have. */
const LIMIT_TOLERANCE = { factor: 1.5, requests: 5 } as const;
/** Faults of an entry or a link after which a limit need not hold at once. */
const LIMIT_EXCUSES = new Set(["kill", "stop", "freeze", "cut", "slow"]);
/** Crashes after which entries have to know the part that led to them. */
const CRASHES_BEFORE_HOLD = 5;
/** Requests with the part that may reach replicas after that. */
const MAX_AFTER_HOLD = 3;
/** How refusals begin for what is held back as a cause of crashes. */
const HELD_CODE = /^[a-z-]+-held\b/;
/** No other refusal asks for so long a delay, s. */
const MIN_HELD_RETRY_AFTER_S = 30;
/** Statuses which promise that the request has not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

export function judgeSoak(records: SoakRecords): Findings<Property> {
  const findings = new Findings<Property>(PROPERTIES);
  const runs = groupRuns(records.runs);
  for (const call of records.calls) {
    const ownRuns = runs.get(call.id) ?? [];
    checkRunCount(call, ownRuns, findings);
    checkAnswer(call, ownRuns, findings);
    checkWithdrawnKey(call, ownRuns, records, findings);
    checkCompletion(call, ownRuns, records, findings);
    checkSilence(call, ownRuns, records, findings);
  }
  for (const call of records.crashingRequests) {
    checkRunCount(call, runs.get(call.id) ?? [], findings);
  }
  for (const call of [
    ...records.calls,
    ...records.crashingCalls,
    ...records.crashingRequests,
  ]) {
    checkNamedIds(call, findings);
  }
  checkLeavingReplicas(records, findings);
  checkReplicaRequests(records, findings);
  checkLimits(records, findings);
  checkCrashingPart(records, findings);
  checkCrashingRequests(records, findings);
  for (const exit of records.unexpectedExits) {
    findings.addViolation("unexpectedExit", exit);
  }
  for (const { entry, megabytes } of records.memoryPeaks) {
    findings.check(
      "memoryExceeded",
      megabytes <= HOST_MEMORY_MB,
      () => `${entry}: ${megabytes} MB`,
    );
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

function checkRunCount(
  call: CallRecord,
  runs: readonly RunRecord[],
  findings: Findings<Property>,
): void {
  if (call.route !== ROUTE.once) return;
  findings.check("ranTwice", runs.length <= 1, () =>
    describeCall(call, `${runs.length} runs`),
  );
  if (call.status === undefined || !NOT_RUN_STATUSES.has(call.status)) return;
  findings.check("falseNotRun", runs.length === 0, () =>
    describeCall(call, "it has run"),
  );
}

function checkAnswer(
  call: CallRecord,
  runs: readonly RunRecord[],
  findings: Findings<Property>,
): void {
  if (call.status !== 200) return;
  if (call.route === ROUTE.stream) {
    findings.check("wrongStream", isValidStream(call), () =>
      describeCall(call, JSON.stringify(call.body)),
    );
    return;
  }
  // The caller can tell that the answer is incomplete.
  if (!call.isComplete) return;
  const hasRun = runs.some(({ replica }) => call.stamp === `stamp-${replica}`);
  findings.check("wrongAnswer", call.body === PLAIN_ANSWER_BODY && hasRun, () =>
    describeCall(call, `${call.body.length} bytes, stamp ${call.stamp}`),
  );
}

/** Neither an answer nor the run behind it may belong to another request. */
function checkNamedIds(call: CallRecord, findings: Findings<Property>): void {
  const { id, status, namedIds } = call;
  if (status === undefined) return;
  const isOwn = namedIds.every((namedId) => namedId === id);
  const isNamed = status !== 200 || namedIds.length === 2;
  findings.check("foreignAnswer", isOwn && isNamed, () =>
    describeCall(call, `the answer names ${JSON.stringify(namedIds)}`),
  );
}

/** Each event comes once and in order, and all of them if it is complete. */
function isValidStream(call: CallRecord): boolean {
  const events = call.body.split("\n\n");
  const last = events.pop();
  const isOrdered = events.every(
    (event, index) => event === `id: ${index}\ndata: piece ${index}`,
  );
  if (!call.isComplete) return isOrdered;
  return isOrdered && last === "" && events.length === STREAM_EVENTS;
}

function checkWithdrawnKey(
  call: CallRecord,
  runs: readonly RunRecord[],
  { withdrawals }: SoakRecords,
  findings: Findings<Property>,
): void {
  const withdrawnAtMs = withdrawals.get(call.key);
  if (withdrawnAtMs === undefined) return;
  if (call.sentAtMs <= withdrawnAtMs + TIME_BOUNDS.revokeMs) return;
  findings.check("withdrawnKeyServed", runs.length === 0, () =>
    describeCall(
      call,
      `sent ${Math.round(call.sentAtMs - withdrawnAtMs)} ms after the key was withdrawn`,
    ),
  );
}

function checkCompletion(
  call: CallRecord,
  runs: readonly RunRecord[],
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const { entry, sentAtMs, endedAtMs, deadlineMs } = call;
  const members = new Set([entry, ...runs.map(({ replica }) => replica)]);
  const span = { fromMs: sentAtMs - CALM_BEFORE_MS, toMs: endedAtMs };
  if (!isCalm(records, members, span, { ignorePlanned: true })) return;
  const isStopping = !isCalm(records, members, span);
  const tookMs = endedAtMs - sentAtMs;
  findings.check("answeredLate", tookMs <= deadlineMs + MAX_LATENESS_MS, () =>
    describeCall(call, `deadline ${deadlineMs} ms`),
  );
  // Judged by `checkSilence`, which knows the deadline.
  if (runs.some(({ wasSilent }) => wasSilent)) return;
  // A request sent while its connection closes may never be read.
  const open = { fromMs: sentAtMs, toMs: findEndMs(call, records) };
  const openMs =
    open.toMs - open.fromMs - sumStalledMs(records.ownStalls, open);
  const wasRead =
    runs.length > 0 || (!call.isUnaccepted && openMs > FORWARDING_MS);
  const isAnswered = call.status !== undefined && call.isComplete;
  if (!isAnswered && hasGraceEnded(call, runs, records)) return;
  const property = isStopping ? "cutByPlannedStop" : "lostRequest";
  findings.check(property, isAnswered || !wasRead, () =>
    describeCall(call, `no complete answer, ${runs.length} runs`),
  );
}

/**
 * When the call ended, at the latest with the process that could have read it:
 * the caller may hear of that end late.
 */
function findEndMs(
  { entry, sentAtMs, endedAtMs }: CallRecord,
  { disturbances }: SoakRecords,
): number {
  const ends = disturbances.flatMap(({ member, goneAtMs = 0 }) =>
    member === entry && goneAtMs >= sentAtMs ? goneAtMs : [],
  );
  return Math.min(endedAtMs, ...ends);
}

function checkLeavingReplicas(
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const calls = new Map(records.calls.map((call) => [call.id, call]));
  for (const run of records.runs) {
    const leftAtMs = records.leavings.get(run.replica);
    const call = calls.get(run.requestId);
    if (leftAtMs === undefined || call === undefined) continue;
    const span = { fromMs: leftAtMs - CALM_BEFORE_MS, toMs: run.startedAtMs };
    const members = new Set([call.entry, run.replica]);
    if (!isCalm(records, members, span)) continue;
    const afterMs = run.startedAtMs - leftAtMs;
    findings.check("leavingReplicaServed", afterMs <= TIME_BOUNDS.drainMs, () =>
      describeCall(
        call,
        `${run.replica} ran it ${Math.round(afterMs)} ms after it left`,
      ),
    );
  }
}

/** Checks that an entry does what replicas ask for in their answers to it. */
function checkReplicaRequests(
  records: SoakRecords,
  findings: Findings<Property>,
): void {
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
    checkLeavingNotice(group, records, findings);
    checkRetryAfter(group, records, findings);
  }
}

/** Arrivals at one replica from one entry, with their calls. */
type Exchanges = readonly {
  readonly call: CallRecord;
  readonly arrival: ArrivalRecord;
}[];

function checkLeavingNotice(
  group: Exchanges,
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const notice = group.find(
    ({ call, arrival }) =>
      arrival.isLeaving &&
      call.isComplete &&
      call.stamp === `stamp-${arrival.replica}`,
  );
  if (notice === undefined) return;
  const { replica } = notice.arrival;
  const noticedAtMs = notice.call.endedAtMs;
  const late = group.filter(
    ({ call, arrival }) =>
      call.sentAtMs > noticedAtMs &&
      isCalm(records, new Set([call.entry]), {
        fromMs: noticedAtMs,
        toMs: arrival.atMs,
      }),
  );
  findings.check("leavingWordIgnored", late.length === 0, () =>
    describeCall(notice.call, `${late.length} requests to ${replica} after it`),
  );
}

function checkRetryAfter(
  group: Exchanges,
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  for (const { call, arrival } of group) {
    const { replica, atMs, retryAfterMs } = arrival;
    if (retryAfterMs === undefined) continue;
    const untilMs = atMs + retryAfterMs;
    const members = new Set([call.entry, replica]);
    const span = { fromMs: atMs - IN_TRANSIT_MS, toMs: untilMs };
    if (!isCalm(records, members, span, { ignored: "replica" })) continue;
    const late = group.filter(
      (other) =>
        other.arrival.atMs > atMs + IN_TRANSIT_MS &&
        other.arrival.atMs < untilMs,
    );
    findings.check("pauseIgnored", late.length <= MAX_WHILE_PAUSED, () =>
      describeCall(
        call,
        `${late.length} requests to ${replica} during its pause`,
      ),
    );
  }
}

/** Arrivals at one replica during one span in which it set a rate. */
interface LimitSpan {
  readonly replica: string;
  readonly limitPerSecond: number;
  readonly arrivals: readonly ArrivalRecord[];
}

/** Spans end with the first answer that names another rate or none. */
function listLimitSpans(arrivals: readonly ArrivalRecord[]): LimitSpan[] {
  const spans: LimitSpan[] = [];
  const openSpans = new Map<string, { arrivals: ArrivalRecord[] }>();
  const sorted = [...arrivals].sort((a, b) => a.atMs - b.atMs);
  for (const arrival of sorted) {
    const { replica, limitPerSecond } = arrival;
    const open = openSpans.get(replica);
    if (open?.arrivals[0]?.limitPerSecond === limitPerSecond) {
      open?.arrivals.push(arrival);
      continue;
    }
    openSpans.delete(replica);
    if (limitPerSecond === undefined) continue;
    const span = { replica, limitPerSecond, arrivals: [arrival] };
    openSpans.set(replica, span);
    spans.push(span);
  }
  return spans;
}

/**
 * Checks the sum over the entries that had passed on an answer with the limit,
 * without those that a fault excuses.
 */
function checkLimits(records: SoakRecords, findings: Findings<Property>): void {
  const calls = new Map(records.calls.map((call) => [call.id, call]));
  for (const { replica, limitPerSecond, arrivals } of listLimitSpans(
    records.arrivals,
  )) {
    const firstAtMs = arrivals[0]?.atMs ?? 0;
    const judgedFromMs = firstAtMs + LIMIT_CONTACT_MS;
    const toldAtMs = new Map<string, number>();
    for (const { requestId } of arrivals) {
      const call = calls.get(requestId);
      if (call === undefined || call.stamp !== `stamp-${replica}`) continue;
      const knownMs = toldAtMs.get(call.entry) ?? Number.POSITIVE_INFINITY;
      toldAtMs.set(call.entry, Math.min(knownMs, call.endedAtMs));
    }
    const isExcused = (entry: string, atMs: number) =>
      records.disturbances.some(
        ({ kind, member, fromMs, toMs }) =>
          LIMIT_EXCUSES.has(kind) &&
          (member === entry || member === replica) &&
          fromMs < atMs &&
          toMs > atMs - CALM_BEFORE_MS,
      );
    const counted = arrivals.filter(({ requestId, atMs }) => {
      const entry = calls.get(requestId)?.entry;
      const told = toldAtMs.get(entry ?? "") ?? Number.POSITIVE_INFINITY;
      return (
        entry !== undefined &&
        atMs >= judgedFromMs &&
        atMs >= told + LIMIT_NOTICE_MS &&
        !isExcused(entry, atMs)
      );
    });
    if (counted.length === 0) continue;
    const most = countInBusiestWindow(
      counted.map(({ atMs }) => atMs),
      LIMIT_WINDOW_MS,
    );
    const { factor, requests } = LIMIT_TOLERANCE;
    const allowed =
      (factor * limitPerSecond * LIMIT_WINDOW_MS) / 1_000 + requests;
    findings.check(
      "limitExceeded",
      most <= allowed,
      () =>
        `${replica} set ${limitPerSecond} a second at ${Math.round(firstAtMs)} ms and got ${most} requests in 4 s, ${allowed} allowed`,
    );
  }
}

/** Checks that requests with the crashing part end, and others go on. */
function checkCrashingPart(
  records: SoakRecords,
  findings: Findings<Property>,
): void {
  const refused = records.calls.filter(
    ({ status, body, retryAfterS = 0 }) =>
      status !== 200 &&
      (HELD_CODE.test(body) || retryAfterS >= MIN_HELD_RETRY_AFTER_S),
  );
  findings.check(
    "soundPromptRefused",
    refused.length === 0,
    () => `${refused.length} requests, the first one ${refused[0]?.id}`,
  );
  const crashes = records.disturbances
    .filter(({ kind }) => kind === CRASH_KIND)
    .sort((one, other) => one.fromMs - other.fromMs);
  const lastCrashMs = crashes[CRASHES_BEFORE_HOLD - 1]?.fromMs;
  if (lastCrashMs === undefined) return;
  const calls = new Map(records.crashingCalls.map((call) => [call.id, call]));
  const late = records.arrivals.filter(({ requestId, atMs, sharedParts }) => {
    const entry = calls.get(requestId)?.entry;
    return (
      sharedParts.includes(CRASHING_PART) &&
      atMs > lastCrashMs + CALM_BEFORE_MS &&
      !records.disturbances.some(
        ({ kind, member, fromMs, toMs }) =>
          (member === entry || kind.startsWith("store")) &&
          fromMs < atMs &&
          toMs > atMs - CALM_BEFORE_MS,
      )
    );
  });
  findings.check(
    "crashingPartSent",
    late.length <= MAX_AFTER_HOLD,
    () =>
      `${late.length} requests after the fifth crash, ${crashes.length} crashes in all`,
  );
}
