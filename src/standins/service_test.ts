import assert from "node:assert/strict";
import { it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpService } from "../adapters/index.js";
import { NEVER, startTestStandin, TEST_TIMEOUT_MS } from "./testing.js";

const limits = { timeout: 2 * TEST_TIMEOUT_MS };

interface ServiceRecord {
  maxRunningWhileCold: number;
  runs: {
    requestId: string;
    idempotencyKey: string;
    outcome: string;
    replyLost: boolean;
  }[];
}

async function startService(context: TestContext, options: object = {}) {
  const standin = await startTestStandin(context, "service", options);
  const service = createHttpService(standin.target);
  const order = (requestId: string, timeoutMs = TEST_TIMEOUT_MS) =>
    createHttpService({ ...standin.target, timeoutMs }).callService(
      {
        method: "POST",
        path: "/order/lines",
        body: `{"id":"${requestId}"}`,
        contentType: "application/json",
        requestId,
        idempotencyKey: `key-${requestId}`,
      },
      NEVER,
    );
  const readRuns = async () => (await standin.readRecord<ServiceRecord>()).runs;
  return { standin, service, order, readRuns };
}

it(
  "records every run, so that a second run of an order shows",
  limits,
  async (t) => {
    const { order, readRuns, service } = await startService(t);
    const reply = (await order("r1"))._unsafeUnwrap();
    assert.equal(JSON.parse(String(reply.body)).requestId, "r1");
    assert.notEqual(reply.serviceStartId, "");
    await order("r1");
    const look = {
      method: "GET",
      path: "/stock/p%201?q=1",
      body: "",
      contentType: "",
    };
    assert.equal(
      (await service.callService(look, NEVER))._unsafeUnwrap().status,
      200,
    );
    const runs = await readRuns();
    assert.deepEqual(
      runs.map(({ idempotencyKey, outcome }) => [idempotencyKey, outcome]),
      [
        ["key-r1", "ran"],
        ["key-r1", "ran"],
        ["", "ran"],
      ],
    );
  },
);

it("loses the reply of a run that took effect", limits, async (t) => {
  const { order, standin, readRuns } = await startService(t);
  await standin.control({ loseReplyShare: 1 });
  const failure = (await order("r1"))._unsafeUnwrapErr();
  assert.deepEqual([failure.kind, failure.ran], ["broken", "unknown"]);
  const [run] = await readRuns();
  assert.deepEqual([run?.outcome, run?.replyLost], ["ran", true]);
});

it("runs an order that its caller gave up on", limits, async (t) => {
  const { order, readRuns } = await startService(t, { workMs: 200 });
  const failure = (await order("r1", 50))._unsafeUnwrapErr();
  assert.deepEqual([failure.kind, failure.ran], ["timeout", "unknown"]);
  await sleep(300);
  assert.deepEqual(
    (await readRuns()).map((run) => run.outcome),
    ["ran"],
  );
});

it(
  "fails its runs when a cold service gets more than its cold slots",
  limits,
  async (t) => {
    const { order, standin } = await startService(t, {
      coldStartMs: 400,
      slotsWhileCold: 2,
      workMs: 100,
    });
    const results = await Promise.all(
      ["r1", "r2", "r3"].map((id) => order(id)),
    );
    for (const result of results) {
      const failure = result._unsafeUnwrapErr();
      assert.deepEqual([failure.kind, failure.ran], ["failed", "unknown"]);
    }
    const record = await standin.readRecord<ServiceRecord>();
    assert.equal(record.maxRunningWhileCold, 3);
    assert.ok(record.runs.every((run) => run.outcome !== "ran"));
    await sleep(400);
    const warm = await Promise.all(["r4", "r5", "r6"].map((id) => order(id)));
    assert.ok(warm.every((result) => result.isOk()));
  },
);

it("refuses what exceeds its slots without running it", limits, async (t) => {
  const { order, readRuns } = await startService(t, { slots: 1, workMs: 100 });
  const held = order("r1");
  await sleep(30);
  const failure = (await order("r2"))._unsafeUnwrapErr();
  assert.deepEqual([failure.kind, failure.ran], ["overloaded", "no"]);
  await held;
  assert.deepEqual(
    (await readRuns()).map((run) => run.requestId),
    ["r1"],
  );
});
