import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { DispatchRequest } from "../schema/index.js";
import { createRefusal } from "./errors.js";
import {
  createTestGate,
  createVersion,
  describeDecision,
  listStarts,
  NON_IDEMPOTENT_CALL,
} from "./gate_fixtures_test.js";

describe("gate checks", () => {
  it("refuses what the latest known revision does not permit", () => {
    const { view, dispatch } = createTestGate();
    const cases: [Partial<DispatchRequest>, string][] = [
      [{ account: "ropes", version: "small-2" }, "not-allowed"],
      [{ account: "nobody" }, "not-allowed"],
      [{ account: "__proto__" }, "not-allowed"],
      [{ account: "constructor" }, "not-allowed"],
      [
        { ...NON_IDEMPOTENT_CALL, requestId: "r1", service: "mail" },
        "not-allowed",
      ],
      [{ version: "small-2" }, "version-withdrawn"],
    ];
    view.state.versions["small-2"] = createVersion("small-2", "withdrawn");
    cases.forEach(([fields, code], index) => {
      const decisions = dispatch({ ...fields, attempt: index });
      assert.equal(describeDecision(decisions, `r1/${index}`), code);
    });
  });

  it("refuses a version that the engine has not loaded", () => {
    const { gate, report, dispatch } = createTestGate();
    const other = { ...report, versions: ["small-2"] };
    gate.handle({ type: "report", report: other }, 0);
    assert.equal(describeDecision(dispatch({})), "no-endpoint");
  });

  it("refuses malformed fields without a record of the attempt", () => {
    const { gate, dispatch } = createTestGate();
    const cases: Partial<DispatchRequest>[] = [
      { requestId: "" },
      { requestId: "x".repeat(300) },
      { priority: "highest" },
      { version: "" },
      { service: "orders" },
      { ...NON_IDEMPOTENT_CALL, path: "orders\r\nx: y" },
      { ...NON_IDEMPOTENT_CALL, method: "GET /x" },
      { remainingMs: 4_294_967_295 },
    ];
    for (const fields of cases) {
      assert.equal(describeDecision(dispatch(fields)), "bad-request");
    }
    const body = Buffer.alloc(1_001);
    assert.equal(describeDecision(dispatch({ body })), "body-too-large");
    assert.equal(gate.findAttempt("r1/1"), undefined);
  });

  it("fetches the higher revision that a dispatch names and decides by it", () => {
    const { gate, view, dispatch } = createTestGate();
    assert.equal(describeDecision(dispatch({ revision: 6 })), "fetch");
    view.state = { ...view.state, revision: 6, accounts: {} };
    const decisions = gate.handle({ type: "fetched", key: "r1/1" }, 10);
    assert.equal(describeDecision(decisions), "not-allowed");
  });

  it("refuses new and queued work while the endpoint or data centre is out, or the endpoint is leaving", () => {
    const out = { name: "dc1", state: "out" } as const;
    const { gate, view, dispatch, tick } = createTestGate({ slots: 1 });
    dispatch({ requestId: "r0" });
    assert.equal(describeDecision(dispatch({})), "none");
    view.state = { ...view.state, dataCentres: { dc1: out } };
    assert.equal(describeDecision(tick(50)), "draining");
    const endpoints = { ep1: { ...out, name: "ep1", versions: [] } };
    view.state = { ...view.state, dataCentres: {}, endpoints };
    assert.equal(
      describeDecision(dispatch({ attempt: 2 }), "r1/2"),
      "draining",
    );
    view.state = { ...view.state, endpoints: {} };
    gate.handle({ type: "leaving", reason: "stopping" }, 60);
    const refused = dispatch({ attempt: 3 });
    assert.equal(describeDecision(refused, "r1/3"), "stopping");
    assert.equal(gate.inFlight, 1);
  });

  it("does not start queued work after a pause that makes the confirmation too old", () => {
    const { view, dispatch, finish } = createTestGate({ slots: 1 });
    dispatch({ requestId: "r0", remainingMs: 60_000 });
    dispatch({ remainingMs: 60_000 });
    // SIGSTOP: nothing runs until the completion is read after the pause.
    view.refusal = createRefusal("isolated", "Confirmation is too old");
    const decisions = finish("r0/1", 9_000);
    assert.deepEqual(listStarts(decisions), []);
    assert.equal(describeDecision(decisions), "isolated");
  });

  it("counts a dispatch's time in the socket during a pause against its deadline", () => {
    const { dispatch, tick } = createTestGate();
    tick(1_000);
    const late = dispatch({ remainingMs: 2_000 }, 5_000);
    assert.equal(describeDecision(late), "deadline-exceeded");
    tick(5_050);
    const next = dispatch({ attempt: 2, remainingMs: 2_000 }, 5_150);
    assert.equal(describeDecision(next, "r1/2"), "start");
  });
});

