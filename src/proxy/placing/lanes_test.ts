import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../standins/random.js";
import { chooseEndpoint } from "./endpoint_choice.js";
import { EndpointState } from "./endpoint_state.js";
import { Lanes, WorkSizes } from "./lanes.js";

const SERVICE = "svc";
const IDS = Array.from({ length: 12 }, (_, index) => `i-${index}`);
/** Prompt tokens that an engine reads in 1 ms. */
const TOKENS_PER_MS = 85;

function createEndpoint(id: string): EndpointState {
  const record = {
    id,
    service: SERVICE,
    address: "10.0.0.1",
    port: 80,
    dataCentre: "dc1",
    version: "v1",
    slots: 64,
    isLeaving: false,
    coldLeftMs: 0,
  };
  return new EndpointState(record, 0);
}

/** Sizes whose logarithms are normal: a tenth of them makes half the work. */
function drawSize(random: () => number): number {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  return Math.min(500_000, Math.round(4_000 * Math.exp(1.4 * normal)));
}

interface LoadOptions {
  readonly seed: number;
  readonly hasLanes: boolean;
  /** Part of the engines' time that reading takes. */
  readonly use: number;
}

/**
 * Entries that see only their own requests send prompts to engines that read
 * in turn; the share of the prompts that are read within their time.
 */
function playLoad({ seed, hasLanes, use }: LoadOptions) {
  const random = createRandom(seed);
  const entries = Array.from({ length: 12 }, () => ({
    states: IDS.map(createEndpoint),
    lanes: new Lanes(),
  }));
  const readUntilMs = new Map<string, number>();
  const running: { endsAtMs: number; end: () => void }[] = [];
  const meanSize = 4_000 * Math.exp(1.4 ** 2 / 2);
  const gapMs = meanSize / TOKENS_PER_MS / IDS.length / use;
  const inTime = { short: 0, shortAll: 0, long: 0, longAll: 0 };
  let nowMs = 0;
  for (let count = 0; count < 6_000; count++) {
    nowMs += -gapMs * Math.log(1 - random());
    for (const { end } of running.filter((one) => one.endsAtMs <= nowMs)) end();
    running.splice(
      0,
      running.length,
      ...running.filter((one) => one.endsAtMs > nowMs),
    );
    const entry = entries[Math.floor(random() * entries.length)];
    assert.ok(entry);
    const size = drawSize(random);
    const lane = hasLanes ? entry.lanes.choose(SERVICE, size, IDS) : undefined;
    entry.lanes.record(SERVICE, size);
    const choice = chooseEndpoint(entry.states, {
      work: { model: "", parts: [], promptTokens: size, weight: 1 },
      nowMs,
      random,
      tried: new Set(),
      homes: [],
      lane,
      entries: entries.length,
      coldPerSecond: 1,
    });
    assert.ok(choice);
    const { state } = choice;
    const startsAtMs = Math.max(nowMs, readUntilMs.get(state.record.id) ?? 0);
    const endsAtMs = startsAtMs + size / TOKENS_PER_MS;
    readUntilMs.set(state.record.id, endsAtMs);
    state.inFlight++;
    state.pendingWork += size;
    running.push({
      endsAtMs,
      end: () => {
        state.inFlight--;
        state.pendingWork -= size;
      },
    });
    const isShort = size < 10_000;
    const isInTime = endsAtMs - nowMs <= (isShort ? 500 : 4_000);
    inTime[isShort ? "shortAll" : "longAll"]++;
    if (isInTime) inTime[isShort ? "short" : "long"]++;
  }
  return {
    short: inTime.short / inTime.shortAll,
    long: inTime.long / inTime.longAll,
  };
}

describe("lanes", () => {
  // A few long prompts make many short ones wait that were sent blindly.
  it("bring short prompts in time beside long ones", () => {
    for (const seed of [1, 2, 3]) {
      const mixed = playLoad({ seed, hasLanes: false, use: 0.5 });
      const apart = playLoad({ seed, hasLanes: true, use: 0.5 });
      assert.ok(
        1 - apart.short < 0.7 * (1 - mixed.short),
        `late: ${1 - mixed.short} mixed, ${1 - apart.short} apart`,
      );
      assert.ok(
        apart.long > mixed.long - 0.03,
        `long in time: ${mixed.long} mixed, ${apart.long} apart`,
      );
    }
  });

  it("are alike at every entry and cover all endpoints", () => {
    const lanes = [new Lanes(), new Lanes()];
    const random = createRandom(7);
    for (let i = 0; i < 2_000; i++) {
      const size = drawSize(random);
      for (const one of lanes) one.record(SERVICE, size);
    }
    const [one, other] = lanes.map((item) => [
      [...(item.choose(SERVICE, 1_000, IDS) ?? [])].sort(),
      [...(item.choose(SERVICE, 400_000, IDS) ?? [])].sort(),
    ]);
    assert.deepEqual(one, other);
    assert.deepEqual(one?.flat().sort(), [...IDS].sort());
    assert.ok(one?.every((lane) => lane.length >= 4));
  });

  it("don't part few endpoints, nor before sizes are known", () => {
    const lanes = new Lanes();
    assert.equal(lanes.choose(SERVICE, 1_000, IDS), undefined);
    for (let i = 0; i < 100; i++) lanes.record(SERVICE, 1_000);
    assert.equal(lanes.choose(SERVICE, 1_000, IDS.slice(0, 3)), undefined);
    assert.ok(lanes.choose(SERVICE, 1_000, IDS));
  });

  it("follow a change of sizes", () => {
    const sizes = new WorkSizes();
    for (let i = 0; i < 200; i++) sizes.record(1_000);
    assert.ok((sizes.findLong()?.size ?? 0) <= 1_000);
    for (let i = 0; i < 20_000; i++) sizes.record(100_000);
    assert.ok((sizes.findLong()?.size ?? 0) > 50_000);
  });
});
