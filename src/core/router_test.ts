import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { EndpointStatus, type FleetState } from "../schema/index.js";
import { createRefusal, type Ran } from "./errors.js";
import { createEmptyState } from "./fleet_state.js";
import { Router } from "./router.js";
import type {
  RouteRequest,
  RouterAction,
  RouterEvent,
} from "./router_events.js";

const STATE: FleetState = {
  ...createEmptyState(),
  versions: {
    small: {
      name: "small",
      model: "m",
      state: "active",
      costPerKiloToken: 0.1,
    },
    large: {
      name: "large",
      model: "m",
      state: "active",
      costPerKiloToken: 1,
    },
  },
};

const REQUEST: RouteRequest = {
  id: "r1",
  account: "a",
  requestClass: "chat",
  kind: "model",
  service: "",
  idempotent: true,
  priority: "interactive",
  deadlineAtMs: 60_000,
  candidates: ["small", "large"],
  promptTokens: 100,
};

const ORDER: RouteRequest = {
  ...REQUEST,
  kind: "service",
  service: "order",
  idempotent: false,
  priority: "urgent",
  candidates: [],
};

function createStatus(name: string, overrides: Partial<EndpointStatus> = {}) {
  const status = EndpointStatus.fromPartial({
    endpoint: name,
    dataCentre: "dc1",
    versions: ["small", "large"],
    services: ["order"],
    limit: 2,
    slots: 2,
    ...overrides,
  });
  return { type: "endpoint-status", status } as const;
}

function createRouter(events: readonly RouterEvent[]) {
  const router = new Router({ random: () => 0.5, dataCentre: "dc1" });
  router.handle({ type: "state", state: STATE }, 0);
  for (const event of events) router.handle(event, 0);
  return router;
}

function findDispatch(actions: readonly RouterAction[]) {
  return actions.find((action) => action.type === "dispatch");
}

function createFailure(
  attempt: number,
  ran: Ran,
  delivered = false,
): RouterEvent {
  const refusal = createRefusal("engine-failed", "broken", { ran });
  return { type: "failed", requestId: "r1", attempt, ran, delivered, refusal };
}

