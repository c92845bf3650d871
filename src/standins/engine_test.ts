import assert from "node:assert/strict";
import { describe, it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type CompletionChunk, createHttpEngine } from "../adapters/index.js";
import type { Priority } from "../schema/index.js";
import { checkAnswer } from "./answers.js";
import type { RunRecord } from "./engine_run.js";
import {
  expectFailure,
  expectOk,
  NEVER_ABORTED,
  SUITE_TIMEOUT_MS,
  startTestStandin,
  waitUntil,
} from "./testing.js";

interface EngineRecord {
  runs: RunRecord[];
  orders: { refused: boolean; stale: boolean; overlapping: boolean }[];
  maxRunningWhileCold: number;
  coldOverloads: object[];
}

interface CompletionOptions {
  /** Tokens of the answer. */
  tokens?: number;
  prompt?: string;
  priority?: Priority;
  version?: string;
  /** Aborts the request at its first chunk. */
  controller?: AbortController;
}

async function startEngine(context: TestContext, options: object = {}) {
  const all = { versions: "small-1,big-1", tokensPerSecond: 4_000, ...options };
  const standin = await startTestStandin(context, "engine", all);
  const engine = createHttpEngine(standin.target);
  async function complete(requestId: string, options: CompletionOptions = {}) {
    const { tokens = 5, prompt = "Pump?", priority = "interactive" } = options;
    const { version = "small-1", controller } = options;
    const messages = [{ role: "user", content: prompt }];
    const body = JSON.stringify({ messages, max_tokens: tokens });
    const headers = { requestId, version, account: "a1", session: "s1" };
    let text = "";
    const onChunk = (chunk: CompletionChunk) => {
      text += chunk.text;
      controller?.abort();
    };
    const startedMs = performance.now();
    const signal = controller?.signal ?? NEVER_ABORTED;
    const request = { ...headers, body, priority };
    const result = await engine.complete(request, onChunk, signal);
    return { result, text, tookMs: performance.now() - startedMs };
  }
  const readRuns = async () => (await standin.readRecord<EngineRecord>()).runs;
  const readLoad = () => expectOk(engine.readLoad(NEVER_ABORTED));
  return { standin, engine, complete, readRuns, readLoad };
}

