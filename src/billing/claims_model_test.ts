import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRefusal } from "../core/index.js";
import {
  type DispatchOutcome,
  runClaimedCall,
} from "../request/run_claimed_call.js";
import {
  createRandom,
  FakeStore,
  type Random,
  type StoreFault,
  VirtualClock,
} from "../runtime/fake_store_test.js";
import type { Claim } from "../schema/index.js";
import {
  ANSWER,
  createAcquireRequest,
  createEntryClaims,
  NEVER_ABORTED,
  readClaims,
  TEXT_ENCODER,
} from "./claim_fixtures_test.js";
import type { AttemptReport, LookUpAttempt } from "./claim_outcomes.js";
import type { EntryClaims } from "./entry_claims.js";

/** A gate that records attempts and loses the records in a restart. */
class FakeGate {
  epoch = 1;
  /** Request ids of the attempts that ran, by idempotency key. */
  readonly runs = new Map<string, string[]>();
  /** By attempt id: "refused", "running" or the answer's body. */
  readonly #attempts = new Map<string, "refused" | "running" | string>();
  readonly #clock: VirtualClock;
  readonly #random: Random;

  constructor(clock: VirtualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  restart() {
    this.epoch += 1;
    this.#attempts.clear();
  }

  async dispatch(claim: Claim): Promise<string | "not-run" | "broken"> {
    await this.#clock.sleep(this.#random(20));
    const attemptId = `${claim.requestId}/${claim.attempt}`;
    if (claim.epoch !== String(this.epoch)) return "not-run";
    if (this.#attempts.has(attemptId)) return "not-run";
    if (this.#random(4) === 0) {
      this.#attempts.set(attemptId, "refused");
      return "not-run";
    }
    this.#attempts.set(attemptId, "running");
    const runs = this.runs.get(claim.key) ?? [];
    runs.push(claim.requestId);
    this.runs.set(claim.key, runs);
    const { epoch } = this;
    await this.#clock.sleep(this.#random(800));
    if (epoch !== this.epoch) return "broken";
    this.#attempts.set(attemptId, `answer of ${attemptId}`);
    return this.#random(4) === 0 ? "broken" : `answer of ${attemptId}`;
  }

  async lookUp(claim: Parameters<LookUpAttempt>[0]): Promise<AttemptReport> {
    await this.#clock.sleep(this.#random(20));
    if (claim.epoch !== String(this.epoch)) return { kind: "other-epoch" };
    const attemptId = `${claim.requestId}/${claim.attempt}`;
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) this.#attempts.set(attemptId, "refused");
    if (this.#random(6) === 0) return { kind: "unreachable" };
    if (attempt === undefined || attempt === "refused") {
      return { kind: "revoked" };
    }
    return attempt === "running"
      ? { kind: "running" }
      : { kind: "ended", ...ANSWER, body: TEXT_ENCODER.encode(attempt) };
  }
}

const FAULTS: StoreFault[] = ["unavailable", "lost-reply", "lost", "late"];

const stepArbitrary = fc.record({
  kind: fc.constantFrom(
    ...Array.from({ length: 6 }, () => "order" as const),
    "kill" as const,
    "restart-gate" as const,
    "store-down" as const,
    "store-up" as const,
  ),
  entry: fc.nat(2),
  key: fc.nat(1),
  pauseMs: fc.constantFrom(0, 0, 50, 3_000),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

interface Answer {
  key: string;
  requestId: string;
  kind: "done" | "not-run" | "unknown";
  body: string;
  /** False once the entry that answered was killed. */
  isAlive: () => boolean;
}

/** Runs one caller's request as an entry does; undefined if it is killed. */
async function runClaimedRequest(
  parts: { clock: VirtualClock; gate: FakeGate; claims: EntryClaims },
  call: { requestId: string; key: string; pauseMs: number; isAlive(): boolean },
): Promise<Answer | undefined> {
  const { clock, gate, claims } = parts;
  const { requestId, key, pauseMs, isAlive } = call;
  const epoch = String(gate.epoch);
  const dispatch = async (claim: Claim): Promise<DispatchOutcome> => {
    await clock.sleep(pauseMs);
    const result = isAlive() ? await gate.dispatch(claim) : "broken";
    if (!isAlive()) return new Promise(() => undefined);
    if (result === "not-run" || result === "broken") {
      const code = result === "broken" ? "outcome-unknown" : "capacity";
      return { kind: "refused", refusal: createRefusal(code, "") };
    }
    const end = { ...ANSWER, promptTokens: 0, outputTokens: 0, chunks: 0 };
    return {
      kind: "ended",
      end: { ...end, body: TEXT_ENCODER.encode(result) },
    };
  };
  const outcome = await Promise.race([
    runClaimedCall(
      createAcquireRequest(clock, { requestId, key, epoch }),
      { claims, dispatch, getRemainingMs: () => 1 },
      NEVER_ABORTED,
    ),
    clock.sleep(40_000),
  ]);
  if (outcome === undefined || !isAlive()) return undefined;
  if (outcome.kind === "ended") {
    const body = Buffer.from(outcome.end.body).toString();
    return { key, requestId, kind: "done", body, isAlive };
  }
  const kind = outcome.refusal.ran === "no" ? "not-run" : "unknown";
  return { key, requestId, kind, body: "", isAlive };
}

async function runModel(seed: number, plan: Step[]) {
  const clock = new VirtualClock();
  const random = createRandom(seed);
  let isFaultFree = false;
  const store = new FakeStore(clock, () => {
    if (isFaultFree || random(4) > 0) return "none";
    return FAULTS[random(FAULTS.length)] ?? "none";
  });
  const gate = new FakeGate(clock, random);
  const lookUpAttempt: LookUpAttempt = (claim) => gate.lookUp(claim);
  const createLiveEntry = () => ({
    isAlive: true,
    ...createEntryClaims({ clock, store, lookUpAttempt }),
  });
  const entries = [createLiveEntry(), createLiveEntry(), createLiveEntry()];
  const calls: Promise<Answer | undefined>[] = [];
  for (const [index, step] of plan.entries()) {
    if (step.kind === "restart-gate") gate.restart();
    if (step.kind.startsWith("store"))
      store.isDown = step.kind === "store-down";
    if (step.kind === "kill") {
      const killed = entries[step.entry];
      if (killed !== undefined) killed.isAlive = false;
      entries[step.entry] = createLiveEntry();
    }
    if (step.kind === "order") {
      const entry = entries[step.entry];
      if (entry === undefined) continue;
      const call = {
        requestId: `r${index}`,
        key: `k${step.key}`,
        pauseMs: step.pauseMs,
        isAlive: () => entry.isAlive,
      };
      calls.push(
        runClaimedRequest({ clock, gate, claims: entry.claims }, call),
      );
    }
    await clock.advance(random(200));
  }
  isFaultFree = true;
  store.isDown = false;
  const answers = await clock.runUntilSettled(Promise.all(calls));
  for (const entry of entries)
    await clock.runUntilSettled(entry.pending.flush(NEVER_ABORTED));
  return { answers: answers.filter((a) => a !== undefined), gate, store };
}

describe("entry claims under faults", () => {
  it("runs each key at most once and reports one correct outcome", async () => {
    const kinds = { done: 0, "not-run": 0, unknown: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.nat(),
        fc.array(stepArbitrary, { minLength: 3, maxLength: 25 }),
        async (seed, plan) => {
          const { answers, gate, store } = await runModel(seed, plan);
          for (const runs of gate.runs.values()) {
            assert.equal(runs.length, 1, "a key ran twice");
          }
          const bodies = new Map<string, string>();
          for (const answer of answers) {
            kinds[answer.kind] += 1;
            const runs = gate.runs.get(answer.key) ?? [];
            if (answer.kind === "not-run") {
              assert.ok(
                !runs.includes(answer.requestId),
                "a request that ran was reported as not run",
              );
            }
            if (answer.kind !== "done") continue;
            const body = bodies.get(answer.key) ?? answer.body;
            bodies.set(answer.key, body);
            assert.equal(answer.body, body, "answers of one key differ");
          }
          const billed = new Set(
            readClaims(store).flatMap((c) => (c.bill ? [c.key] : [])),
          );
          for (const { kind, key, isAlive } of answers) {
            if (kind !== "done" || !isAlive()) continue;
            assert.ok(billed.has(key), "an answered request has no bill");
          }
          for (const claim of readClaims(store)) {
            if (claim.bill === undefined) continue;
            const runs = gate.runs.get(claim.key) ?? [];
            assert.ok(
              runs.includes(claim.bill.requestId),
              "billed a request that did not run",
            );
          }
        },
      ),
      {
        numRuns: 400,
        seed: 7,
        interruptAfterTimeLimit: 20_000,
        includeErrorInReport: true,
      },
    );
    for (const [kind, count] of Object.entries(kinds)) {
      assert.ok(count > 0, `no answer of kind "${kind}" was exercised`);
    }
  });
});
