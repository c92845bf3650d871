import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RolloutReport } from "../../schema/exchange/index.js";
import { createRandom } from "../../standins/random.js";
import type { RolloutOrder } from "../types.js";
import {
  ANSWER_VERDICT,
  type AnswerVerdict,
  RolloutEvidence,
} from "./rollout_evidence.js";
import { Rollouts } from "./rollouts.js";

const ORDER: RolloutOrder = {
  service: "svc",
  target: "v2",
  durationMs: 24_000,
  createdRevision: 5,
  revision: 5,
};
const ROUTES = ["report", "chat", "lookup"];
const REQUESTS_PER_SECOND = 50;
const ENDPOINT_COUNT = 8;
/** Share of all requests that a bad version may get. */
const MAX_EXPOSURE = 0.15;

interface Fault {
  /** Share of the target's answers that fail. */
  readonly failureShare: number;
  /** They reject the request in place of failing. */
  readonly isRejection?: boolean;
  readonly fromMs?: number;
  readonly route?: string;
  readonly serviceTimeRatio?: number;
  /** Share of answers that fail on every version. */
  readonly baselineFailureShare?: number;
  readonly baselineFromMs?: number;
  readonly baselineUntilMs?: number;
  /** Fails on this endpoint only. */
  readonly endpoint?: number;
  /** Fails only while the version has at least this share of the traffic. */
  readonly minTrafficShare?: number;
}

interface SimulatedRollout {
  readonly outcome?: string;
  readonly endedAtMs: number;
  readonly targetRequests: number;
  readonly failedRequests: number;
  readonly allRequests: number;
}

/** Simulates a roll-out over some entries that exchange their evidence. */
function simulateRollout(entryCount: number, fault: Fault): SimulatedRollout {
  const rollouts = Array.from({ length: entryCount }, (_, i) => {
    const one = new Rollouts(`entry-${i}`, MAX_EXPOSURE);
    one.put(ORDER, 0);
    return one;
  });
  const stepMs = 1_000 / REQUESTS_PER_SECOND;
  let targetRequests = 0;
  let failedRequests = 0;
  let allRequests = 0;
  for (let nowMs = 0; nowMs < ORDER.durationMs; nowMs += stepMs) {
    const requestIndex = Math.round(nowMs / stepMs);
    const entryRollouts = rollouts[requestIndex % entryCount];
    if (entryRollouts === undefined) break;
    const share = entryRollouts.getShare("svc", nowMs);
    // A low-discrepancy sequence stands for the hashes of the sessions.
    const isTarget = (requestIndex * 0.618_034) % 1 < share;
    const route = ROUTES[requestIndex % ROUTES.length] ?? "";
    const isFaulty =
      isTarget &&
      nowMs >= (fault.fromMs ?? 0) &&
      (fault.route ?? route) === route &&
      (fault.endpoint ?? requestIndex % ENDPOINT_COUNT) ===
        requestIndex % ENDPOINT_COUNT &&
      share >= (fault.minTrafficShare ?? 0);
    const failureDraw = (requestIndex * 0.754_877) % 1;
    const { baselineFailureShare = 0, baselineFromMs = 0 } = fault;
    const isInvalid =
      failureDraw < baselineFailureShare &&
      nowMs >= baselineFromMs &&
      nowMs < (fault.baselineUntilMs ?? ORDER.durationMs);
    const isGood =
      !isInvalid && (!isFaulty || failureDraw >= fault.failureShare);
    const badVerdict = fault.isRejection
      ? ANSWER_VERDICT.rejected
      : ANSWER_VERDICT.failed;
    const verdict = isGood ? ANSWER_VERDICT.good : badVerdict;
    allRequests++;
    if (isTarget) targetRequests++;
    if (!isGood) failedRequests++;
    entryRollouts.record({
      service: "svc",
      version: isTarget ? "v2" : "v1",
      route,
      endpoint: `e${requestIndex % ENDPOINT_COUNT}`,
      endpointCount: ENDPOINT_COUNT,
      verdict,
      serviceTimeRatio: isFaulty ? (fault.serviceTimeRatio ?? 1) : 1,
    });
    if (requestIndex % 20 === 0) {
      const reports = rollouts.map((one) => one.listReports(nowMs));
      for (const one of rollouts) {
        for (const report of reports.flat()) one.mergeReport(report, nowMs);
      }
    }
    const [decision] = entryRollouts.decide(nowMs);
    if (decision === undefined) continue;
    return {
      outcome: decision.outcome,
      endedAtMs: nowMs,
      targetRequests,
      failedRequests,
      allRequests,
    };
  }
  return {
    endedAtMs: ORDER.durationMs,
    targetRequests,
    failedRequests,
    allRequests,
  };
}