describe("gate attempts", () => {
  it("starts non-idempotent work only with the gate's epoch and a claim", () => {
    const { dispatch } = createTestGate({ kind: "service" });
    const cases: [Partial<DispatchRequest>, string][] = [
      [{ epoch: "epoch-0" }, "wrong-epoch"],
      [{ epoch: "epoch-1", claim: "" }, "idempotency-key-required"],
      // The fleet state decides, since the sender may hold an older revision.
      [{ epoch: "", idempotent: true }, "wrong-epoch"],
      [{ epoch: "epoch-1" }, "start"],
    ];
    cases.forEach(([fields, code], index) => {
      const decisions = dispatch({
        ...NON_IDEMPOTENT_CALL,
        ...fields,
        attempt: index,
      });
      assert.equal(describeDecision(decisions, `o1/${index}`), code);
    });
  });

  it("never starts an attempt that a look-up has revoked", () => {
    const { gate, dispatch, finish } = createTestGate({
      kind: "service",
      slots: 1,
    });
    const epoch = "epoch-1";
    const lookUp = (requestId: string) =>
      gate.lookUp({ requestId, attempt: 1, epoch }, 5).reply.state;
    dispatch({ ...NON_IDEMPOTENT_CALL, epoch });
    dispatch({ ...NON_IDEMPOTENT_CALL, epoch, requestId: "o2" });
    assert.equal(lookUp("o1"), "running");
    assert.equal(lookUp("o2"), "revoked");
    assert.equal(lookUp("o3"), "revoked");
    assert.deepEqual(listStarts(finish("o1/1", 10)), []);
    for (const requestId of ["o2", "o3"]) {
      const again = dispatch({ ...NON_IDEMPOTENT_CALL, epoch, requestId }, 20);
      assert.equal(describeDecision(again), "attempt-revoked");
    }
    assert.equal(lookUp("o1"), "ended");
  });

  it("keeps a revocation after the refused attempt is dropped", () => {
    const registryLimits = {
      maxEnded: 1,
      maxBytes: 1_000,
      endedRetentionMs: 1_000,
      maxUsedKeys: 9,
    };
    const { gate, dispatch } = createTestGate({
      registryLimits: registryLimits,
    });
    dispatch({ remainingMs: 0 });
    const request = { requestId: "r1", attempt: 1, epoch: "epoch-1" };
    assert.equal(gate.lookUp(request, 1).reply.state, "revoked");
    dispatch({ requestId: "r2", remainingMs: 0 }, 2);
    assert.equal(gate.findAttempt("r1/1"), undefined);
    assert.equal(describeDecision(dispatch({}, 3)), "attempt-revoked");
  });

  it("never starts a dropped non-idempotent attempt again, and renews the epoch when its keys are full", () => {
    const { gate, dispatch, finish } = createTestGate({
      kind: "service",
      registryLimits: {
        maxEnded: 1,
        maxBytes: 1_000,
        endedRetentionMs: 1_000,
        maxUsedKeys: 3,
      },
    });
    const order = (n: number, epoch = "epoch-1") =>
      dispatch({ ...NON_IDEMPOTENT_CALL, epoch, requestId: `o${n}` }, n);
    for (const n of [1, 2, 3]) {
      assert.equal(describeDecision(order(n), `o${n}/1`), "start");
      finish(`o${n}/1`, n);
    }
    assert.equal(gate.findAttempt("o1/1"), undefined);
    const lookUp = { requestId: "o1", attempt: 1, epoch: "epoch-1" };
    assert.equal(gate.lookUp(lookUp, 9).reply.state, "other-epoch");
    assert.equal(describeDecision(order(1)), "in-progress");
    assert.equal(describeDecision(order(4), "o4/1"), "wrong-epoch");
    assert.equal(describeDecision(order(5, "epoch-2"), "o5/1"), "start");
    for (const n of [6, 7, 8, 9]) order(n, "epoch-2");
    assert.equal(describeDecision(order(1, "epoch-1"), "o1/1"), "wrong-epoch");
  });
});
