import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { applyTicket, createEmptyState, hashDocument } from "../core/index.js";
import type { FleetState, Ticket } from "../schema/index.js";
import { createSetupTicket } from "../testbed/workloads.js";
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
import { checkExits } from "./check_logs.js";
import { checkSessions } from "./check_sessions.js";
import {
  checkEngineOrders,
  checkRevisionAge,
  checkTickets,
} from "./check_tickets.js";
import { Findings, PROPERTIES, type Property } from "./findings.js";
import { type CallRecord, Journal, type TicketRecord } from "./journal.js";
import { ALL_VERSIONS, WORKLOADS } from "./layout.js";
import { RevisionHistory } from "./revision_history.js";
import type { BackEndRun, StoreWrite } from "./standin_records.js";
import { createDrainOf, createWithdrawalOf } from "./ticket_changes.js";

const ANSWER = {
  kind: "answered",
  requestId: "r1",
  version: "small-1",
  revision: 2,
  text: "text",
  isWhole: true,
} as const;

function createCall(patch: Partial<CallRecord> = {}): CallRecord {
  return {
    kind: "chat",
    entry: "entry-1",
    account: "installers",
    requestClass: "part_match",
    sentMs: 50_000,
    doneMs: 50_100,
    isAbandoned: false,
    outcome: ANSWER,
    ...patch,
  };
}

function createRun(patch: Partial<BackEndRun> = {}): BackEndRun {
  return {
    endpoint: "engine-1",
    dataCentre: "dc1",
    kind: "engine",
    requestId: "r1",
    name: "small-1",
    idempotencyKey: "",
    arrivedMs: 50_000,
    endMs: 50_050,
    hasRun: true,
    outcome: "done",
    reason: "",
    ...patch,
  };
}

/** Commits the tickets one second apart, each accepted 100 ms later. */
function createHistory(changes: readonly Ticket[]) {
  const setup = createSetupTicket(1, WORKLOADS, ["dc1", "dc2"], ALL_VERSIONS);
  const writes: StoreWrite[] = [];
  const tickets: TicketRecord[] = [];
  let state: FleetState = createEmptyState();
  for (const [index, ticket] of [setup, ...changes].entries()) {
    const outcome = applyTicket(state, ticket, hashDocument(ticket));
    const applied = outcome._unsafeUnwrap();
    if (applied.kind !== "applied") throw new Error("Not applied");
    state = applied.state;
    const { revision } = state;
    const atMs = 1_000 * (index + 1);
    const key = `config/revisions/${revision}`;
    const value = { state, cause: { ticket } };
    writes.push({ atMs, key, version: 1, value });
    const head = { revision, key };
    writes.push({ atMs, key: "config/head", version: index + 1, value: head });
    tickets.push({
      ticket,
      entry: "entry-1",
      sentMs: atMs - 100,
      doneMs: atMs + 100,
      status: 200,
      result: "accepted",
      revision,
    });
  }
  return { writes, tickets, history: new RevisionHistory(writes, tickets) };
}

function judge(check: (findings: Findings) => void) {
  const findings = new Findings(PROPERTIES);
  check(findings);
  const counts = Object.entries(findings.countViolations());
  return Object.fromEntries(counts.filter(([, count]) => count > 0)) as Partial<
    Record<Property, number>
  >;
}

