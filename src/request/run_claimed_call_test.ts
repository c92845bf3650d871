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
import { type DispatchOutcome, runClaimedCall } from "./run_claimed_call.js";

const STORED_CLAIM = { claim: { attempt: 1, epoch: "e1" } } as StoredClaim;
const ACQUIRED: AcquireOutcome = { kind: "acquired", stored: STORED_CLAIM };
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

/** Runs a call with scripted outcomes; returns its outcome and the calls. */
async function run(script: Script) {
  const calls: string[] = [];
  const rejoins = [...(script.rejoin ?? [])];
  const dispatches = [...(script.dispatch ?? [])];
  const outcome = await runClaimedCall(
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

describe("runClaimedCall", () => {
  it("stores the result in the claim before it returns", async () => {
    const { summary, calls } = await run({ dispatch: [ENDED] });
    assert.equal(summary, "ended");
    assert.deepEqual(calls, ["acquire", "dispatch", "complete"]);
  });

  it("answers a repeated call from the claim, without a second run", async () => {
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

  it("dispatches nothing when the claim is refused or its outcome is unknown", async () => {
    const { refusal } = refuse("in-progress");
    for (const kind of ["refused", "unknown"] as const) {
      const { summary, calls } = await run({ acquire: { kind, refusal } });
      assert.equal(summary, "refused in-progress");
      assert.deepEqual(calls, ["acquire"]);
    }
  });

  it("releases the claim of a call that did not run, for another endpoint", async () => {
    const { summary, calls } = await run({ dispatch: [refuse("capacity")] });
    assert.equal(summary, "not-run capacity");
    assert.deepEqual(calls, ["acquire", "dispatch", "release"]);
  });

  // Without a certain release, the call may still run under the claim.
  it("does not return not-run when the claim could not be released", async () => {
    const release = refuse("outcome-unknown");
    const dispatch = [refuse("capacity")];
    const { summary } = await run({ dispatch, release });
    assert.equal(summary, "refused outcome-unknown");
  });

  it("rejoins the claim when another caller has acquired it", async () => {
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

  // A second acquire could start the call again beside the first run.
  it("rejoins the claim after a broken dispatch, and never acquires twice", async () => {
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

  it("returns outcome-unknown after a limited number of broken dispatches", async () => {
    const { summary, calls } = await run({});
    assert.equal(summary, "refused outcome-unknown");
    assert.equal(calls.filter((call) => call === "dispatch").length, 5);
  });

  it("releases the claim without a dispatch after the deadline", async () => {
    const { summary, calls } = await run({ remainingMs: 0 });
    assert.equal(summary, "not-run deadline-exceeded");
    assert.deepEqual(calls, ["acquire", "release"]);
  });
});
