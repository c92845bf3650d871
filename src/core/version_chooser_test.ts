import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { estimateJudge } from "./judge_estimate.js";
import { QualityEstimates } from "./quality_estimates.js";
import { VersionChooser } from "./version_chooser.js";

const COSTS: Record<string, number> = { small: 0.1, medium: 0.4, large: 1 };
const NO_VERSIONS: ReadonlySet<string> = new Set();

function createChooser(unitMs: Record<string, number> = {}) {
  const quality = new QualityEstimates();
  const chooser = new VersionChooser({
    random: () => 0.999,
    quality,
    getCost: (version) => COSTS[version] ?? 0,
    getSpeed: (version) => ({ unitMs: unitMs[version] ?? 10, waitMs: 0 }),
    getLength: () => ({
      meanLog: Math.log(100),
      varianceLog: 0.25,
      meanKiloTokens: 0.2,
      count: 100,
    }),
    judgeCostPerCall: 0.002,
  });
  const rate = (version: string, share: number, count = 2_000) => {
    quality.recordAnswer("chat", version, { role: "single" });
    const accepted = Math.round(share * count);
    const counts = { accepted, rejected: count - accepted };
    quality.recordRatings("chat", version, counts);
  };
  const choose = (qualityTarget: number, remainingMs = 60_000) =>
    chooser.choose(
      {
        requestClass: "chat",
        candidates: ["small", "medium", "large"],
        rolloutVersions: NO_VERSIONS,
        qualityTarget,
        remainingMs,
      },
      0,
    );
  return { quality, rate, choose, chooser };
}

describe("version choice", () => {
  // Guards against paying for more quality than the target.
  it("takes the cheapest single version that meets the target", () => {
    const { rate, choose } = createChooser();
    rate("small", 0.97);
    rate("medium", 0.98);
    rate("large", 0.99);
    assert.deepEqual(choose(0.9)?.steps, ["small"]);
  });

  it("takes a cascade that costs less than a single version on target", () => {
    const { rate, choose } = createChooser();
    rate("small", 0.8);
    rate("medium", 0.85);
    rate("large", 0.98);
    assert.deepEqual(choose(0.9)?.steps, ["small", "large"]);
  });

  // Guards against a second step that ends after the deadline.
  it("leaves out the cascade when there is no time for two steps", () => {
    const { rate, choose } = createChooser({ small: 20, large: 5 });
    rate("small", 0.5);
    rate("medium", 0.6);
    rate("large", 0.98);
    assert.equal(choose(0.85, 60_000)?.steps.length, 2);
    const hurried = createChooser({ small: 20, large: 5 });
    hurried.rate("small", 0.5);
    hurried.rate("medium", 0.6);
    hurried.rate("large", 0.98);
    assert.deepEqual(hurried.choose(0.85, 1_200)?.steps, ["large"]);
  });

  // Guards against a roll-out whose answers are never judged.
  it("uses a version in roll-out only where the judge can escalate", () => {
    const { rate, chooser } = createChooser();
    rate("small", 0.99);
    rate("large", 0.99);
    const plan = chooser.choose(
      {
        requestClass: "chat",
        candidates: ["small", "large"],
        rolloutVersions: new Set(["small"]),
        qualityTarget: 0.9,
        remainingMs: 60_000,
      },
      0,
    );
    assert.notDeepEqual(plan?.steps, ["small"]);
  });
});

describe("quality estimates", () => {
  // Guards against an estimate without variance after few good answers.
  it("keeps a wide variance on little evidence", () => {
    const { quality, rate } = createChooser();
    rate("medium", 1, 20);
    const { mean, variance } = quality.estimate("chat", "medium");
    assert.ok(mean - 2 * Math.sqrt(variance) < 0.93);
  });

  // Guards against a low estimate of a version that gets the hard requests.
  it("corrects ratings of escalated answers for the harder requests", () => {
    const { quality } = createChooser();
    for (let i = 0; i < 1_000; i++) {
      quality.recordVerdict("chat", "small", i % 1_000 < 560);
      const answer = { role: "escalated", rejectedVersion: "small" } as const;
      if (i < 440) quality.recordAnswer("chat", "large", answer);
    }
    // Stands for a version that is acceptable on 0.96 of all requests.
    const counts = { accepted: 915, rejected: 85 };
    quality.recordRatings("chat", "large", counts);
    const { mean } = quality.estimate("chat", "large");
    assert.ok(Math.abs(mean - 0.96) < 0.02, `${mean}`);
  });

  it("estimates the judge's error rates from verdicts and ratings", () => {
    const sample = (share: number) => {
      const passShare = share * 0.95 + (1 - share) * 0.3;
      const acceptedShare = (share * 0.95) / passShare;
      return { ratedCount: 3_000, acceptedShare, passShare };
    };
    const judge = estimateJudge([0.5, 0.6, 0.8, 0.9].map(sample));
    assert.ok(Math.abs(judge.sensitivity - 0.95) < 0.03);
    assert.ok(Math.abs(judge.specificity - 0.7) < 0.04);
  });
});