describe("roll-outs", () => {
  it("completes a good version before the duration ends", () => {
    for (const entries of [1, 4, 30]) {
      const simulated = simulateRollout(entries, { failureShare: 0 });
      assert.equal(simulated.outcome, "completed");
      assert.ok(simulated.endedAtMs < ORDER.durationMs);
    }
  });

  // A version that rejected half of its requests counted as faultless.
  const rejectionFaults: Record<string, Fault> = {
    "rejects half of its requests": { failureShare: 0.5, isRejection: true },
    "rejects a third": { failureShare: 0.33, isRejection: true },
    "rejects a tenth": { failureShare: 0.1, isRejection: true },
    "rejects requests late": {
      failureShare: 0.5,
      isRejection: true,
      fromMs: 13_000,
    },
    "rejects requests on one route": {
      failureShare: 0.5,
      isRejection: true,
      route: "chat",
    },
    "rejects requests under load": {
      failureShare: 0.5,
      isRejection: true,
      minTrafficShare: 0.4,
    },
    "rejects requests that the old one answers": {
      failureShare: 0.8,
      isRejection: true,
      baselineFailureShare: 0.14,
    },
  };
  // Requests must not keep failing on a version that is known to be bad.
  const faults: Record<string, Fault> = {
    "fails from the start": { failureShare: 0.5 },
    "fails late": { failureShare: 0.5, fromMs: 3_000 },
    "fails only in the second half": { failureShare: 0.5, fromMs: 13_000 },
    "fails on one route": { failureShare: 0.5, route: "chat" },
    "fails under load": { failureShare: 0.5, minTrafficShare: 0.4 },
    "fails a tenth of its answers": { failureShare: 0.1 },
    "is slow": { failureShare: 0, serviceTimeRatio: 8 },
    ...rejectionFaults,
  };
  for (const [name, fault] of Object.entries(faults)) {
    it(`rolls back a version that ${name}`, () => {
      for (const entries of [1, 4, 30]) {
        const simulated = simulateRollout(entries, fault);
        assert.equal(simulated.outcome, "rolled-back", `${entries} entries`);
        assert.ok(
          simulated.failedRequests < 50,
          `${simulated.failedRequests} bad answers`,
        );
        assert.ok(
          simulated.targetRequests <= 0.15 * REQUESTS_PER_SECOND * 24 + 30,
        );
      }
    });
  }

  // Some versions fail only once all traffic has moved.
  it("stays under the maximum exposure even if no fault is found", () => {
    for (const maxExposure of [0.05, 0.12, 0.15, 0.3]) {
      const rollouts = new Rollouts("self", maxExposure);
      rollouts.put(ORDER, 0);
      let exposedMs = 0;
      for (let nowMs = 0; nowMs < ORDER.durationMs; nowMs += 10) {
        exposedMs += rollouts.getShare("svc", nowMs) * 10;
      }
      assert.ok(exposedMs <= maxExposure * ORDER.durationMs, `${maxExposure}`);
    }
  });

  // One faulty host is no fault of the version that it runs.
  it("completes a version that fails on one endpoint only", () => {
    for (const isRejection of [false, true]) {
      for (const entries of [1, 4, 30]) {
        const simulated = simulateRollout(entries, {
          failureShare: 0.5,
          isRejection,
          endpoint: 3,
        });
        assert.equal(simulated.outcome, "completed", `${entries} entries`);
      }
    }
  });

  // Invalid requests of callers fail on every version.
  it("completes a version that fails no more than the old one", () => {
    for (const isRejection of [false, true]) {
      for (const baselineFailureShare of [0.05, 0.14, 0.3, 0.6]) {
        const simulated = simulateRollout(4, {
          failureShare: 0,
          isRejection,
          baselineFailureShare,
        });
        assert.equal(simulated.outcome, "completed", `${baselineFailureShare}`);
      }
    }
  });

  // The requests of one caller that has a fault come all at once, on any route.
  it("completes a version while callers send bursts of invalid requests", () => {
    for (const [burstStartMs, burstMs] of [
      [500, 500],
      [3_000, 1_000],
      [14_000, 2_000],
    ] as const) {
      const simulated = simulateRollout(4, {
        failureShare: 0,
        isRejection: true,
        baselineFailureShare: 0.9,
        baselineFromMs: burstStartMs,
        baselineUntilMs: burstStartMs + burstMs,
      });
      assert.equal(simulated.outcome, "completed", `from ${burstStartMs} ms`);
    }
  });

  it("takes no rejection for a fault on a route that only the target served", () => {
    const rollouts = new Rollouts("self", MAX_EXPOSURE);
    rollouts.put(ORDER, 0);
    const answer = { service: "svc", endpoint: "e", endpointCount: 1 };
    const { good, rejected } = ANSWER_VERDICT;
    for (let i = 0; i < 40; i++) {
      for (const version of ["v1", "v2"])
        rollouts.record({ ...answer, version, route: "old", verdict: good });
      const fields = { version: "v2", route: "new", verdict: rejected };
      rollouts.record({ ...answer, ...fields });
    }
    assert.deepEqual(rollouts.decide(1_000), []);
  });

  it("stays at the initial share in the first half", () => {
    const rollouts = new Rollouts("self", MAX_EXPOSURE);
    rollouts.put(ORDER, 0);
    assert.ok(rollouts.getShare("svc", 11_999) <= 0.1);
    assert.equal(rollouts.isInFirstHalf("svc", 11_999), true);
  });

  it("starts over with a new order for the same service", () => {
    const rollouts = new Rollouts("self", MAX_EXPOSURE);
    rollouts.put({ ...ORDER, outcome: "rolled-back" }, 0);
    assert.equal(rollouts.getShare("svc", 1), 0);
    rollouts.put({ ...ORDER, createdRevision: 9 }, 1_000);
    assert.ok(rollouts.getShare("svc", 1_001) > 0);
  });
});

