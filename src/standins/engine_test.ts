import assert from "node:assert/strict";
import { it, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createHttpEngine } from "../adapters/index.js";
import type { Priority } from "../schema/index.js";
import { checkAnswer, createAnswer } from "./answers.js";
import type { RunRecord } from "./engine_run.js";
import { NEVER, startTestStandin, TEST_TIMEOUT_MS } from "./testing.js";

const limits = { timeout: 3 * TEST_TIMEOUT_MS };
const FAST = { versions: "small-1,big-1", tokensPerSecond: 4_000 };

interface EngineRecord {
  startId: string;
  runs: RunRecord[];
  orders: {
    fence: number;
    refused: boolean;
    stale: boolean;
    overlapping: boolean;
  }[];
  maxRunningWhileCold: number;
  coldOverloads: object[];
}

interface AskOptions {
  tokens?: number;
  prompt?: string;
  priority?: Priority;
  version?: string;
  signal?: AbortSignal;
}

async function startEngine(context: TestContext, options: object = {}) {
  const standin = await startTestStandin(context, "engine", {
    ...FAST,
    ...options,
  });
  const engine = createHttpEngine(standin.target);
  async function ask(requestId: string, asked: AskOptions = {}) {
    const { tokens = 5, prompt = "Pump?", priority = "interactive" } = asked;
    const { version = "small-1", signal = NEVER } = asked;
    const messages = [{ role: "user", content: prompt }];
    const body = JSON.stringify({ messages, max_tokens: tokens });
    const request = {
      requestId,
      version,
      body,
      priority,
      account: "a1",
      session: "s1",
    };
    let text = "";
    const startedMs = performance.now();
    const result = await engine.complete(
      request,
      (chunk) => {
        text += chunk.text;
      },
      signal,
    );
    return { result, text, tookMs: performance.now() - startedMs };
  }
  const readRuns = async () => (await standin.readRecord<EngineRecord>()).runs;
  return { standin, engine, ask, readRuns };
}

it(
  "streams whole answers that are told from partial and crossed ones",
  limits,
  async (t) => {
    const { ask, readRuns } = await startEngine(t);
    const ids = ["r1", "r2", "r3"];
    const answers = await Promise.all(ids.map((id) => ask(id, { tokens: 40 })));
    for (const [index, { result, text }] of answers.entries()) {
      const completion = result._unsafeUnwrap();
      assert.equal(completion.outputTokens, 40);
      assert.deepEqual(checkAnswer(text), {
        whole: true,
        requestId: ids[index],
        version: "small-1",
        chunks: 40,
        acceptable: true,
      });
      assert.equal(checkAnswer(text.slice(0, -1)).whole, false);
      assert.equal(checkAnswer(text.replace("rotor1 ", "")).whole, false);
    }
    const [run] = await readRuns();
    assert.deepEqual(
      [run?.account, run?.session, run?.outcome, run?.outputTokens],
      ["a1", "s1", "done", 40],
    );
    const crossed = createAnswer({
      requestId: "x",
      version: "v",
      chunks: 5,
      acceptable: true,
    });
    assert.equal(
      checkAnswer(crossed.join("").replace("answer x", "answer y")).whole,
      false,
    );
  },
);

it(
  "runs only loaded versions and loads one in the time of an order",
  limits,
  async (t) => {
    const { ask, engine } = await startEngine(t, { loadMs: 150 });
    const refused = (
      await ask("r1", { version: "new-1" })
    ).result._unsafeUnwrapErr();
    assert.deepEqual([refused.kind, refused.ran], ["version-not-loaded", "no"]);
    const order = { kind: "load", version: "new-1", fence: 1 } as const;
    (await engine.order(order, NEVER))._unsafeUnwrap();
    const during = (await engine.readLoad(NEVER))._unsafeUnwrap();
    assert.deepEqual([during.loading, during.versions.length], [["new-1"], 2]);
    await sleep(250);
    const after = (await engine.readLoad(NEVER))._unsafeUnwrap();
    assert.deepEqual([after.loading, after.versions.length], [[], 3]);
    assert.ok((await ask("r2", { version: "new-1" })).result.isOk());
  },
);

it(
  "refuses an old fencing number, or obeys it and shows the overlap",
  limits,
  async (t) => {
    for (const honoursFencing of [true, false]) {
      const { engine, standin } = await startEngine(t, { honoursFencing });
      const order = (fence: number) =>
        engine.order({ kind: "load", version: `v-${fence}`, fence }, NEVER);
      assert.ok((await order(5)).isOk());
      const late = await order(4);
      assert.equal(late.isOk(), !honoursFencing);
      if (late.isErr())
        assert.deepEqual(
          [late.error.kind, late.error.ran],
          ["old-fence", "no"],
        );
      const { orders } = await standin.readRecord<EngineRecord>();
      assert.deepEqual(
        orders.map(({ stale, refused, overlapping }) => [
          stale,
          refused,
          overlapping,
        ]),
        [
          [false, false, false],
          [true, honoursFencing, !honoursFencing],
        ],
      );
    }
  },
);

it(
  "decodes at 60% of the speed when all slots are in use",
  limits,
  async (t) => {
    const { ask } = await startEngine(t, { slots: 4, tokensPerSecond: 500 });
    const alone = (await ask("r0", { tokens: 150 })).tookMs;
    const full = await Promise.all(
      ["r1", "r2", "r3", "r4"].map((id) => ask(id, { tokens: 150 })),
    );
    const ratio = alone / Math.max(...full.map(({ tookMs }) => tookMs));
    assert.ok(ratio > 0.45 && ratio < 0.75, `Speed is ${ratio} of that alone`);
  },
);

