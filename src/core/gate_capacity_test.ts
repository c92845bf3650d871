import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  COMPLETED,
  createDispatch,
  createTestGate,
  describeDecision,
  FAILED,
  listStarts,
} from "./gate_fixtures_test.js";
import { SlowStart } from "./slow_start.js";

describe("gate capacity", () => {
  it("refuses at once, with a retry time, work that would wait past its deadline", () => {
    const { dispatch, finish, gate, advance } = createTestGate({ slots: 1 });
    dispatch({ requestId: "r0" });
    advance(2_000);
    finish("r0/1", 2_000);
    dispatch({ requestId: "r0", attempt: 2 }, 2_000);
    const refused = dispatch({ remainingMs: 1_900 }, 2_000);
    assert.equal(describeDecision(refused), "capacity");
    const frame = gate.findAttempt("r1/1")?.frames.lastFrame;
    assert.equal(frame?.refusal?.retryAfterMs, 2_000);
    const kept = dispatch({ attempt: 2, remainingMs: 2_100 }, 2_000);
    assert.equal(describeDecision(kept, "r1/2"), "none");
  });

  it("starts urgent work first and shares slots fairly between accounts", () => {
    const { dispatch, finish } = createTestGate({ slots: 1 });
    const remainingMs = 3_000_000;
    dispatch({ requestId: "r0", remainingMs });
    for (const n of [1, 2, 3]) dispatch({ requestId: `p${n}`, remainingMs });
    dispatch({ requestId: "q1", account: "ropes", remainingMs });
    dispatch({ requestId: "u1", priority: "urgent", remainingMs });
    const order: string[] = [];
    let key = "r0/1";
    for (let nowMs = 10; key !== ""; nowMs += 10) {
      key = listStarts(finish(key, nowMs))[0] ?? "";
      order.push(key);
    }
    assert.deepEqual(order, ["u1/1", "q1/1", "p1/1", "p2/1", "p3/1", ""]);
  });

  it("limits a cold engine to its cold slots until service is normal for a while", () => {
    const { gate, dispatch, finish, tick } = createTestGate({
      slots: 8,
      slotsWhileCold: 1,
    });
    const running: string[] = [];
    let nowMs = 0;
    let count = 0;
    const fill = () => {
      for (let index = 0; index < 20; index += 1) {
        count += 1;
        const fields = { requestId: `r${count}`, remainingMs: 600_000 };
        running.push(...listStarts(dispatch(fields, nowMs)));
      }
    };
    fill();
    assert.equal(running.length, 1);
    for (let round = 0; round < 40; round += 1) {
      nowMs += 100;
      for (const key of running.splice(0)) {
        running.push(...listStarts(finish(key, nowMs)));
      }
      fill();
    }
    assert.equal(gate.inFlight, 8);
    // The engine turned cold without a report; the first failure reveals it.
    for (const key of running.splice(0)) {
      assert.deepEqual(listStarts(finish(key, nowMs, FAILED)), []);
    }
    assert.equal(gate.describeStatus().limit, 1);
    // The engine may still run the broken calls for a moment.
    assert.deepEqual(listStarts(tick(nowMs + 150)), []);
    nowMs += 250;
    running.push(...listStarts(tick(nowMs)));
    // After five seconds of normal service the limit may not grow yet.
    for (let round = 0; round < 50; round += 1) {
      assert.equal(gate.inFlight, 1);
      nowMs += 100;
      const next = listStarts(finish(running.splice(0)[0] ?? "", nowMs));
      running.push(...next);
      fill();
    }
  });

  it("restarts at a new engine start id and at a cold flag", () => {
    const { gate, report } = createTestGate({ slots: 4, slotsWhileCold: 2 });
    let nowMs = 0;
    const serve = (seconds: number, startId = "") => {
      const endMs = nowMs + seconds * 1_000;
      for (; nowMs < endMs; nowMs += 100) {
        const requestId = `r${nowMs}`;
        const request = createDispatch({ requestId });
        gate.handle({ type: "dispatch", request }, nowMs);
        const key = `${requestId}/1`;
        const outcome = { ...COMPLETED, startId };
        gate.handle({ type: "finished", key, outcome }, nowMs + 50);
      }
    };
    // A plain service sends no report and may be cold for 2 s after its start.
    serve(2.5);
    assert.equal(gate.describeStatus().limit, 2);
    serve(1);
    assert.equal(gate.describeStatus().limit, 4);
    const restarted = { ...report, startId: "s2" };
    gate.handle({ type: "report", report: restarted }, nowMs);
    assert.equal(gate.describeStatus().limit, 2);
    serve(4);
    assert.equal(gate.describeStatus().limit, 4);
    serve(0.1, "s3");
    assert.equal(gate.describeStatus().limit, 2);
    serve(4, "s3");
    assert.equal(gate.describeStatus().limit, 4);
    const cold = { ...report, startId: "s3", cold: true };
    gate.handle({ type: "report", report: cold }, nowMs);
    serve(4);
    assert.equal(gate.describeStatus().limit, 2);
    assert.equal(gate.describeStatus().cold, true);
  });

  it("restarts when service becomes slow, or after an idle time", () => {
    const slowStart = new SlowStart({ slots: 4, slotsWhileCold: 1 });
    let nowMs = 0;
    const complete = (count: number, serviceMs: number) => {
      for (let index = 0; index < count; index += 1) {
        const startedAtMs = nowMs;
        nowMs += serviceMs;
        const completion = { name: "v", startedAtMs, serviceMs, units: 1 };
        slowStart.applyCompletion(completion, nowMs);
      }
    };
    complete(40, 100);
    assert.equal(slowStart.limit, 4);
    complete(4, 290);
    assert.equal(slowStart.limit, 4);
    complete(8, 100);
    // However the completions are grouped, one group has four slow ones.
    complete(7, 900);
    assert.equal(slowStart.limit, 1);
    complete(60, 100);
    assert.equal(slowStart.limit, 4);
    assert.equal(slowStart.recordIdleStart(nowMs + 9_000), undefined);
    slowStart.applyReport({ startId: "s1", cold: false }, nowMs + 19_000);
    assert.equal(slowStart.recordIdleStart(nowMs + 20_000), undefined);
    assert.equal(slowStart.recordIdleStart(nowMs + 30_000), "idle");
    assert.equal(slowStart.limit, 1);
    // Work from before the restart says nothing about the engine's state now.
    complete(8, 100);
    assert.equal(slowStart.limit, 1);
  });

  it("lowers the limit by a report but never raises it", () => {
    const { gate, report } = createTestGate({ slots: 4, slotsWhileCold: 2 });
    const apply = (slots: number) => {
      gate.handle({ type: "report", report: { ...report, slots } }, 10);
      return gate.describeStatus().limit;
    };
    assert.equal(apply(64), 2);
    assert.equal(apply(1), 1);
    assert.equal(apply(0), 1);
  });
});
