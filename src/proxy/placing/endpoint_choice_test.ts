import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { sortByRendezvous } from "../../core/canonical.js";
import { createRandom } from "../../standins/random.js";
import {
  type ChoiceOptions,
  chooseEndpoint,
  estimateTokensToRead,
} from "./endpoint_choice.js";
import { ATTEMPT_RESULT, EndpointState } from "./endpoint_state.js";

function createEndpoint(id: string, slots = 64): EndpointState {
  return new EndpointState(
    {
      id,
      service: "svc",
      address: "10.0.0.1",
      port: 80,
      dataCentre: "dc1",
      version: "v1",
      slots,
      isLeaving: false,
      coldLeftMs: 0,
    },
    0,
  );
}

const WORK = { model: "", parts: [], promptTokens: 1_000, weight: 1 };

function createOptions(fields: Partial<ChoiceOptions> = {}): ChoiceOptions {
  return {
    work: WORK,
    nowMs: 0,
    random: () => 0,
    tried: new Set(),
    homes: [],
    lane: undefined,
    entries: 1,
    coldPerSecond: 1,
    ...fields,
  };
}

const choose = (states: EndpointState[], fields?: Partial<ChoiceOptions>) =>
  chooseEndpoint(states, createOptions(fields))?.state.record.id;

describe("choice of an endpoint", () => {
  it("goes round the endpoint that has long prompts to read", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    a.pendingWork = 20_000;
    assert.equal(choose([a, b]), "b");
  });

  // Callers are better served by an early word than by a place at its end.
  it("doesn't crowd the last endpoint once the others have closed", () => {
    const [a, b] = [createEndpoint("a", 4), createEndpoint("b", 4)];
    b.inFlight = 8;
    a.inFlight = 8;
    assert.equal(choose([a, b], { random: () => 0 }), "a");
    a.closeFor(1_000, 0);
    assert.equal(choose([a, b]), undefined);
    b.inFlight = 7;
    assert.equal(choose([a, b]), "b");
    b.inFlight = 8;
    assert.equal(choose([a, b], { nowMs: 1_001 }), "a");
  });

  it("gives nothing to an endpoint that has closed, also as the last", () => {
    const a = createEndpoint("a");
    a.closeFor(1_000, 0);
    assert.equal(choose([a]), undefined);
    assert.equal(choose([a], { nowMs: 999 }), undefined);
    assert.equal(choose([a], { nowMs: 1_000 }), "a");
  });

  it("prefers the faster endpoint", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    a.slowness = 2.4;
    assert.equal(choose([a, b]), "b");
  });

  it("goes where the shared parts are kept, unless it is overloaded", () => {
    const parts = [
      { id: "shared", tokens: 5_000 },
      { id: "own", tokens: 500 },
    ];
    const work = { ...WORK, parts, promptTokens: 5_500 };
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    b.kept.record("", parts);
    assert.equal(choose([a, b], { work }), "b");
    b.pendingWork = 40_000;
    assert.equal(choose([a, b], { work }), "a");
  });

  // An engine reads a part again unless it keeps all parts before it.
  it("counts kept parts only from the start of the prompt", () => {
    const state = createEndpoint("a");
    state.kept.record("m", [{ id: "second", tokens: 300 }]);
    const parts = [
      { id: "first", tokens: 500 },
      { id: "second", tokens: 300 },
    ];
    const work = { ...WORK, model: "m", parts, promptTokens: 900 };
    assert.equal(estimateTokensToRead(state, work, []), 900);
    state.kept.record("m", [{ id: "first", tokens: 500 }]);
    assert.equal(estimateTokensToRead(state, work, []), 100);
  });

  it("tries no endpoint twice and gives up when none is left", () => {
    const states = [createEndpoint("a"), createEndpoint("b")];
    assert.equal(choose(states, { tried: new Set(["a"]) }), "b");
    assert.equal(choose(states, { tried: new Set(["a", "b"]) }), undefined);
  });

  // A few endpoints that fail fast would draw all requests.
  it("pauses an endpoint that fails though its load is low", () => {
    const [a, b] = [createEndpoint("a"), createEndpoint("b")];
    const result = ATTEMPT_RESULT.broken;
    for (let i = 0; i < 3; i++) {
      a.recordResult(result, { peerFailureShare: 0, nowMs: 0 });
    }
    b.inFlight = 30;
    assert.equal(choose([a, b], { nowMs: 100 }), "b");
    assert.equal(choose([a], { nowMs: 100 }), "a");
  });

  // It looks idle, so each request would spend an attempt there first.
  it("passes over an endpoint that refuses, for a moment", () => {
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

  // Requests that fail anywhere must not take the whole service out.
  it("pauses nobody for failures that its peers have too", () => {
    const a = createEndpoint("a");
    for (let i = 0; i < 20; i++) {
      a.recordResult(i % 3 === 0 ? ATTEMPT_RESULT.erred : "answered", {
        peerFailureShare: 0.3,
        nowMs: 0,
      });
    }
    assert.equal(a.isPaused(1), false);
  });

  it("gives a cold endpoint no more than its credit", () => {
    const a = createEndpoint("a");
    a.setColdUntil(3_000);
    const options = { coldPerSecond: 2, nowMs: 1_000 };
    assert.equal(choose([a], options), "a");
    a.spendColdCredit(2, 1_000);
    assert.equal(choose([a], options), undefined);
    assert.equal(choose([a], { coldPerSecond: 2, nowMs: 1_500 }), "a");
  });
});

