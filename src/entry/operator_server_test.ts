import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { describe, it, type TestContext } from "node:test";
import { err, ok } from "neverthrow";
import type { CommitFailure } from "../configuration/ticket_commit.js";
import type { TicketAnswer } from "../configuration/ticket_service.js";
import { createEmptyState, createRefusal, hashSha256 } from "../core/index.js";
import {
  createOperatorServer,
  type OperatorServerOptions,
} from "./operator_server.js";

const TICKET = { number: 4, rollouts: [{ version: "a", share: 0.5 }] };
const OPERATOR_HEADERS = { authorization: "Bearer secret" };
const ACCEPTED: TicketAnswer = {
  kind: "accepted",
  number: 4,
  revision: 9,
  repeated: false,
  watchers: ["e1"],
  holding: ["e1"],
};

async function startOperatorServer(
  t: TestContext,
  options: Partial<OperatorServerOptions> = {},
) {
  const ignore = () => {};
  const server = createOperatorServer({
    tickets: {
      submit: async () => ok(ACCEPTED),
      getStatus: async (number) => ({ kind: "unknown", number, isFresh: true }),
    },
    config: { state: createEmptyState() },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    tokenSha256: hashSha256("secret"),
    describeStatus: () => ({ entry: "e1" }),
    createReport: async (kind, hours) => ({ text: kind, report: { hours } }),
    signal: new AbortController().signal,
    ...options,
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return async (
    path: string,
    body?: string,
    headers: object = OPERATOR_HEADERS,
  ) => {
    const answer = await fetch(`http://127.0.0.1:${port}${path}`, {
      method: body === undefined ? "GET" : "POST",
      body,
      headers: { ...headers },
      signal: AbortSignal.timeout(5_000),
    });
    const value = (await answer.json()) as Record<string, unknown>;
    if (answer.status >= 400) {
      assert.ok(Number(answer.headers.get("retry-after")) >= 1);
      assert.equal(value.status, answer.status);
    }
    return { status: answer.status, value };
  };
}

describe("operator server", { timeout: 30_000 }, () => {
  it("refuses every route without the operator token", async (t) => {
    const call = await startOperatorServer(t);
    for (const headers of [{}, { authorization: "Bearer wrong" }]) {
      for (const path of [
        "/status",
        "/state",
        "/tickets/1",
        "/reports/cost",
        "/x",
      ]) {
        assert.equal((await call(path, undefined, headers)).status, 401);
      }
      const text = JSON.stringify(TICKET);
      assert.equal((await call("/tickets", text, headers)).status, 401);
    }
    const callServerWithoutToken = await startOperatorServer(t, {
      tokenSha256: undefined,
    });
    assert.equal((await callServerWithoutToken("/status")).status, 401);
  });

  it("serves status, state and both reports, and refuses other routes", async (t) => {
    const call = await startOperatorServer(t);
    assert.deepEqual((await call("/status")).value, { entry: "e1" });
    assert.equal((await call("/state")).value.revision, 0);
    const { value } = await call("/reports/burn?hours=3");
    assert.deepEqual(value, { text: "burn", report: { hours: 3 } });
    const { value: cost } = await call("/reports/cost");
    assert.deepEqual(cost, { text: "cost", report: { hours: 24 } });
    for (const hours of ["0", "-1", "x", "1e9"]) {
      const { status, value } = await call(`/reports/cost?hours=${hours}`);
      assert.deepEqual([status, value.code], [400, "bad-request"]);
    }
    assert.equal((await call("/nothing")).value.code, "not-found");
  });

  it("answers a report with its refusal while the store is unavailable", async (t) => {
    const refusal = createRefusal("store-unavailable", "down");
    const createReport = async () => refusal;
    const call = await startOperatorServer(t, { createReport });
    assert.equal((await call("/reports/burn")).status, 503);
  });

  it("answers 200 to an accepted ticket and 202 to one still spreading", async (t) => {
    for (const [kind, status] of [
      ["accepted", 200],
      ["spreading", 202],
    ] as const) {
      const submit = async () => ok({ ...ACCEPTED, kind });
      const getStatus = async () => assert.fail();
      const tickets = { submit, getStatus };
      const call = await startOperatorServer(t, { tickets });
      const answer = await call("/tickets", JSON.stringify(TICKET));
      const value = { number: 4, state: kind, revision: 9 };
      assert.deepEqual(answer, { status, value });
    }
  });

  // The status must tell an operator whether a retry makes sense.
  const failures: [CommitFailure, number][] = [
    [{ kind: "superseded", subject: "rollout/a", by: 7 }, 409],
    [{ kind: "number-taken", number: 4, revision: 2 }, 409],
    [{ kind: "outdated-hold", version: "a" }, 409],
    [{ kind: "dangling-reference", subject: "s", reference: "r" }, 400],
    [{ kind: "invalid-ticket", key: "/", value: "1", expected: "x" }, 400],
    [{ kind: "too-large", bytes: 2_000_000 }, 413],
    [{ kind: "store-unavailable", detail: "down" }, 503],
    [{ kind: "outcome-unknown", detail: "lost" }, 504],
  ];
  for (const [failure, status] of failures) {
    it(`answers a ticket that is ${failure.kind} with ${status}`, async (t) => {
      const submit = async () => err(failure);
      const getStatus = async () => assert.fail();
      const call = await startOperatorServer(t, {
        tickets: { submit, getStatus },
      });
      const answer = await call("/tickets", JSON.stringify(TICKET));
      assert.equal(answer.status, status);
      assert.equal(answer.value.code, failure.kind);
      const isOutcomeUnknown = failure.kind === "outcome-unknown";
      assert.equal(answer.value.ran, isOutcomeUnknown ? "unknown" : "no");
    });
  }

  it("names the line and key of an error in a ticket", async (t) => {
    const call = await startOperatorServer(t);
    const text = '{\n"number": 4,\n"rollouts": [{"version": "a", "share": 7}]}';
    const { status, value } = await call("/tickets", text);
    assert.equal(status, 400);
    const detail = "ticket:3: rollouts.0.share: got 7, expected must be <= 1";
    assert.equal(value.detail, detail);
    const tooLong = await call("/tickets", " ".repeat(1_000_001));
    assert.equal(tooLong.value.code, "body-too-large");
  });

  it("sends a ticket's status, and refuses unknown and invalid numbers", async (t) => {
    const submit = async () => ok(ACCEPTED);
    const processes = [
      { process: "e1", revision: 9 },
      { process: "p1", revision: undefined },
    ];
    const getStatus = async (number: number) =>
      number === 4
        ? { kind: "accepted" as const, number, revision: 9, processes }
        : { kind: "unknown" as const, number, isFresh: false };
    const call = await startOperatorServer(t, {
      tickets: { submit, getStatus },
    });
    const { value } = await call("/tickets/4");
    const holders = { e1: 9, p1: 0 };
    assert.deepEqual(value, {
      number: 4,
      state: "accepted",
      revision: 9,
      holders,
    });
    const unknown = await call("/tickets/5");
    assert.equal(unknown.value.code, "unknown-ticket");
    assert.match(String(unknown.value.detail), /not up to date/);
    for (const text of ["x", "0", "-1", "1.5", "", "9".repeat(20)]) {
      const answer = await call(`/tickets/${text}`);
      assert.equal(answer.value.code, "bad-request", text);
    }
  });
});
