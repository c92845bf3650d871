import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PLAIN_ANSWER_BODY } from "../standins/replica.js";
import { STREAM_EVENTS } from "./fleet.js";
import { judgeSoak } from "./judge_soak.js";
import { PROPERTIES, type Property } from "./properties.js";
import {
  type ArrivalRecord,
  type CallRecord,
  CRASH_KIND,
  CRASHING_PART,
  type Disturbance,
  type RunRecord,
  SILENCE_KIND,
  type SoakRecords,
} from "./records.js";

const CALL: CallRecord = {
  id: "c1",
  route: "once",
  entry: "entry-0",
  key: "key-a",
  deadlineMs: 1_500,
  sentAtMs: 20_000,
  endedAtMs: 20_100,
  status: 200,
  body: PLAIN_ANSWER_BODY,
  stamp: "stamp-i-0",
  namedIds: ["c1", "c1"],
  isComplete: true,
  sharedParts: ["first0", "m1"],
};
const RUN: RunRecord = {
  requestId: "c1",
  replica: "i-0",
  startedAtMs: 20_050,
};
const ARRIVAL: ArrivalRecord = {
  requestId: "c1",
  replica: "i-0",
  atMs: 20_050,
  isLeaving: true,
  retryAfterMs: 2_000,
  sharedParts: [],
};
/** The call with another id, which its answer names as well. */
function createCall(id: string, fields: Partial<CallRecord> = {}): CallRecord {
  return { ...CALL, id, namedIds: [id, id], ...fields };
}
const LATER = createCall("c2", { sentAtMs: 20_800, endedAtMs: 20_900 });
const LATER_ARRIVAL = { ...ARRIVAL, requestId: "c2", atMs: 20_850 };
/** Requests of one entry to an endpoint that allows 11 in a window. */
function createLimitRecords(
  count: number,
  fields: Partial<SoakRecords> = {},
): Partial<SoakRecords> {
  const calls = Array.from({ length: count }, (_, index) => {
    const sentAtMs = 23_500 + 200 * index;
    return createCall(`l${index}`, { sentAtMs, endedAtMs: sentAtMs + 10 });
  });
  const limited = { ...ARRIVAL, isLeaving: false, limitPerSecond: 1 };
  return {
    calls: [CALL, ...calls],
    runs: [RUN, ...calls.map(({ id }) => ({ ...RUN, requestId: id }))],
    arrivals: [
      { ...limited, retryAfterMs: undefined },
      ...calls.map(({ id, sentAtMs }) => ({
        ...limited,
        retryAfterMs: undefined,
        requestId: id,
        atMs: sentAtMs,
      })),
    ],
    ...fields,
  };
}
const STOP = {
  kind: "stop",
  member: "entry-0",
  fromMs: 19_000,
  toMs: 22_000,
  isPlanned: true,
};
const SILENCE = {
  kind: SILENCE_KIND,
  member: "i-0",
  fromMs: 20_040,
  toMs: 21_000,
};
const STREAM = Array.from(
  { length: STREAM_EVENTS },
  (_, id) => `id: ${id}\ndata: piece ${id}\n\n`,
);

/** Requests that reach a replica after five crashes under their part. */
function createCrashRecords(count: number): Partial<SoakRecords> {
  const sharedParts = ["first0", CRASHING_PART];
  const ids = Array.from({ length: count }, (_, index) => `x${index}`);
  return {
    disturbances: [0, 1, 2, 3, 4].map((index) => ({
      kind: CRASH_KIND,
      member: `i-${index}`,
      fromMs: 20_000 + 100 * index,
      toMs: 21_000,
    })),
    crashingCalls: ids.map((id) => createCall(id, { sharedParts })),
    arrivals: ids.map((requestId) => ({
      ...ARRIVAL,
      isLeaving: false,
      retryAfterMs: undefined,
      requestId,
      atMs: 23_500,
      sharedParts,
    })),
  };
}

/** Calls with a request that reaches replicas 4 s after its third crash. */
function createRequestCrashRecords(
  count: number,
  arrivalCount: number,
): Partial<SoakRecords> {
  const requestBody = "ends 0";
  const calls = Array.from({ length: count }, (_, index) =>
    createCall(`y${index}`, { requestBody, sentAtMs: 24_200 + index }),
  );
  return {
    crashingRequests: calls,
    requestCrashes: [20_000, 20_100, 20_200].map((atMs, index) => ({
      body: requestBody,
      replica: `i-${index}`,
      atMs,
    })),
    arrivals: calls.slice(0, arrivalCount).map(({ id, sentAtMs }) => ({
      ...ARRIVAL,
      isLeaving: false,
      retryAfterMs: undefined,
      requestId: id,
      atMs: sentAtMs,
    })),
  };
}