interface Engine {
  readonly state: EndpointState;
  readonly pace: number;
  freeAtMs: number;
  readonly kept: Set<string>;
}

/** Plays prompts on engines that read one after the other; waits in ms. */
function playLoad(
  chooseIndex: (engines: Engine[], parts: string, nowMs: number) => number,
  seed: number,
): { p95: number; reread: number } {
  const random = createRandom(seed);
  const engines = [0.7, 0.7, 0.7, 0.7, 0.7, 1.7, 1.7, 1.7].map((pace, i) => ({
    state: createEndpoint(`e${i}`),
    pace,
    freeAtMs: 0,
    kept: new Set<string>(),
  }));
  const waits: number[] = [];
  let reread = 0;
  let nowMs = 0;
  for (let i = 0; i < 3_000; i++) {
    nowMs += -Math.log(1 - random()) * 14;
    const part = `p${Math.floor(random() ** 1.5 * 60)}`;
    const engine = engines[chooseIndex(engines, part, nowMs)];
    if (engine === undefined) throw new Error("No engine");
    const isKept = engine.kept.has(part);
    engine.kept.add(part);
    if (!isKept) reread += 5_000;
    const tokens = 2_000 + (isKept ? 0 : 5_000);
    const startMs = Math.max(nowMs, engine.freeAtMs);
    engine.freeAtMs = startMs + (tokens / 100) * engine.pace;
    waits.push(engine.freeAtMs - nowMs);
    engine.state.kept.record("m", [{ id: part, tokens: 5_000 }]);
    engine.state.pendingWork = (engine.freeAtMs - nowMs) * (100 / engine.pace);
    engine.state.slowness = engine.pace;
  }
  waits.sort((a, b) => a - b);
  return { p95: waits[Math.floor(waits.length * 0.95)] ?? 0, reread };
}

describe("choice under load", () => {
  // Long prompts with shared parts on engines of unequal speed, 2/3 loaded.
  it("lets callers wait less, and reads less again, than the shortest queue", () => {
    const random = createRandom(3);
    const shortest = playLoad((engines, _part, nowMs) => {
      const waits = engines.map((engine) =>
        Math.max(0, engine.freeAtMs - nowMs),
      );
      return waits.indexOf(Math.min(...waits));
    }, 7);
    const chosen = playLoad((engines, part, nowMs) => {
      for (const engine of engines) {
        const leftMs = Math.max(0, engine.freeAtMs - nowMs);
        engine.state.pendingWork = (leftMs * 100) / engine.pace;
      }
      const ids = engines.map((engine) => engine.state.record.id);
      const parts = [
        { id: part, tokens: 5_000 },
        { id: "own", tokens: 2_000 },
      ];
      const choice = chooseEndpoint(
        engines.map((engine) => engine.state),
        createOptions({
          work: { model: "m", parts, promptTokens: 7_000, weight: 1 },
          nowMs,
          random,
          homes: sortByRendezvous(part, ids).slice(0, 2),
        }),
      );
      return engines.findIndex((engine) => engine.state === choice?.state);
    }, 7);
    assert.ok(chosen.p95 < shortest.p95, `${chosen.p95} ${shortest.p95}`);
    assert.ok(chosen.reread < shortest.reread);
  });
});