// Each test guards against a check that passes whatever the records say.
describe("the soak's checks", () => {
  it("count a run that a ticket forbids 11 s after its acceptance, not before", () => {
    const withdrawal = createWithdrawalOf("small-1").createTicket(2);
    const drain = createDrainOf("dc1").createTicket(3);
    const { history } = createHistory([withdrawal, drain]);
    const judgeAt = (arrivedMs: number) =>
      judge((findings) =>
        checkForbiddenRuns(
          {
            runs: [createRun({ arrivedMs })],
            history,
            calls: [createCall()],
            leavings: [],
          },
          findings,
        ),
      );
    assert.deepEqual(judgeAt(13_000), {});
    assert.deepEqual(judgeAt(13_200), { withdrawnServed: 1 });
    assert.deepEqual(judgeAt(14_200), {
      withdrawnServed: 1,
      drainedDataCentreServed: 1,
    });
  });

  it("count runs without permission and runs at a leaving host", () => {
    const { history } = createHistory([]);
    const account = "farms-unknown";
    const leavings = [{ subject: "engine-1", fromMs: 30_000, toMs: 60_000 }];
    const input = { runs: [createRun()], history, leavings: [] };
    assert.deepEqual(
      judge((f) =>
        checkForbiddenRuns({ ...input, calls: [createCall({ account })] }, f),
      ),
      { notAllowed: 1 },
    );
    assert.deepEqual(
      judge((f) => checkForbiddenRuns({ ...input, calls: [], leavings }, f)),
      { leavingEndpointServed: 1 },
    );
  });

  it("count missing and double bills", () => {
    const receipt = { requestId: "r1" };
    const page = { kind: "page", receipts: [receipt] };
    const write = { atMs: 1, version: 1, key: "ledger/a/1", value: page };
    const other = { ...write, key: "ledger/recovered/r1", value: { receipt } };
    const calls = [createCall()];
    assert.deepEqual(
      judge((f) => checkBills(calls, [], f)),
      { unbilled: 1 },
    );
    assert.deepEqual(
      judge((f) => checkBills(calls, [write], f)),
      {},
    );
    assert.deepEqual(
      judge((f) => checkBills(calls, [write, other], f)),
      { billedTwice: 1 },
    );
  });

  it('count partial answers, false "not run" refusals and second runs', () => {
    const cut = createCall({ outcome: { ...ANSWER, isWhole: false } });
    assert.deepEqual(
      judge((f) => checkAnswers([cut], f)),
      { wrongOrPartialAnswer: 1 },
    );
    const refused = createCall({
      outcome: {
        kind: "refused",
        requestId: "r1",
        code: "capacity",
        ran: "no",
        retryAfter: "1",
      },
    });
    assert.deepEqual(
      judge((f) => checkNotRunRefusals([refused], [createRun()], f)),
      { falseNotRun: 1 },
    );
    const order = createRun({ idempotencyKey: "k" });
    assert.deepEqual(
      judge((f) => checkDuplicateRuns([order, order], f)),
      { ranTwice: 1 },
    );
  });

  it("count sessions that change version without a reason or a notice", () => {
    const { history } = createHistory([
      createWithdrawalOf("small-1").createTicket(2),
    ]);
    const session = "s1";
    const moveAt = (sentMs: number, version: string) => [
      createCall({ session, sentMs, doneMs: sentMs + 1 }),
      createCall({
        session,
        sentMs: sentMs + 10,
        doneMs: sentMs + 20,
        outcome: { ...ANSWER, version },
      }),
    ];
    const judgeMove = (calls: CallRecord[], f: Findings) =>
      checkSessions(calls, history, f);
    const unreported = moveAt(2_000, "large-1");
    assert.deepEqual(
      judge((f) => judgeMove(unreported, f)),
      { sessionMoved: 1 },
    );
    const reported = unreported.map((call) => ({
      ...call,
      outcome: { ...ANSWER, ...call.outcome, sessionMoved: "withdrawn" },
    }));
    assert.deepEqual(
      judge((f) => judgeMove(reported, f)),
      {},
    );
    const early = moveAt(1_500, "large-1");
    assert.deepEqual(
      judge((f) => judgeMove(early, f)),
      { sessionMoved: 1 },
    );
  });

  it("count reverted tickets, false ticket refusals, old orders and old answers", () => {
    const { writes, tickets, history } = createHistory([
      createDrainOf("dc1").createTicket(2),
      createDrainOf("dc2").createTicket(3),
    ]);
    assert.deepEqual(
      judge((f) => checkTickets(tickets, history, f)),
      {},
    );
    const writesWithoutDocument = writes.filter(
      (write) => write.key !== "config/revisions/2",
    );
    const remainingWrites = writesWithoutDocument.filter(
      ({ value }) => (value as { revision?: number }).revision !== 2,
    );
    const shortenedHistory = new RevisionHistory(remainingWrites, tickets);
    const counted = judge((f) => checkTickets(tickets, shortenedHistory, f));
    assert.deepEqual(counted, { ticketReverted: 2 });
    const refused = tickets.map((record) => ({
      ...record,
      result: "store-unavailable",
      revision: 0,
    }));
    assert.deepEqual(
      judge((f) => checkTickets(refused.slice(1), history, f)),
      { ticketReverted: 2 },
    );
    const order = {
      endpoint: "engine-1",
      version: "small-2",
      fence: 1,
      refused: false,
      stale: true,
      overlapping: false,
    };
    assert.deepEqual(
      judge((f) => checkEngineOrders([order], f)),
      { ticketReverted: 1 },
    );
    const old = createCall({ outcome: { ...ANSWER, revision: 1 } });
    assert.deepEqual(
      judge((f) => checkRevisionAge([old], history, f)),
      { ticketLate: 1 },
    );
  });

  it("count cold overloads only once the endpoint must know that it is cold", () => {
    const journal = new Journal();
    const subject = "engine-1";
    journal.colds.push({ subject, fromMs: 10_000, toMs: 15_000 });
    const judgeAt = (...times: number[]) =>
      judge((f) =>
        checkColdOverloads(
          {
            journal,
            runs: [],
            overloads: times.map((atMs) => ({ endpoint: subject, atMs })),
            engines: new Set([subject]),
          },
          f,
        ),
      );
    assert.deepEqual(judgeAt(10_100, 10_500), {});
    assert.deepEqual(judgeAt(10_100, 10_700), { coldOverload: 1 });
    assert.deepEqual(judgeAt(14_000), { coldOverload: 1 });
    assert.deepEqual(judgeAt(15_001), {});
  });

  it("count calls lost by a live entry, calls cut by a stop, and crashes", () => {
    const journal = new Journal();
    const broken = { kind: "broken", detail: "reset" } as const;
    journal.calls.push(createCall({ outcome: broken }));
    const member = "entry-1";
    journal.lives.push({ member, startedMs: 1_000 });
    assert.deepEqual(
      judge((f) => checkLostRequests(journal, f)),
      { lostRequest: 1 },
    );
    journal.lives[0] = { member, startedMs: 1_000, killedMs: 50_050 };
    assert.deepEqual(
      judge((f) => checkLostRequests(journal, f)),
      {},
    );
    const stopRequestedMs = 50_050;
    const stop = { member, startedMs: 1_000, stopRequestedMs, endedMs: 51_000 };
    journal.lives[0] = { ...stop, status: { code: 0 } };
    assert.deepEqual(
      judge((f) => checkPlannedStops(journal, f)),
      { cutByPlannedStop: 1 },
    );
    journal.lives[0] = { member, startedMs: 1_000, endedMs: 51_000 };
    assert.deepEqual(
      judge((f) => checkExits(journal, f)),
      { lostRequest: 1 },
    );
  });
});