function judge(records: Partial<SoakRecords>) {
  return judgeSoak({
    calls: [CALL],
    runs: [RUN],
    arrivals: [],
    crashingCalls: [],
    crashingRequests: [],
    requestCrashes: [],
    ownStalls: [],
    disturbances: [],
    withdrawals: new Map(),
    leavings: new Map(),
    unexpectedExits: [],
    memoryPeaks: [],
    unserved: [],
    ...records,
  });
}

function listViolated(records: Partial<SoakRecords>): Property[] {
  const counts = judge(records).countViolations();
  return PROPERTIES.filter((property) => counts[property] > 0);
}

describe("checks of the soak on the platform's edge", () => {
  it("find nothing wrong in a call that was served", () => {
    assert.deepEqual(listViolated({}), []);
    const stream = { ...CALL, route: "stream", body: STREAM.join("") } as const;
    assert.deepEqual(listViolated({ calls: [stream] }), []);
  });

  // A check that can't fail proves nothing.
  const cases: [Property, Partial<SoakRecords>][] = [
    ["ranTwice", { runs: [RUN, { ...RUN, replica: "i-1" }] }],
    ["falseNotRun", { calls: [{ ...CALL, status: 503 }] }],
    ["wrongAnswer", { calls: [{ ...CALL, body: PLAIN_ANSWER_BODY.slice(1) }] }],
    ["wrongAnswer", { calls: [{ ...CALL, stamp: "stamp-i-1" }] }],
    [
      "wrongStream",
      {
        calls: [
          { ...CALL, route: "stream", body: STREAM.slice(0, -1).join("") },
        ],
      },
    ],
    [
      "wrongStream",
      {
        calls: [{ ...CALL, route: "stream", body: STREAM.slice(1).join("") }],
      },
    ],
    ["foreignAnswer", { calls: [{ ...CALL, namedIds: ["c1", "c0"] }] }],
    ["foreignAnswer", { calls: [{ ...CALL, namedIds: ["c1"] }] }],
    [
      "foreignAnswer",
      { calls: [{ ...CALL, status: 500, namedIds: ["c0", "c0"] }] },
    ],
    ["withdrawnKeyServed", { withdrawals: new Map([["key-a", 14_000]]) }],
    ["leavingReplicaServed", { leavings: new Map([["i-0", 17_000]]) }],
    [
      "leavingWordIgnored",
      {
        calls: [CALL, LATER],
        runs: [RUN, { ...RUN, requestId: "c2" }],
        arrivals: [ARRIVAL, LATER_ARRIVAL].map((arrival) => ({
          ...arrival,
          retryAfterMs: undefined,
        })),
      },
    ],
    ["limitExceeded", createLimitRecords(12)],
    ["crashingPartSent", createCrashRecords(4)],
    ["crashingRequestSent", createRequestCrashRecords(6, 4)],
    [
      "soundPromptRefused",
      {
        calls: [{ ...CALL, status: 503, retryAfterS: 60, stamp: "" }],
        runs: [],
      },
    ],
    [
      "soundPromptRefused",
      {
        calls: [{ ...CALL, status: 503, body: "prompt-held: x", stamp: "" }],
        runs: [],
      },
    ],
    [
      "pauseIgnored",
      {
        calls: [CALL, LATER],
        runs: [RUN, { ...RUN, requestId: "c2" }],
        arrivals: [
          { ...ARRIVAL, isLeaving: false },
          ...Array.from({ length: 3 }, () => ({
            ...LATER_ARRIVAL,
            isLeaving: false,
            retryAfterMs: undefined,
          })),
        ],
      },
    ],
    ["lostRequest", { calls: [{ ...CALL, status: undefined }] }],
    [
      "cutByPlannedStop",
      {
        calls: [{ ...CALL, isComplete: false }],
        disturbances: [STOP],
      },
    ],
    [
      "cutBySilence",
      {
        calls: [{ ...CALL, route: "stream", isComplete: false, body: "" }],
        runs: [{ ...RUN, wasSilent: true }],
        disturbances: [SILENCE, STOP],
      },
    ],
    [
      "cutBySilence",
      {
        calls: [{ ...CALL, status: undefined }],
        runs: [{ ...RUN, wasSilent: true }],
        disturbances: [SILENCE],
      },
    ],
    ["answeredLate", { calls: [{ ...CALL, endedAtMs: 22_100 }] }],
    ["memoryExceeded", { memoryPeaks: [{ entry: "entry-0", megabytes: 187 }] }],
    ["unexpectedExit", { unexpectedExits: ["entry-0"] }],
    ["notRecovered", { unserved: ["c9"] }],
  ];
  for (const [property, records] of cases) {
    it(`find ${property}`, () => {
      assert.deepEqual(listViolated(records), [property]);
    });
  }

  it("ignore a call that a fault at the entry, replica or store broke off", () => {
    const calls = [{ ...CALL, status: undefined }];
    for (const member of ["entry-0", "i-0", undefined]) {
      const fault = { kind: "cut", member, fromMs: 19_900, toMs: 20_050 };
      assert.deepEqual(listViolated({ calls, disturbances: [fault] }), []);
    }
    const other = { kind: "cut", member: "i-9", fromMs: 19_900, toMs: 20_050 };
    const broken = listViolated({ calls, disturbances: [other] });
    assert.deepEqual(broken, ["lostRequest"]);
  });

  it("accept what a silence lets an entry do", () => {
    const runs = [{ ...RUN, wasSilent: true }];
    const cut: CallRecord = { ...CALL, status: undefined };
    const listFor = (call: CallRecord, ...faults: Disturbance[]) =>
      listViolated({ calls: [call], runs, disturbances: [SILENCE, ...faults] });
    assert.deepEqual(listFor({ ...CALL, endedAtMs: 21_100 }), []);
    const refused: CallRecord = { ...CALL, route: "safe", status: 503 };
    assert.deepEqual(listFor(refused), []);
    assert.deepEqual(listFor({ ...cut, endedAtMs: 21_490 }), []);
    const crash = { ...SILENCE, kind: "crash", fromMs: 20_060 };
    assert.deepEqual(listFor(cut, crash), []);
    // A refusal or a fault elsewhere does not excuse it.
    const other = { ...crash, member: "i-1" };
    assert.deepEqual(listFor(cut, other), ["cutBySilence"]);
    assert.ok(judge({}).listNotExercised().includes("cutBySilence"));
  });

  it("accept only an order on which a replica works when the grace ends", () => {
    const call: CallRecord = {
      ...CALL,
      status: undefined,
      endedAtMs: 22_900,
      deadlineMs: 6_000,
    };
    const late = { ...call, sentAtMs: 22_050 };
    const run = { ...RUN, endedAtMs: 22_760 };
    const stop = { ...STOP, toMs: 23_000 };
    const listFor = (judged: CallRecord, ownRun: RunRecord) =>
      listViolated({ calls: [judged], runs: [ownRun], disturbances: [stop] });
    assert.deepEqual(listFor(call, run), []);
    const early = { ...run, endedAtMs: 21_000 };
    assert.deepEqual(listFor(call, early), ["cutByPlannedStop"]);
    const lateRun = { ...run, startedAtMs: 22_100 };
    assert.deepEqual(listFor(late, lateRun), ["cutByPlannedStop"]);
  });

  it("accept a call that no process can have read in time", () => {
    const call = { ...CALL, status: undefined, endedAtMs: 20_400 };
    const listFor = (goneAtMs: number, isUnaccepted = false) =>
      listViolated({
        calls: [{ ...call, isUnaccepted }],
        runs: [],
        disturbances: [{ ...STOP, goneAtMs }],
      });
    assert.deepEqual(listFor(20_190), []);
    assert.deepEqual(listFor(20_210), ["cutByPlannedStop"]);
    // The next process can have read it.
    assert.deepEqual(listFor(19_990), ["cutByPlannedStop"]);
    assert.deepEqual(listFor(19_990, true), []);
    // The soak stood still while the request waited in its link.
    const listStalled = (toMs: number) =>
      listViolated({
        calls: [call],
        runs: [],
        disturbances: [STOP],
        ownStalls: [{ fromMs: 19_900, toMs }],
      });
    assert.deepEqual(listStalled(20_210), []);
    assert.deepEqual(listStalled(20_190), ["cutByPlannedStop"]);
  });

  it("accept requests that crash replicas while few reach them", () => {
    assert.deepEqual(listViolated(createRequestCrashRecords(6, 3)), []);
    const unjudged = judge(createRequestCrashRecords(3, 3));
    assert.ok(unjudged.listNotExercised().includes("crashingRequestSent"));
    const frozen = { member: "entry-0", fromMs: 22_000, toMs: 22_500 };
    const excused = judge({
      ...createRequestCrashRecords(6, 6),
      disturbances: [{ kind: "freeze", ...frozen }],
    });
    assert.ok(excused.listNotExercised().includes("crashingRequestSent"));
  });

  it("accept what a limit allows, and what a fault excuses", () => {
    assert.deepEqual(listViolated(createLimitRecords(11)), []);
    const freeze = {
      kind: "freeze",
      member: "entry-0",
      fromMs: 22_000,
      toMs: 24_000,
    };
    const excused = createLimitRecords(12, { disturbances: [freeze] });
    assert.deepEqual(listViolated(excused), []);
    const early = createLimitRecords(12);
    const untold = early.calls?.map((call) => ({ ...call, stamp: "stamp-x" }));
    const { limitExceeded } = judge({
      ...early,
      calls: untold,
    }).countViolations();
    assert.equal(limitExceeded, 0);
  });
});