it(
  "shortens prefill for a cached prefix, until the engine turns cold",
  limits,
  async (t) => {
    const { ask, standin } = await startEngine(t, {
      prefillTokensPerSecond: 5_000,
    });
    const prompt = "sizing report ".repeat(500);
    const first = await ask("r1", { prompt });
    const again = await ask("r2", { prompt: `${prompt} and more` });
    assert.ok(first.tookMs > 300, `First took ${first.tookMs} ms`);
    assert.ok(
      again.tookMs < first.tookMs / 2,
      `Second took ${again.tookMs} ms`,
    );
    await standin.control({ turnCold: true });
    assert.ok((await ask("r3", { prompt })).tookMs > 300);
  },
);

it(
  "fails all it runs when a cold engine gets more than its cold slots",
  limits,
  async (t) => {
    const { ask, engine, standin, readRuns } = await startEngine(t, {
      coldStartMs: 1_000,
      slotsWhileCold: 2,
      tokensPerSecond: 300,
    });
    const tokens = 1_000;
    const held = [ask("r1", { tokens }), ask("r2", { tokens })];
    await sleep(60);
    assert.equal((await engine.readLoad(NEVER))._unsafeUnwrap().cold, true);
    const all = await Promise.all([...held, ask("r3")]);
    const kinds = all.map(({ result }) => result._unsafeUnwrapErr().kind);
    assert.deepEqual(kinds, ["failed", "failed", "failed"]);
    assert.ok(all.every(({ text }) => !checkAnswer(text).whole));
    const record = await standin.readRecord<EngineRecord>();
    assert.equal(record.maxRunningWhileCold, 3);
    assert.equal(record.coldOverloads.length, 1);
    await sleep(1_000);
    const warm = await Promise.all(["r4", "r5", "r6"].map((id) => ask(id)));
    assert.ok(warm.every(({ result }) => result.isOk()));
    assert.equal(
      (await readRuns()).filter((run) => run.outcome === "failed").length,
      3,
    );
  },
);

it("reports its load late", limits, async (t) => {
  const { ask, engine } = await startEngine(t, {
    loadLagMs: 400,
    tokensPerSecond: 200,
  });
  const asked = ask("r1", { tokens: 100 });
  await sleep(60);
  assert.equal((await engine.readLoad(NEVER))._unsafeUnwrap().running, 0);
  await sleep(450);
  assert.equal((await engine.readLoad(NEVER))._unsafeUnwrap().running, 1);
  await asked;
  assert.equal((await engine.readLoad(NEVER))._unsafeUnwrap().running, 1);
});

it(
  "starts waiting requests by priority and refuses those above its queue",
  limits,
  async (t) => {
    const { ask, readRuns } = await startEngine(t, {
      slots: 1,
      maxQueue: 3,
      tokensPerSecond: 400,
    });
    const waiting = [ask("first", { tokens: 60 })];
    for (const priority of ["batch", "interactive", "urgent"] as const) {
      await sleep(20);
      waiting.push(ask(priority, { priority }));
    }
    await sleep(20);
    const refused = (await ask("over")).result._unsafeUnwrapErr();
    assert.deepEqual([refused.kind, refused.ran], ["overloaded", "no"]);
    await Promise.all(waiting);
    const runs = (await readRuns()).filter((run) => run.outcome === "done");
    runs.sort((a, b) => (a.startAtMs ?? 0) - (b.startAtMs ?? 0));
    assert.deepEqual(
      runs.map((run) => run.requestId),
      ["first", "urgent", "interactive", "batch"],
    );
  },
);

it("frees the slot of a request whose connection closes", limits, async (t) => {
  const { ask, readRuns, engine } = await startEngine(t, {
    tokensPerSecond: 100,
  });
  const controller = new AbortController();
  const asked = ask("r1", { tokens: 1_000, signal: controller.signal });
  await sleep(100);
  controller.abort();
  const failure = (await asked).result._unsafeUnwrapErr();
  assert.deepEqual([failure.kind, failure.ran], ["aborted", "yes"]);
  await sleep(50);
  assert.equal((await engine.readLoad(NEVER))._unsafeUnwrap().running, 0);
  assert.deepEqual(
    (await readRuns()).map((run) => run.outcome),
    ["cancelled"],
  );
});

it(
  "turns a version's answers bad, slows down and freezes by control",
  limits,
  async (t) => {
    const { ask, standin } = await startEngine(t, { acceptable: "big-1=0.5" });
    await standin.control({ turnBad: "small-1" });
    assert.equal(checkAnswer((await ask("r1")).text).acceptable, false);
    await standin.control({ turnGood: "small-1" });
    assert.equal(checkAnswer((await ask("r1")).text).acceptable, true);
    const ids = Array.from({ length: 60 }, (_, index) => `q${index}`);
    let good = 0;
    for (const id of ids) {
      const { text } = await ask(id, { version: "big-1", tokens: 2 });
      if (checkAnswer(text).acceptable) good += 1;
    }
    assert.ok(good > 18 && good < 42, `${good} of 60 are acceptable`);
    await standin.control({ speedFactor: 0.05 });
    assert.ok((await ask("r2", { tokens: 40 })).tookMs > 150);
    await standin.control({ speedFactor: 1, frozen: true });
    const frozen = ask("r3");
    assert.equal(await Promise.race([frozen, sleep(100, "waits")]), "waits");
    await standin.control({ frozen: false });
    assert.ok((await frozen).result.isOk());
  },
);