describe("roll-out evidence", () => {
  // Reports with all counts would outweigh all other traffic between data
  // centres in a large fleet.
  it("spreads through reports that stay small in a large fleet", () => {
    const random = createRandom(7);
    const entries = Array.from(
      { length: 68 },
      (_, index) => new RolloutEvidence(`e${index}`, random),
    );
    const rounds = 20;
    let largestReport = 0;
    for (let round = 0; round < rounds; round++) {
      for (const [index, entry] of entries.entries()) {
        for (const route of ["r1", "r2", "r3", "r4"]) {
          const isGood = index % 2 === 0;
          for (const isTarget of [true, false]) {
            entry.addAnswer({
              route,
              endpoint: `i-${index}`,
              isTarget,
              verdict: isGood ? ANSWER_VERDICT.good : ANSWER_VERDICT.failed,
            });
          }
        }
      }
      for (let exchange = 0; exchange < 3; exchange++) {
        for (const entry of entries) {
          const other = entries[Math.floor(random() * entries.length)];
          if (other === undefined) continue;
          const [sentReport, receivedReport] = [
            entry.createReport(),
            other.createReport(),
          ];
          largestReport = Math.max(
            largestReport,
            sentReport.tallies.length,
            sentReport.failing.length,
          );
          other.merge(structuredClone(sentReport));
          entry.merge(structuredClone(receivedReport));
        }
      }
    }
    assert.ok(largestReport <= 64, `${largestReport} counts in a report`);
    const allAnswers = entries.length * 4 * rounds;
    for (const entry of entries) {
      const { answers, failures } = entry.sumAllRoutes(true);
      assert.ok(
        answers >= 0.6 * allAnswers,
        `${answers} of ${allAnswers} answers are known`,
      );
      const share = failures / answers;
      assert.ok(share > 0.45 && share < 0.55, `share ${share.toFixed(2)}`);
    }
  });

  // Reports pass through several entries and arrive in any order.
  it("counts each answer once in any order of reports", () => {
    const a = new RolloutEvidence("a", Math.random);
    const b = new RolloutEvidence("b", Math.random);
    const add = (evidence: RolloutEvidence, verdict: AnswerVerdict) =>
      evidence.addAnswer({
        route: "r",
        endpoint: "e",
        isTarget: true,
        verdict,
      });
    const { good, failed, rejected } = ANSWER_VERDICT;
    add(a, failed);
    const early = structuredClone(a.createReport());
    add(a, good);
    add(a, rejected);
    add(b, failed);
    b.merge(a.createReport());
    b.merge(early);
    a.merge(b.createReport());
    a.merge(b.createReport());
    for (const evidence of [a, b]) {
      const totals = evidence.sumAllRoutes(true);
      const { answers, failures, rejections } = totals;
      assert.deepEqual([answers, failures, rejections], [4, 2, 1]);
      assert.deepEqual(evidence.listEndpointCounts("failures"), [2]);
      assert.deepEqual(evidence.listEndpointCounts("rejections"), [1]);
    }
  });
});

describe("report of a roll-out", () => {
  // A message whose numbers don't fit in their fields can't be encoded.
  it("can be encoded however long the order is undecided", () => {
    const rollouts = new Rollouts("a", MAX_EXPOSURE);
    rollouts.put(ORDER, 0);
    for (const days of [1, 50, 1_000]) {
      const [report] = rollouts.listReports(days * 86_400_000);
      assert.ok(report);
      const data = RolloutReport.encode(report).finish();
      assert.equal(RolloutReport.decode(data).target, ORDER.target);
    }
  });
});
