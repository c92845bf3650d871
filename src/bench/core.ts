/** Speed of the router alone at several fleet sizes. */

import { performance } from "node:perf_hooks";
import { Router, type RouterAction, type RouterEvent } from "../core/index.js";
import { EndpointStatus } from "../schema/index.js";
import { createFleetState } from "./fleet.js";
import { type Assumptions, createArrivals, createRandom } from "./workload.js";

const REPLICA_COUNTS = [100, 300, 930, 3_000];
const REQUESTS = 20_000;
const WARM_UP = 5_000;
/** Share of one of 380 nodes in the peak of 3,600 requests per second. */
const NODE_REQUESTS_PER_SECOND = 3_600 / 380;
const STEP_DELAY_MS = 400;
/** Endpoints that one entry is attached to at the target scale. */
const ATTACHED_ENDPOINTS = 24;

function measure(peak: Assumptions, replicas: number) {
  const router = new Router({ random: createRandom(1), dataCentre: "a1" });
  const times: number[] = [];
  const waiting: { atMs: number; event: RouterEvent }[] = [];
  const draw = createRandom(2);
  let nowMs = 0;
  const feed = (event: RouterEvent) => {
    const start = performance.now();
    const actions = router.handle(event, nowMs);
    if (event.type === "submit") times.push(performance.now() - start);
    for (const action of actions) plan(action);
  };
  const plan = (action: RouterAction) => {
    const atMs = nowMs + STEP_DELAY_MS;
    if (action.type === "dispatch") {
      const { requestId, attempt } = action;
      const tokens = { promptTokens: 400, outputTokens: 200 };
      const event = {
        type: "completed",
        requestId,
        attempt,
        ...tokens,
      } as const;
      waiting.push({ atMs, event });
    } else if (action.type === "judge") {
      const { requestId, attempt } = action;
      const passed = draw() < 0.8;
      const event = { type: "judged", requestId, attempt, passed } as const;
      waiting.push({ atMs, event });
    }
  };
  feed({ type: "state", state: createFleetState(peak) });
  const specs = [...peak.modelReplicas, ...peak.serviceReplicas];
  const statuses = Array.from({ length: replicas }, (_, i) => {
    const spec =
      specs[Math.floor((i * specs.length) / replicas) % specs.length];
    const isModel = (spec?.versions.length ?? 0) > 0;
    return EndpointStatus.fromPartial({
      endpoint: `endpoint-${i}`,
      epoch: "0123456789abcdef",
      dataCentre: spec?.dataCentre,
      kind: isModel ? "model" : "service",
      versions: spec?.versions,
      services: isModel ? [] : Object.keys(peak.serviceTimeMs),
      limit: spec?.slots,
      slots: spec?.slots,
      inFlight: i % 7,
      revision: 1,
    });
  });
  for (const status of statuses) feed({ type: "endpoint-status", status });
  const requestsPerSecond = NODE_REQUESTS_PER_SECOND;
  const arrivals = createArrivals(
    { ...peak, seconds: REQUESTS },
    { seed: 1, requestsPerSecond },
  );
  let nextTickMs = 0;
  let spentMs = 0;
  for (let i = 0; i < REQUESTS; i++) {
    const { value: arrival } = arrivals.next();
    if (arrival === undefined) break;
    while (nextTickMs < arrival.atMs) {
      nowMs = nextTickMs;
      nextTickMs += 50;
      while ((waiting[0]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
        const next = waiting.shift();
        if (next !== undefined) feed(next.event);
      }
      feed({ type: "tick" });
      const status = statuses[Math.floor(draw() * replicas)];
      if (status) feed({ type: "endpoint-status", status });
    }
    nowMs = arrival.atMs;
    const { spec } = arrival;
    const isModel = spec.kind === "model";
    if (i === WARM_UP) times.length = 0;
    const start = performance.now();
    feed({
      type: "submit",
      request: {
        id: arrival.id,
        account: arrival.account,
        requestClass: arrival.className,
        kind: spec.kind,
        service: isModel ? "" : arrival.className,
        idempotent: spec.idempotent,
        priority: spec.priority,
        deadlineAtMs: arrival.atMs + spec.deadlineMs,
        qualityTarget: spec.qualityTarget ?? undefined,
        // All versions, so that the choice is as large as it can be.
        candidates: isModel ? Object.keys(peak.versions) : [],
        promptTokens: arrival.promptTokens,
      },
    });
    if (i >= WARM_UP) spentMs += performance.now() - start;
  }
  times.sort((a, b) => a - b);
  const statusBytes = Math.max(
    ...statuses
      .slice(0, 50)
      .map((s) => EndpointStatus.encode(s).finish().length),
  );
  return {
    replicas,
    decisionsPerSecond: Math.round((times.length / spentMs) * 1000),
    p50Us: (times[Math.floor(times.length * 0.5)] ?? 0) * 1000,
    p99Us: (times[Math.floor(times.length * 0.99)] ?? 0) * 1000,
    statusBytesPerSecond: statusBytes * ATTACHED_ENDPOINTS,
  };
}

export function runCoreBench(peak: Assumptions) {
  const sizes = REPLICA_COUNTS.map((replicas) => measure(peak, replicas));
  return {
    versions: Object.keys(peak.versions).length,
    sizes,
    residentBytes: process.memoryUsage().rss,
  };
}
