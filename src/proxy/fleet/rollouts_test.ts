import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../standins/random.js";
import type { RolloutOrder } from "../types.js";
import { RolloutEvidence } from "./rollout_evidence.js";
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
const ENDPOINTS = 8;
/** Share of all requests that a bad version may get. */
const EXPOSURE = 0.15;

interface Fault {
  /** Share of the new version's answers that fail. */
  readonly share: number;
  readonly fromMs?: number;
  readonly route?: string;
  readonly slowness?: number;
  /** Share of all answers that fail, on either version. */
  readonly usual?: number;
  /** Fails on this endpoint only. */
  readonly endpoint?: number;
  /** Fails only while the version has at least this share of the traffic. */
  readonly aboveShare?: number;
}

interface Played {
  readonly outcome?: string;
  readonly atMs: number;
  readonly sent: number;
  readonly bad: number;
  readonly all: number;
}

/** Plays a rollout over some entries that exchange what they see. */
function playRollout(entries: number, fault: Fault): Played {
  const rollouts = Array.from({ length: entries }, (_, i) => {
    const one = new Rollouts(`entry-${i}`, EXPOSURE);
    one.put(ORDER, 0);
    return one;
  });
  const stepMs = 1_000 / REQUESTS_PER_SECOND;
  let sent = 0;
  let bad = 0;
  let all = 0;
  for (let nowMs = 0; nowMs < ORDER.durationMs; nowMs += stepMs) {
    const turn = Math.round(nowMs / stepMs);
    const own = rollouts[turn % entries];
    if (own === undefined) break;
    const share = own.getShare("svc", nowMs);
    // A low-discrepancy sequence stands for the sessions' places.
    const isTarget = (turn * 0.618_034) % 1 < share;
    const route = ROUTES[turn % ROUTES.length] ?? "";
    const isFaulty =
      isTarget &&
      nowMs >= (fault.fromMs ?? 0) &&
      (fault.route ?? route) === route &&
      (fault.endpoint ?? turn % ENDPOINTS) === turn % ENDPOINTS &&
      share >= (fault.aboveShare ?? 0);
    const luck = (turn * 0.754_877) % 1;
    const isGood =
      luck >= (fault.usual ?? 0) && (!isFaulty || luck >= fault.share);
    all++;
    if (isTarget) sent++;
    if (!isGood) bad++;
    own.record({
      service: "svc",
      version: isTarget ? "v2" : "v1",
      route,
      endpoint: `e${turn % ENDPOINTS}`,
      endpoints: ENDPOINTS,
      isGood,
      slowness: isFaulty ? (fault.slowness ?? 1) : 1,
    });
    if (turn % 20 === 0) {
      const reports = rollouts.map((one) => one.listReports(nowMs));
      for (const one of rollouts) {
        for (const report of reports.flat()) one.mergeReport(report, nowMs);
      }
    }
    const [decision] = own.decide(nowMs);
    if (decision === undefined) continue;
    return { outcome: decision.outcome, atMs: nowMs, sent, bad, all };
  }
  return { atMs: ORDER.durationMs, sent, bad, all };
}

