/** Measures the speed of the router alone at several fleet sizes. */

import { performance } from "node:perf_hooks";
import { Router, type RouterAction, type RouterEvent } from "../core/index.js";
import { EndpointStatus } from "../schema/index.js";
import {
  type Assumptions,
  createArrivals,
  createRandom,
} from "./assumptions.js";
import { createFleetState } from "./fleet_state.js";

const REPLICA_COUNTS = [100, 300, 930, 3_000];
const REQUEST_COUNT = 20_000;
const WARM_UP_REQUESTS = 5_000;
/** Share of one of 380 entries in the peak of 3,600 requests per second. */
const ENTRY_REQUESTS_PER_SECOND = 3_600 / 380;
/** From an action of the router to the event that it leads to. */
const ACTION_DELAY_MS = 400;
/** Endpoints to which one entry is attached at the target scale. */
const ATTACHED_ENDPOINT_COUNT = 24;

function measureRouter(assumptions: Assumptions, replicas: number) {
  const router = new Router({ random: createRandom(1), dataCentre: "a1" });
  const submitTimesMs: number[] = [];
  const pendingEvents: { atMs: number; event: RouterEvent }[] = [];
  const random = createRandom(2);
  let nowMs = 0;
  const handleEvent = (event: RouterEvent) => {
    const startMs = performance.now();
    const actions = router.handle(event, nowMs);
    if (event.type === "submit")
      submitTimesMs.push(performance.now() - startMs);
    for (const action of actions) scheduleOutcome(action);
  };
  const scheduleOutcome = (action: RouterAction) => {
    const atMs = nowMs + ACTION_DELAY_MS;
    if (action.type === "dispatch") {
      const { requestId, attempt } = action;
      const tokens = { promptTokens: 400, outputTokens: 200 };
      const event = {
        type: "completed",
        requestId,
        attempt,
        ...tokens,
      } as const;
      pendingEvents.push({ atMs, event });
    } else if (action.type === "judge") {
      const { requestId, attempt } = action;
      const passed = random() < 0.8;
      const event = { type: "judged", requestId, attempt, passed } as const;
      pendingEvents.push({ atMs, event });
    }
  };
  handleEvent({ type: "state", state: createFleetState(assumptions) });
  const replicaSpecs = [
    ...assumptions.modelReplicas,
    ...assumptions.serviceReplicas,
  ];
  const statuses = Array.from({ length: replicas }, (_, i) => {
    const replicaSpec =
      replicaSpecs[
        Math.floor((i * replicaSpecs.length) / replicas) % replicaSpecs.length
      ];
    const isModel = (replicaSpec?.versions.length ?? 0) > 0;
    return EndpointStatus.fromPartial({
      endpoint: `endpoint-${i}`,
      epoch: "0123456789abcdef",
      dataCentre: replicaSpec?.dataCentre,
      kind: isModel ? "model" : "service",
      versions: replicaSpec?.versions,
      services: isModel ? [] : Object.keys(assumptions.serviceTimeMs),
      limit: replicaSpec?.slots,
      slots: replicaSpec?.slots,
      inFlight: i % 7,
      revision: 1,
    });
  });
  for (const status of statuses)
    handleEvent({ type: "endpoint-status", status });
  const requestsPerSecond = ENTRY_REQUESTS_PER_SECOND;
  const arrivals = createArrivals(
    { ...assumptions, seconds: REQUEST_COUNT },
    { seed: 1, requestsPerSecond },
  );
  let nextTickMs = 0;
  let totalSubmitMs = 0;
  for (let i = 0; i < REQUEST_COUNT; i++) {
    const { value: arrival } = arrivals.next();
    if (arrival === undefined) break;
    while (nextTickMs < arrival.atMs) {
      nowMs = nextTickMs;
      nextTickMs += 50;
      while ((pendingEvents[0]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
        const next = pendingEvents.shift();
        if (next !== undefined) handleEvent(next.event);
      }
      handleEvent({ type: "tick" });
      const status = statuses[Math.floor(random() * replicas)];
      if (status) handleEvent({ type: "endpoint-status", status });
    }
    nowMs = arrival.atMs;
    const { classSpec } = arrival;
    const isModel = classSpec.kind === "model";
    if (i === WARM_UP_REQUESTS) submitTimesMs.length = 0;
    const startMs = performance.now();
    handleEvent({
      type: "submit",
      request: {
        id: arrival.id,
        account: arrival.account,
        requestClass: arrival.className,
        kind: classSpec.kind,
        service: isModel ? "" : arrival.className,
        idempotent: classSpec.idempotent,
        priority: classSpec.priority,
        deadlineAtMs: arrival.atMs + classSpec.deadlineMs,
        qualityTarget: classSpec.qualityTarget ?? undefined,
        // All versions, for the largest possible choice.
        candidates: isModel ? Object.keys(assumptions.versions) : [],
        promptTokens: arrival.promptTokens,
      },
    });
    if (i >= WARM_UP_REQUESTS) totalSubmitMs += performance.now() - startMs;
  }
  submitTimesMs.sort((a, b) => a - b);
  const largestStatusBytes = Math.max(
    ...statuses
      .slice(0, 50)
      .map((status) => EndpointStatus.encode(status).finish().length),
  );
  return {
    replicas,
    decisionsPerSecond: Math.round(
      (submitTimesMs.length / totalSubmitMs) * 1000,
    ),
    p50Us: (submitTimesMs[Math.floor(submitTimesMs.length * 0.5)] ?? 0) * 1000,
    p99Us: (submitTimesMs[Math.floor(submitTimesMs.length * 0.99)] ?? 0) * 1000,
    statusBytesPerSecond: largestStatusBytes * ATTACHED_ENDPOINT_COUNT,
  };
}

export function runRouterBench(assumptions: Assumptions) {
  const sizes = REPLICA_COUNTS.map((replicas) =>
    measureRouter(assumptions, replicas),
  );
  return {
    versions: Object.keys(assumptions.versions).length,
    sizes,
    residentBytes: process.memoryUsage().rss,
  };
}
