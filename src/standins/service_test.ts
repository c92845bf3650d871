import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpService } from "../adapters/index.js";
import type { RunEntry } from "./service.js";
import {
  expectFailure,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startTestStandin,
  TEST_TIMEOUT_MS,
  waitUntil,
} from "./testing.js";

interface ServiceRecord {
  maxRunningWhileCold: number;
  coldOverloads: object[];
  runs: RunEntry[];
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
      NEVER_ABORTED,
    );
  const readRuns = async () => (await standin.readRecord<ServiceRecord>()).runs;
  return { standin, service, order, readRuns };
}

describe("service stand-in", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("records every run, so that a test can detect that an order ran twice", async (t) => {
    const { order, readRuns, service } = await startService(t);
    const reply = await expectOk(order("r1"));
    assert.equal(JSON.parse(String(reply.body)).requestId, "r1");
    assert.notEqual(reply.serviceStartId, "");
    await order("r1");
    const get = { method: "GET", body: "", contentType: "" };
    const stockCheck = { ...get, path: "/stock/p%201?q=1" };
    await expectOk(service.callService(stockCheck, NEVER_ABORTED));
    const runs = await readRuns();
    assert.deepEqual(
      runs.map(({ idempotencyKey, outcome }) => [idempotencyKey, outcome]),
      [
        ["key-r1", "ran"],
        ["key-r1", "ran"],
        ["", "ran"],
      ],
    );
  });

  it("loses the reply to a run that took effect", async (t) => {
    const { order, standin, readRuns } = await startService(t);
    await standin.control({ loseReplyShare: 1 });
    await expectFailure(order("r1"), "broken unknown");
    const [run] = await readRuns();
    assert.deepEqual([run?.outcome, run?.replyLost], ["ran", true]);
  });

  it("runs an order though its caller timed out", async (t) => {
    const { order, readRuns } = await startService(t, { workMs: 200 });
    await expectFailure(order("r1", 50), "timeout unknown");
    await waitUntil(async () => (await readRuns())[0]?.outcome === "ran");
  });

  it("fails all running calls when a cold service gets more than its cold slots", async (t) => {
    const options = { coldStartMs: 1_000, slotsWhileCold: 2, workMs: 400 };
    const { order, standin } = await startService(t, options);
    const coldCalls = ["r1", "r2", "r3"].map((id) => order(id));
    for (const call of coldCalls) await expectFailure(call, "failed unknown");
    const record = await standin.readRecord<ServiceRecord>();
    assert.equal(record.maxRunningWhileCold, 3);
    assert.equal(record.coldOverloads.length, 1);
    assert.ok(record.runs.every((run) => run.outcome !== "ran"));
    await sleep(options.coldStartMs);
    const warmResults = await Promise.all(
      ["r4", "r5", "r6"].map((id) => order(id)),
    );
    assert.ok(warmResults.every((result) => result.isOk()));
  });

  it("refuses a call above its slots without running it", async (t) => {
    const { order, readRuns } = await startService(t, {
      slots: 1,
      workMs: 400,
    });
    const running = order("r1");
    await waitUntil(async () => (await readRuns()).length === 1);
    await expectFailure(order("r2"), "overloaded no");
    await running;
    assert.deepEqual(
      (await readRuns()).map((run) => run.requestId),
      ["r1"],
    );
  });
});
