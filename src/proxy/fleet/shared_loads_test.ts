import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../standins/random.js";
import { createEndpointRecord } from "../endpoint_record_fixtures_test.js";
import {
  type ChoiceOptions,
  chooseBySharedLoad,
  chooseEndpoint,
  type EndpointChoice,
  EndpointState,
  NO_LIMITS,
} from "../placing/index.js";
import { SharedLoads } from "./shared_loads.js";

const STEP_MS = 50;
const ROUND_MS = 400;
const PEERS_PER_ROUND = 3;
const PLAY_MS = 30_000;
const WARM_UP_MS = 10_000;
/** Mean run time of a request at an endpoint that runs no other one. */
const MEAN_RUN_MS = 1_000;
/** How much each further running request slows all that run there. */
const SLOWDOWN_PER_RUNNING = 0.25;
/** Four a second are the most that an endpoint can run. */
const REQUESTS_PER_ENDPOINT_S = 2.7;
const DATA_CENTRES = 3;
/** Spread that is left of the one without shared load. */
const MAX_SPREAD_RATIO = 0.8;

const WORK = { model: "", parts: [], promptTokens: 800, tokenTimeRatio: 1 };

function createEndpoint(id: string): EndpointState {
  return new EndpointState(createEndpointRecord(id, { slots: 64 }), 0);
}

interface Entry {
  readonly states: readonly EndpointState[];
  readonly sharedLoads: SharedLoads;
  readonly name: string;
  readonly dataCentre: string;
}

type Choose = (
  entry: Entry,
  options: ChoiceOptions,
) => EndpointChoice | undefined;

interface PlayOptions {
  readonly entryCount: number;
  readonly endpointCount: number;
  readonly choose: Choose;
}

/**
 * Plays entries that choose endpoints for requests that come at random, and
 * returns the mean over time of the spread of running requests over endpoints
 * (standard deviation by mean), and that of the busiest one by the mean.
 */
function playChoices(options: PlayOptions): {
  spread: number;
  busiest: number;
} {
  const { entryCount, endpointCount, choose } = options;
  const random = createRandom(7);
  let nowMs = 0;
  const ids = Array.from({ length: endpointCount }, (_, i) => `i-${i}`);
  const entries: Entry[] = Array.from({ length: entryCount }, (_, i) => {
    const states = ids.map(createEndpoint);
    const dataCentre = `dc${i % DATA_CENTRES}`;
    const sharedLoads = new SharedLoads({
      dataCentre,
      listEndpoints: () => states,
      now: () => nowMs,
    });
    return { states, sharedLoads, name: `e${i}`, dataCentre };
  });
  const running = new Map(ids.map((id) => [id, 0]));
  const runs: { leftMs: number; state: EndpointState }[] = [];
  const arrivalsPerStep =
    (REQUESTS_PER_ENDPOINT_S * endpointCount * STEP_MS) / 1_000 / entryCount;
  const spreads: number[] = [];
  const busiest: number[] = [];
  for (; nowMs < PLAY_MS; nowMs += STEP_MS) {
    for (const run of runs.splice(0)) {
      const { id } = run.state.record;
      const count = running.get(id) ?? 0;
      run.leftMs -= STEP_MS / (1 + SLOWDOWN_PER_RUNNING * (count - 1));
      if (run.leftMs > 0) {
        runs.push(run);
        continue;
      }
      run.state.inFlight--;
      run.state.runningWork--;
      running.set(id, count - 1);
    }
    for (const entry of entries) {
      if (random() < arrivalsPerStep) {
        const choice = choose(entry, createOptions(nowMs, random, entryCount));
        assert.ok(choice);
        const { state } = choice;
        state.inFlight++;
        state.runningWork++;
        running.set(state.record.id, (running.get(state.record.id) ?? 0) + 1);
        runs.push({ leftMs: -Math.log(1 - random()) * MEAN_RUN_MS, state });
      }
      if (random() >= STEP_MS / ROUND_MS) continue;
      for (let k = 0; k < PEERS_PER_ROUND; k++) {
        const j = Math.floor(random() * entryCount);
        const other = entries[j];
        if (other === undefined || other === entry) continue;
        const message = entry.sharedLoads.createMessage();
        const answer = other.sharedLoads.createMessage();
        other.sharedLoads.merge(entry, message);
        entry.sharedLoads.merge(other, answer);
      }
    }
    if (nowMs < WARM_UP_MS) continue;
    const counts = [...running.values()];
    const mean = computeMean(counts);
    const variance = computeMean(counts.map((count) => (count - mean) ** 2));
    spreads.push(Math.sqrt(variance) / mean);
    busiest.push(Math.max(...counts) / mean);
  }
  return { spread: computeMean(spreads), busiest: computeMean(busiest) };
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function createOptions(
  nowMs: number,
  random: () => number,
  entryCount: number,
): ChoiceOptions {
  return {
    work: WORK,
    nowMs,
    random,
    triedIds: new Set(),
    preferredIds: [],
    entryCount,
    getColdPerSecond: () => 1,
    limits: NO_LIMITS,
  };
}

const chooseShared: Choose = ({ states, sharedLoads }, options) =>
  chooseBySharedLoad(states, options, (id) => sharedLoads.get(id));
const chooseByOwn: Choose = ({ states }, options) =>
  chooseEndpoint(states, options);

const FLEETS = [
  { entryCount: 22, endpointCount: 28 },
  { entryCount: 68, endpointCount: 55 },
];

// Entries that see only their own requests overran some endpoints while others
// idled; entries that all took the endpoint that looked best did the same.
describe("load that entries share", () => {
  it("counts no longer once its entry has ended or is cut off", () => {
    let nowMs = 0;
    const state = createEndpoint("i-0");
    const create = (states: EndpointState[]) =>
      new SharedLoads({
        dataCentre: "dc1",
        listEndpoints: () => states,
        now: () => nowMs,
      });
    const sender = create([state]);
    const receiver = create([]);
    state.inFlight = 2;
    state.runningWork = 11;
    const place = { name: "e1", dataCentre: "dc1" };
    receiver.merge(place, sender.createMessage());
    assert.equal(receiver.get("i-0").runningWork, 11);
    nowMs = 2_900;
    assert.equal(receiver.get("i-0").runningWork, 11);
    nowMs = 3_100;
    assert.equal(receiver.get("i-0").runningWork, 0);
    receiver.merge(place, sender.createMessage());
    receiver.remove("e1");
    assert.equal(receiver.get("i-0").runningWork, 0);
  });

  for (const fleet of FLEETS) {
    it(`is even with ${fleet.entryCount} entries`, () => {
      const own = playChoices({ ...fleet, choose: chooseByOwn });
      const shared = playChoices({ ...fleet, choose: chooseShared });
      assert.ok(shared.spread < MAX_SPREAD_RATIO * own.spread);
      assert.ok(shared.busiest < own.busiest);
    });
  }
});