describe("rollouts", () => {
  it("completes a good version before its time is up", () => {
    for (const entries of [1, 4, 30]) {
      const played = playRollout(entries, { share: 0 });
      assert.equal(played.outcome, "completed");
      assert.ok(played.atMs < ORDER.durationMs);
    }
  });

  // Callers must not pay for a version that is known to be bad.
  const faults: Record<string, Fault> = {
    "fails from the start": { share: 0.5 },
    "fails late": { share: 0.5, fromMs: 3_000 },
    "fails later than half of its time": { share: 0.5, fromMs: 13_000 },
    "fails on one route": { share: 0.5, route: "chat" },
    "fails under load": { share: 0.5, aboveShare: 0.4 },
    "fails a tenth of its answers": { share: 0.1 },
    "is slow": { share: 0, slowness: 8 },
  };
  for (const [name, fault] of Object.entries(faults)) {
    it(`rolls a version back that ${name}`, () => {
      for (const entries of [1, 4, 30]) {
        const played = playRollout(entries, fault);
        assert.equal(played.outcome, "rolled-back", `${entries} entries`);
        assert.ok(played.bad < 50, `${played.bad} bad answers`);
        assert.ok(played.sent <= 0.15 * REQUESTS_PER_SECOND * 24 + 30);
      }
    });
  }

  // Some versions fail only once all traffic has moved.
  it("keeps the exposure to a version whose fault never shows in time", () => {
    for (const exposure of [0.05, 0.12, 0.15, 0.3]) {
      const rollouts = new Rollouts("self", exposure);
      rollouts.put(ORDER, 0);
      let exposed = 0;
      for (let nowMs = 0; nowMs < ORDER.durationMs; nowMs += 10) {
        exposed += rollouts.getShare("svc", nowMs) * 10;
      }
      assert.ok(exposed <= exposure * ORDER.durationMs, `${exposure}`);
    }
  });

  // One faulty host says nothing about the version that it runs.
  it("completes a version of which one endpoint fails", () => {
    for (const entries of [1, 4, 30]) {
      const played = playRollout(entries, { share: 0.5, endpoint: 3 });
      assert.equal(played.outcome, "completed", `${entries} entries`);
    }
  });

  // Callers' own bad requests fail on every version.
  it("completes a version that fails no more than the old one", () => {
    for (const usual of [0.05, 0.14, 0.3]) {
      const played = playRollout(4, { share: 0, usual });
      assert.equal(played.outcome, "completed", `${usual}`);
    }
  });

  it("moves nobody over in the first half beyond the first share", () => {
    const rollouts = new Rollouts("self", EXPOSURE);
    rollouts.put(ORDER, 0);
    assert.ok(rollouts.getShare("svc", 11_999) <= 0.1);
    assert.equal(rollouts.isFirstHalf("svc", 11_999), true);
  });

  it("begins again with a new order for the same service", () => {
    const rollouts = new Rollouts("self", EXPOSURE);
    rollouts.put({ ...ORDER, outcome: "rolled-back" }, 0);
    assert.equal(rollouts.getShare("svc", 1), 0);
    rollouts.put({ ...ORDER, createdRevision: 9 }, 1_000);
    assert.ok(rollouts.getShare("svc", 1_001) > 0);
  });
});

describe("rollout evidence", () => {
  // With all counts in each report, exchanges of a large fleet outweigh all
  // other traffic between data centres.
  it("spreads in reports that stay small in a large fleet", () => {
    const random = createRandom(7);
    const entries = Array.from(
      { length: 68 },
      (_, index) => new RolloutEvidence(`e${index}`, random),
    );
    const rounds = 20;
    let largest = 0;
    for (let round = 0; round < rounds; round++) {
      for (const [index, entry] of entries.entries()) {
        for (const route of ["r1", "r2", "r3", "r4"]) {
          const isGood = index % 2 === 0;
          for (const isTarget of [true, false]) {
            entry.add({ route, endpoint: `i-${index}`, isTarget, isGood });
          }
        }
      }
      for (let exchange = 0; exchange < 3; exchange++) {
        for (const entry of entries) {
          const other = entries[Math.floor(random() * entries.length)];
          if (other === undefined) continue;
          const [told, heard] = [entry.list(), other.list()];
          largest = Math.max(largest, told.tallies.length, told.failing.length);
          other.merge(structuredClone(told));
          entry.merge(structuredClone(heard));
        }
      }
    }
    assert.ok(largest <= 64, `${largest} counts in a report`);
    const all = entries.length * 4 * rounds;
    for (const entry of entries) {
      const { answers, failures } = entry.sum(true);
      assert.ok(answers >= 0.6 * all, `${answers} of ${all} answers are known`);
      const share = failures / answers;
      assert.ok(share > 0.45 && share < 0.55, `share ${share.toFixed(2)}`);
    }
  });

  // Reports pass through several entries and come in any order.
  it("counts each answer once however reports travel", () => {
    const a = new RolloutEvidence("a", Math.random);
    const b = new RolloutEvidence("b", Math.random);
    const add = (evidence: RolloutEvidence, isGood: boolean) =>
      evidence.add({ route: "r", endpoint: "e", isTarget: true, isGood });
    add(a, false);
    const early = structuredClone(a.list());
    add(a, true);
    add(b, false);
    b.merge(a.list());
    b.merge(early);
    a.merge(b.list());
    a.merge(b.list());
    for (const evidence of [a, b]) {
      const { answers, failures } = evidence.sum(true);
      assert.deepEqual([answers, failures], [3, 2]);
      assert.deepEqual(evidence.listFailures(), [2]);
    }
  });
});
