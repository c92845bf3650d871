import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sortByRendezvous } from "../../core/canonical.js";
import { createRandom } from "../../standins/random.js";
import { createEndpointRecord } from "../endpoint_record_fixtures_test.js";
import {
  type ChoiceOptions,
  chooseEndpoint,
  estimateTokensToRead,
  NO_LIMITS,
} from "./endpoint_choice.js";
import { ATTEMPT_RESULT, EndpointState } from "./endpoint_state.js";

function createEndpoint(id: string, slots = 64): EndpointState {
  return new EndpointState(createEndpointRecord(id, { slots }), 0);
}

const WORK = { model: "", parts: [], promptTokens: 1_000, tokenTimeRatio: 1 };

function createOptions(fields: Partial<ChoiceOptions> = {}): ChoiceOptions {
  return {
    work: WORK,
    nowMs: 0,
    random: () => 0,
    triedIds: new Set(),
    preferredIds: [],
    entryCount: 1,
    getColdPerSecond: () => 1,
    limits: NO_LIMITS,
    ...fields,
  };
}

const choose = (states: EndpointState[], fields?: Partial<ChoiceOptions>) =>
  chooseEndpoint(states, createOptions(fields))?.state.record.id;

describe("endpoint choice", () => {
  it("avoids an endpoint that still has long prompts to read", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    a.pendingPromptTokens = 20_000;
    assert.equal(choose([a, b]), "b");
  });

  // An early refusal serves callers better than a place at the queue's end.
  it("doesn't overload the last open endpoint when others have closed", () => {
    const [a, b] = [createEndpoint("a", 4), createEndpoint("b", 4)];
    b.inFlight = 8;
    a.inFlight = 8;
    assert.equal(choose([a, b], { random: () => 0 }), "a");
    a.availability.closeFor(1_000, 0);
    assert.equal(choose([a, b]), undefined);
    b.inFlight = 7;
    assert.equal(choose([a, b]), "b");
    b.inFlight = 8;
    assert.equal(choose([a, b], { nowMs: 1_001 }), "a");
  });

  it("never chooses a closed endpoint, even as the only one", () => {
    const a = createEndpoint("a");
    a.availability.closeFor(1_000, 0);
    assert.equal(choose([a]), undefined);
    assert.equal(choose([a], { nowMs: 999 }), undefined);
    assert.equal(choose([a], { nowMs: 1_000 }), "a");
  });

  it("prefers the faster endpoint", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    a.serviceTimeRatio = 2.4;
    assert.equal(choose([a, b]), "b");
  });

  it("prefers an endpoint that has the parts cached, unless overloaded", () => {
    const parts = [
      { id: "shared", tokens: 5_000 },
      { id: "own", tokens: 500 },
    ];
    const work = { ...WORK, parts, promptTokens: 5_500 };
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    b.promptCache.record("", parts);
    assert.equal(choose([a, b], { work }), "b");
    b.pendingPromptTokens = 40_000;
    assert.equal(choose([a, b], { work }), "a");
  });

  // An engine reads a part again unless it has cached all parts before it.
  it("counts cached parts only from the start of the prompt", () => {
    const state = createEndpoint("a");
    state.promptCache.record("m", [{ id: "second", tokens: 300 }]);
    const parts = [
      { id: "first", tokens: 500 },
      { id: "second", tokens: 300 },
    ];
    const work = { ...WORK, model: "m", parts, promptTokens: 900 };
    assert.equal(estimateTokensToRead(state, work, []), 900);
    state.promptCache.record("m", [{ id: "first", tokens: 500 }]);
    assert.equal(estimateTokensToRead(state, work, []), 100);
  });

  it("chooses no endpoint twice, and none when all were tried", () => {
    const states = [createEndpoint("a"), createEndpoint("b")];
    assert.equal(choose(states, { triedIds: new Set(["a"]) }), "b");
    assert.equal(choose(states, { triedIds: new Set(["a", "b"]) }), undefined);
  });

  // Endpoints that fail fast have a low load and would attract all requests.
  it("pauses an endpoint that fails even if its load is low", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    const result = ATTEMPT_RESULT.broken;
    for (let i = 0; i < 3; i++) {
      a.recordResult(result, { peerFailureShare: 0, nowMs: 0 });
    }
    b.inFlight = 30;
    assert.equal(choose([a, b], { nowMs: 100 }), "b");
    assert.equal(choose([a], { nowMs: 100 }), "a");
  });

  // It looks idle, so each request would waste its first attempt there.
  it("avoids an endpoint that refuses, for longer after each refusal", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    b.inFlight = 8;
    const refuse = (nowMs: number) =>
      a.recordResult(ATTEMPT_RESULT.refused, { peerFailureShare: 0, nowMs });
    refuse(0);
    assert.equal(choose([a, b], { nowMs: 20 }), "b");
    assert.equal(choose([a], { nowMs: 20 }), "a");
    assert.equal(choose([a, b], { nowMs: 60 }), "a");
    for (let count = 0; count < 8; count++) refuse(60);
    assert.equal(choose([a, b], { nowMs: 1_500 }), "b");
    assert.equal(choose([a, b], { nowMs: 1_700 }), "a");
    a.recordResult("answered", { peerFailureShare: 0, nowMs: 1_700 });
    refuse(1_700);
    assert.equal(choose([a, b], { nowMs: 1_760 }), "a");
  });

  // Requests that fail on any endpoint must not pause the whole service.
  it("pauses no endpoint for failures that its peers have too", () => {
    const a = createEndpoint("a");
    for (let i = 0; i < 20; i++) {
      a.recordResult(i % 3 === 0 ? ATTEMPT_RESULT.erred : "answered", {
        peerFailureShare: 0.3,
        nowMs: 0,
      });
    }
    assert.equal(a.isPaused(1), false);
  });

  it("limits the request rate of a cold endpoint", () => {
    const a = createEndpoint("a");
    a.setColdUntil(3_000);
    const options = { getColdPerSecond: () => 2, nowMs: 1_000 };
    assert.equal(choose([a], options), "a");
    a.spendColdCredit(2, 1_000);
    assert.equal(choose([a], options), undefined);
    assert.equal(choose([a], { getColdPerSecond: () => 2, nowMs: 1_500 }), "a");
  });
});