describe("router", () => {
  // Guards against an order that is placed twice.
  it("retries a non-idempotent call only when it did not run", () => {
    for (const ran of ["no", "unknown", "yes"] as const) {
      const router = createRouter([createStatus("e1"), createStatus("e2")]);
      const first = findDispatch(
        router.handle({ type: "submit", request: ORDER }, 0),
      );
      const actions = router.handle(
        createFailure(first?.attempt ?? 0, ran),
        10,
      );
      const retry = findDispatch(actions);
      assert.equal(retry !== undefined, ran === "no", ran);
      if (retry !== undefined) assert.notEqual(retry.endpoint, first?.endpoint);
      else assert.equal(actions[0]?.type, "refuse");
    }
  });

  // Guards against an answer that joins parts of two attempts.
  it("does not retry once the caller has part of the answer", () => {
    const router = createRouter([createStatus("e1"), createStatus("e2")]);
    router.handle({ type: "submit", request: REQUEST }, 0);
    const actions = router.handle(createFailure(1, "yes", true), 10);
    assert.deepEqual(
      actions.map((action) => action.type),
      ["refuse"],
    );
  });

  // Guards against new work on stopping hosts and in drained data centres.
  it("chooses no endpoint that is leaving or whose data centre is out", () => {
    const router = createRouter([
      createStatus("e1", { leaving: true }),
      createStatus("e2", { dataCentre: "dc2" }),
    ]);
    const dataCentres = { dc2: { name: "dc2", state: "out" as const } };
    router.handle({ type: "state", state: { ...STATE, dataCentres } }, 0);
    const actions = router.handle({ type: "submit", request: REQUEST }, 0);
    assert.equal(findDispatch(actions), undefined);
    assert.equal(actions[0]?.type, "refuse");
  });

  // Guards against overload of an endpoint without measurements.
  it("never sends an endpoint more than its limit", () => {
    const router = createRouter([createStatus("e1", { limit: 1 })]);
    const first = router.handle({ type: "submit", request: ORDER }, 0);
    assert.ok(findDispatch(first));
    const second = { ...ORDER, id: "r2" };
    const actions = router.handle({ type: "submit", request: second }, 1);
    assert.equal(findDispatch(actions), undefined);
    const noTokens = { promptTokens: 0, outputTokens: 0 };
    const ended = router.handle(
      { type: "completed", requestId: "r1", attempt: 1, ...noTokens },
      5,
    );
    assert.equal(findDispatch(ended)?.requestId, "r2");
  });

  // Guards against callers that wait in vain until their deadline.
  it("refuses a waiting request as soon as it can't end in time", () => {
    const router = createRouter([createStatus("e1", { limit: 1 })]);
    const slow = { ...ORDER, id: "slow" };
    router.handle({ type: "submit", request: slow }, 0);
    const noTokens = { promptTokens: 0, outputTokens: 0 };
    router.handle(
      { type: "completed", requestId: "slow", attempt: 1, ...noTokens },
      400,
    );
    router.handle({ type: "submit", request: { ...slow, id: "s2" } }, 400);
    const request = { ...ORDER, deadlineAtMs: 1_400 };
    router.handle({ type: "submit", request }, 400);
    assert.deepEqual(router.handle({ type: "tick" }, 700), []);
    const [refusal] = router.handle({ type: "tick" }, 1_300);
    assert.ok(refusal?.type === "refuse");
    assert.equal(refusal.refusal.code, "overloaded");
    assert.equal(refusal.refusal.ran, "no");
    assert.ok(refusal.refusal.retryAfterMs > 0);
  });

  // Guards against an order reported as not run that may still run.
  it("reports a running order as unknown when its deadline passes", () => {
    const router = createRouter([createStatus("e1")]);
    const request = { ...ORDER, deadlineAtMs: 100 };
    router.handle({ type: "submit", request }, 0);
    const actions = router.handle({ type: "tick" }, 150);
    const refused = actions.find((action) => action.type === "refuse");
    assert.equal(refused?.refusal.ran, "unknown");
    assert.equal(actions[0]?.type, "cancel-attempt");
  });

  // Guards against a rejected answer that reaches the caller.
  it("escalates a rejected step and answers with the better version", () => {
    const router = createRouter([createStatus("e1", { limit: 99 })]);
    const tokens = { promptTokens: 100, outputTokens: 100 };
    for (let i = 0; i < 200; i++) {
      const request = { ...REQUEST, id: `r${i}`, qualityTarget: 0.85 };
      const sent = findDispatch(
        router.handle({ type: "submit", request }, i * 100),
      );
      assert.ok(sent);
      const { requestId, attempt } = sent;
      const ended = router.handle(
        { type: "completed", requestId, attempt, ...tokens },
        i * 100 + 10,
      );
      if (sent.final) continue;
      assert.equal(ended[0]?.type, "judge");
      const next = findDispatch(
        router.handle(
          { type: "judged", requestId, attempt, passed: false },
          i * 100 + 20,
        ),
      );
      assert.equal(next?.version, "large");
      assert.equal(next?.attempt, attempt + 1);
      assert.equal(next?.final, true);
      const lateCompletion = {
        type: "completed",
        requestId,
        attempt,
        ...tokens,
      } as const;
      assert.deepEqual(router.handle(lateCompletion, i * 100 + 30), []);
      return;
    }
    assert.fail("no cascade in 200 requests");
  });

  // Guards against answering with a rejected output while a better version
  // could still answer in time.
  it("escalates to another version when the planned one is too slow", () => {
    const medium = { model: "m", state: "active", costPerKiloToken: 0.4 };
    const versions = {
      ...STATE.versions,
      medium: { name: "medium", ...medium },
    } as FleetState["versions"];
    const router = createRouter([
      createStatus("e1", { versions: ["small"], limit: 99 }),
      createStatus("e2", { versions: ["medium"], limit: 99 }),
      createStatus("e3", { versions: ["large"], limit: 99 }),
    ]);
    router.handle({ type: "state", state: { ...STATE, versions } }, 0);
    const candidates = ["small", "medium", "large"];
    const tokens = { promptTokens: 100, outputTokens: 100 };
    for (let i = 0; i < 200; i++) {
      const request = { ...REQUEST, id: `r${i}`, qualityTarget: 0.85 };
      const submit = { ...request, candidates };
      const sent = findDispatch(
        router.handle({ type: "submit", request: submit }, i * 100),
      );
      assert.ok(sent);
      const { requestId, attempt } = sent;
      const ended = { requestId, attempt, ...tokens };
      router.handle({ type: "completed", ...ended }, i * 100 + 10);
      if (sent.version !== "small" || sent.final) continue;
      router.handle({ type: "endpoint-gone", endpoint: "e3" }, i * 100 + 15);
      const verdict = { requestId, attempt, passed: false };
      const next = findDispatch(
        router.handle({ type: "judged", ...verdict }, i * 100 + 20),
      );
      assert.equal(next?.version, "medium");
      return;
    }
    assert.fail("no cascade in 200 requests");
  });

  // Guards against a session whose version changes between requests.
  it("keeps the session's version", () => {
    const router = createRouter([createStatus("e1")]);
    const request = { ...REQUEST, sessionVersion: "large" };
    const sent = findDispatch(router.handle({ type: "submit", request }, 0));
    assert.equal(sent?.version, "large");
    assert.equal(sent?.final, true);
  });
});