describe("engine stand-in", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("streams answers whose check detects missing and swapped text", async (t) => {
    const { complete, readRuns } = await startEngine(t);
    const ids = ["r1", "r2", "r3"];
    const answers = await Promise.all(
      ids.map((id) => complete(id, { tokens: 40 })),
    );
    for (const [index, { result, text }] of answers.entries()) {
      assert.equal(result._unsafeUnwrap().outputTokens, 40);
      const { isWhole, requestId, version, chunks } = checkAnswer(text);
      assert.deepEqual(
        [isWhole, requestId, version, chunks],
        [true, ids[index], "small-1", 40],
      );
      assert.equal(checkAnswer(text.slice(0, -1)).isWhole, false);
      assert.equal(checkAnswer(text.replace("rotor1 ", "")).isWhole, false);
    }
    const [run] = await readRuns();
    assert.deepEqual(
      [run?.account, run?.session, run?.outcome, run?.outputTokens],
      ["a1", "s1", "done", 40],
    );
    const crossed = answers[0]?.text.replace("answer r1", "answer r2") ?? "";
    assert.equal(checkAnswer(crossed).isWhole, false);
  });

  it("runs only loaded versions and takes time to load one by an order", async (t) => {
    const { complete, engine, readLoad } = await startEngine(t, {
      loadMs: 300,
    });
    const version = "new-1";
    await expectFailure(
      (await complete("r1", { version })).result,
      "version-not-loaded no",
    );
    await expectOk(
      engine.sendOrder({ kind: "load", version, fence: 1 }, NEVER_ABORTED),
    );
    const { loading, versions } = await readLoad();
    assert.deepEqual([loading, versions], [[version], ["small-1", "big-1"]]);
    await waitUntil(async () => (await readLoad()).loading.length === 0);
    assert.ok((await readLoad()).versions.includes(version));
    assert.ok((await complete("r2", { version })).result.isOk());
  });

  it("refuses an old fencing number, or accepts it and records the overlap", async (t) => {
    for (const honoursFencing of [true, false]) {
      const options = { honoursFencing, loadMs: 1_000 };
      const { engine, standin } = await startEngine(t, options);
      const order = (fence: number) =>
        engine.sendOrder(
          { kind: "load", version: `v-${fence}`, fence },
          NEVER_ABORTED,
        );
      await expectOk(order(5));
      if (honoursFencing) await expectFailure(order(4), "old-fence no");
      else await expectOk(order(4));
      const { orders } = await standin.readRecord<EngineRecord>();
      assert.deepEqual(
        orders.map((entry) => [entry.stale, entry.refused, entry.overlapping]),
        [
          [false, false, false],
          [true, honoursFencing, !honoursFencing],
        ],
      );
    }
  });

  it("decodes at 60% of the speed when all slots are in use", async (t) => {
    const { complete } = await startEngine(t, {
      slots: 4,
      tokensPerSecond: 500,
    });
    const tokens = 400;
    const aloneMs = (await complete("r0", { tokens })).tookMs;
    const ids = ["r1", "r2", "r3", "r4"];
    const concurrent = await Promise.all(
      ids.map((id) => complete(id, { tokens })),
    );
    const ratio = aloneMs / Math.max(...concurrent.map(({ tookMs }) => tookMs));
    assert.ok(
      ratio > 0.45 && ratio < 0.75,
      `Speed is ${ratio} of a single run's`,
    );
  });

  it("shortens prefill for a cached prefix until the engine turns cold", async (t) => {
    const options = { prefillTokensPerSecond: 2_500 };
    const { complete, standin } = await startEngine(t, options);
    const prompt = "sizing report ".repeat(500);
    const first = await complete("r1", { prompt });
    const again = await complete("r2", { prompt: `${prompt} and more` });
    const both = `${first.tookMs} and ${again.tookMs} ms`;
    assert.ok(first.tookMs > 650 && again.tookMs < first.tookMs / 2, both);
    await standin.control({ turnCold: true });
    assert.ok((await complete("r3", { prompt })).tookMs > 650);
  });

  it("fails all runs when a cold engine gets more than its cold slots", async (t) => {
    const options = {
      coldStartMs: 1_500,
      slotsWhileCold: 2,
      tokensPerSecond: 300,
    };
    const { complete, standin, readLoad, readRuns } = await startEngine(
      t,
      options,
    );
    const tokens = 1_000;
    const running = [complete("r1", { tokens }), complete("r2", { tokens })];
    await waitUntil(async () => {
      const runs = await readRuns();
      return runs.length === 2 && runs.every((run) => run.outputTokens > 0);
    });
    assert.equal((await readLoad()).cold, true);
    await expectFailure((await complete("r3")).result, "failed unknown");
    for (const { result, text } of await Promise.all(running)) {
      await expectFailure(result, "failed yes");
      assert.equal(checkAnswer(text).isWhole, false);
    }
    const record = await standin.readRecord<EngineRecord>();
    assert.equal(record.maxRunningWhileCold, 3);
    assert.equal(record.coldOverloads.length, 1);
    const outcomes = record.runs.map((run) => run.outcome);
    assert.deepEqual(outcomes, ["failed", "failed", "failed"]);
    await waitUntil(async () => !(await readLoad()).cold);
    const warm = await Promise.all(
      ["r4", "r5", "r6"].map((id) => complete(id)),
    );
    assert.ok(warm.every(({ result }) => result.isOk()));
  });

  it("reports its load with a delay", async (t) => {
    const options = { loadLagMs: 400, tokensPerSecond: 200 };
    const { complete, readLoad } = await startEngine(t, options);
    const completion = complete("r1", { tokens: 100 });
    await sleep(60);
    assert.equal((await readLoad()).running, 0);
    await sleep(450);
    assert.equal((await readLoad()).running, 1);
    await completion;
    assert.equal((await readLoad()).running, 1);
  });

  it("starts queued requests by priority and refuses those beyond its queue", async (t) => {
    const options = { slots: 1, maxQueue: 3, tokensPerSecond: 400 };
    const { complete, readRuns, readLoad } = await startEngine(t, options);
    const waiting = [complete("first", { tokens: 400 })];
    await waitUntil(async () => (await readLoad()).running === 1);
    for (const priority of ["batch", "interactive", "urgent"] as const) {
      waiting.push(complete(priority, { priority }));
    }
    await waitUntil(async () => (await readLoad()).queued === 3);
    await expectFailure((await complete("over")).result, "overloaded no");
    await Promise.all(waiting);
    const runs = (await readRuns()).filter((run) => run.outcome === "done");
    runs.sort((a, b) => (a.startAtMs ?? 0) - (b.startAtMs ?? 0));
    assert.deepEqual(
      runs.map((run) => run.requestId),
      ["first", "urgent", "interactive", "batch"],
    );
  });

  it("frees the slot of a request whose connection closes", async (t) => {
    const { complete, readRuns, readLoad } = await startEngine(t);
    const controller = new AbortController();
    const { result } = await complete("r1", { tokens: 90_000, controller });
    await expectFailure(result, "aborted yes");
    await waitUntil(async () => (await readLoad()).running === 0);
    assert.equal((await readRuns())[0]?.outcome, "cancelled");
  });

  it("makes a version's answers bad, slows down and freezes on control calls", async (t) => {
    const { complete, standin } = await startEngine(t, {
      acceptable: "big-1=0.5",
    });
    await standin.control({ turnBad: "small-1" });
    assert.equal(checkAnswer((await complete("r1")).text).acceptable, false);
    await standin.control({ turnGood: "small-1" });
    assert.equal(checkAnswer((await complete("r1")).text).acceptable, true);
    const ids = Array.from({ length: 60 }, (_, index) => `q${index}`);
    let acceptableCount = 0;
    for (const id of ids) {
      const { text } = await complete(id, { version: "big-1", tokens: 2 });
      if (checkAnswer(text).acceptable) acceptableCount += 1;
    }
    assert.ok(
      acceptableCount > 18 && acceptableCount < 42,
      `${acceptableCount} of 60 are acceptable`,
    );
    await standin.control({ speedFactor: 0.05 });
    assert.ok((await complete("r2", { tokens: 40 })).tookMs > 150);
    await standin.control({ speedFactor: 1, frozen: true });
    const frozen = complete("r3");
    assert.equal(await Promise.race([frozen, sleep(100, "waits")]), "waits");
    await standin.control({ frozen: false });
    assert.ok((await frozen).result.isOk());
  });
});