interface Engine {
  readonly state: EndpointState;
  /** Time per token, relative to an engine of usual speed. */
  readonly serviceTimeRatio: number;
  /** When it has read all prompts sent to it. */
  freeAtMs: number;
  readonly cachedParts: Set<string>;
}

/**
 * Simulates engines that read their prompts one after the other. Returns the
 * 95th percentile of the waits in ms, and the tokens of shared parts that were
 * read.
 */
function simulateLoad(
  chooseIndex: (engines: Engine[], part: string, nowMs: number) => number,
  seed: number,
): { p95WaitMs: number; sharedTokensRead: number } {
  const random = createRandom(seed);
  const engines = [0.7, 0.7, 0.7, 0.7, 0.7, 1.7, 1.7, 1.7].map(
    (serviceTimeRatio, i) => ({
      state: createEndpoint(`e${i}`),
      serviceTimeRatio,
      freeAtMs: 0,
      cachedParts: new Set<string>(),
    }),
  );
  const waitsMs: number[] = [];
  let sharedTokensRead = 0;
  let nowMs = 0;
  for (let i = 0; i < 3_000; i++) {
    nowMs += -Math.log(1 - random()) * 14;
    const part = `p${Math.floor(random() ** 1.5 * 60)}`;
    const engine = engines[chooseIndex(engines, part, nowMs)];
    if (engine === undefined) throw new Error("No engine was chosen");
    const isCached = engine.cachedParts.has(part);
    engine.cachedParts.add(part);
    if (!isCached) sharedTokensRead += 5_000;
    const tokens = 2_000 + (isCached ? 0 : 5_000);
    const startMs = Math.max(nowMs, engine.freeAtMs);
    engine.freeAtMs = startMs + (tokens / 100) * engine.serviceTimeRatio;
    waitsMs.push(engine.freeAtMs - nowMs);
    engine.state.promptCache.record("m", [{ id: part, tokens: 5_000 }]);
    engine.state.pendingPromptTokens =
      (engine.freeAtMs - nowMs) * (100 / engine.serviceTimeRatio);
    engine.state.serviceTimeRatio = engine.serviceTimeRatio;
  }
  waitsMs.sort((a, b) => a - b);
  return {
    p95WaitMs: waitsMs[Math.floor(waitsMs.length * 0.95)] ?? 0,
    sharedTokensRead,
  };
}

describe("endpoint choice under load", () => {
  // Long prompts with shared parts on engines of unequal speed at 2/3 load.
  it("gives shorter waits and rereads less than the shortest queue", () => {
    const random = createRandom(3);
    const shortestQueue = simulateLoad((engines, _part, nowMs) => {
      const waitsMs = engines.map((engine) =>
        Math.max(0, engine.freeAtMs - nowMs),
      );
      return waitsMs.indexOf(Math.min(...waitsMs));
    }, 7);
    const chosen = simulateLoad((engines, part, nowMs) => {
      for (const engine of engines) {
        const busyMs = Math.max(0, engine.freeAtMs - nowMs);
        engine.state.pendingPromptTokens =
          (busyMs * 100) / engine.serviceTimeRatio;
      }
      const ids = engines.map((engine) => engine.state.record.id);
      const parts = [
        { id: part, tokens: 5_000 },
        { id: "own", tokens: 2_000 },
      ];
      const choice = chooseEndpoint(
        engines.map((engine) => engine.state),
        createOptions({
          work: { model: "m", parts, promptTokens: 7_000, tokenTimeRatio: 1 },
          nowMs,
          random,
          preferredIds: sortByRendezvous(part, ids).slice(0, 2),
        }),
      );
      return engines.findIndex((engine) => engine.state === choice?.state);
    }, 7);
    assert.ok(
      chosen.p95WaitMs < shortestQueue.p95WaitMs,
      `${chosen.p95WaitMs} ${shortestQueue.p95WaitMs}`,
    );
    assert.ok(chosen.sharedTokensRead < shortestQueue.sharedTokensRead);
  });
});
