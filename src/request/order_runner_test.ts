import assert from "node:assert/strict";
import { describe, it } from "node:test";
import {
  createAcquireRequest,
  NEVER_ABORTED,
} from "../billing/claim_fixtures_test.js";
import type {
  AcquireOutcome,
  ReleaseOutcome,
} from "../billing/claim_outcomes.js";
import type { StoredClaim } from "../billing/claim_writes.js";
import { createRefusal } from "../core/index.js";
import { VirtualClock } from "../runtime/fake_store_test.js";
import type { End } from "../schema/index.js";
import { type DispatchOutcome, runOrder } from "./order_runner.js";

const STORED = { claim: { attempt: 1, epoch: "e1" } } as StoredClaim;
const ACQUIRED: AcquireOutcome = { kind: "acquired", stored: STORED };
const END: End = {
  status: 201,
  promptTokens: 0,
  outputTokens: 0,
  body: Buffer.from("made"),
  contentType: "text/plain",
  chunks: 0,
};
const ENDED: DispatchOutcome = { kind: "ended", end: END };
const refuse = (code: "capacity" | "outcome-unknown" | "in-progress") => ({
  kind: "refused" as const,
  refusal: createRefusal(code, "scripted"),
});

interface Script {
  acquire?: AcquireOutcome;
  rejoin?: AcquireOutcome[];
  dispatch?: DispatchOutcome[];
  release?: ReleaseOutcome;
  remainingMs?: number;
}

/** Runs an order with scripted outcomes; gives the result and the calls. */
async function run(script: Script) {
  const calls: string[] = [];
  const rejoins = [...(script.rejoin ?? [])];
  const dispatches = [...(script.dispatch ?? [])];
  const outcome = await runOrder(
    createAcquireRequest(new VirtualClock()),
    {
      claims: {
        acquire: async () => {
          calls.push("acquire");
          return script.acquire ?? ACQUIRED;
        },
        rejoin: async () => {
          calls.push("rejoin");
          return rejoins.shift() ?? ACQUIRED;
        },
        complete: async () => {
          calls.push("complete");
          return "stored";
        },
        release: async () => {
          calls.push("release");
          return script.release ?? { kind: "released" };
        },
      },
      dispatch: async () => {
        calls.push("dispatch");
        return dispatches.shift() ?? refuse("outcome-unknown");
      },
      getRemainingMs: () => script.remainingMs ?? 1_000,
    },
    NEVER_ABORTED,
  );
  const code = "refusal" in outcome ? outcome.refusal.code : "";
  return { outcome, summary: `${outcome.kind} ${code}`.trim(), calls };
}

describe("order runner", () => {
  it("keeps the result in the claim before it answers", async () => {
    const { summary, calls } = await run({ dispatch: [ENDED] });
    assert.equal(summary, "ended");
    assert.deepEqual(calls, ["acquire", "dispatch", "complete"]);
  });

  it("answers a repeat from the claim, without a second run", async () => {
    const answer = {
      status: 201,
      contentType: "text/plain",
      bodyBytes: 4,
      bodyBase64: Buffer.from("made").toString("base64"),
    };
    const { outcome, calls } = await run({ acquire: { kind: "done", answer } });
    assert.deepEqual(outcome, ENDED);
    assert.deepEqual(calls, ["acquire"]);
  });

  it("passes on what the claim refuses or can't tell, and dispatches nothing", async () => {
    const { refusal } = refuse("in-progress");
    for (const kind of ["refused", "unknown"] as const) {
      const { summary, calls } = await run({ acquire: { kind, refusal } });
      assert.equal(summary, "refused in-progress");
      assert.deepEqual(calls, ["acquire"]);
    }
  });

  it("frees the claim of an order that did not run, for another endpoint", async () => {
    const { summary, calls } = await run({ dispatch: [refuse("capacity")] });
    assert.equal(summary, "not-run capacity");
    assert.deepEqual(calls, ["acquire", "dispatch", "release"]);
  });

  // "not run" would be false when the release is not certain.
  it("does not say not-run when the claim could not be freed", async () => {
    const release = refuse("outcome-unknown");
    const dispatch = [refuse("capacity")];
    const { summary } = await run({ dispatch, release });
    assert.equal(summary, "refused outcome-unknown");
  });

  it("waits for the caller that has taken the claim over", async () => {
    const { summary, calls } = await run({
      dispatch: [refuse("capacity"), ENDED],
      release: { kind: "taken" },
    });
    assert.equal(summary, "ended");
    assert.deepEqual(calls.slice(2), [
      "release",
      "rejoin",
      "dispatch",
      "complete",
    ]);
  });

  // A second acquire could start the order again beside the lost run.
  it("rejoins the claim after a break, and never acquires twice", async () => {
    const { summary, calls } = await run({
      dispatch: [refuse("outcome-unknown"), ENDED],
    });
    assert.equal(summary, "ended");
    assert.deepEqual(calls, [
      "acquire",
      "dispatch",
      "rejoin",
      "dispatch",
      "complete",
    ]);
  });

  it("gives up with outcome-unknown after a bounded number of breaks", async () => {
    const { summary, calls } = await run({});
    assert.equal(summary, "refused outcome-unknown");
    assert.equal(calls.filter((call) => call === "dispatch").length, 5);
  });

  it("frees the claim instead of starting after the deadline", async () => {
    const { summary, calls } = await run({ remainingMs: 0 });
    assert.equal(summary, "not-run deadline-exceeded");
    assert.deepEqual(calls, ["acquire", "release"]);
  });
});
