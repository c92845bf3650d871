import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import { type Answer, TestSystem } from "./entry_fixtures_test.js";

/** Time after the fifth crash in which entries learn what led to it, ms. */
const CONTACT_MS = 3_000;
/** Requests with the part that may reach endpoints after that. */
const MOST_AFTERWARDS = 3;
const RESTART_MS = 1_000;
const CRASHING_PART = "bad0";

describe("a prompt part under which endpoints crash", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  async function start(entryCount: number, endpointCount: number) {
    await system.start([], {}, entryCount);
    for (let i = 0; i < endpointCount; i++) {
      await system.startCrashingReplica(
        { id: `i-${i}`, delayMs: 10, crashesOn: new Set([CRASHING_PART]) },
        RESTART_MS,
      );
    }
    await delay(300);
  }

  function send(
    id: string,
    entry: number,
    parts: readonly string[],
  ): Promise<Answer | undefined> {
    const prefix = parts.map((part) => `${part}:100`).join(",");
    return system
      .call("/stream/a", {
        id,
        entry,
        headers: { "prefix-hash": prefix, "token-counts": "300,10" },
      })
      .catch(() => undefined);
  }

  function countArrivals(part: string, sinceMs: number): number {
    return [...system.replicas.values()]
      .flatMap((replica) => replica.arrivals)
      .filter(
        ({ atMs, sharedParts }) => atMs > sinceMs && sharedParts.includes(part),
      ).length;
  }

  // Endpoints ended one after the other, under repeats and under new requests.
  it("reaches few endpoints once five have ended under it", async () => {
    await start(4, 10);
    const sound: Promise<Answer | undefined>[] = [];
    const endMs = performance.now() + 2 * CONTACT_MS + 2_000;
    for (let i = 0; performance.now() < endMs; i++) {
      for (let entry = 0; entry < 4; entry++) {
        const parts = ["first", `m${i % 7}`, `own-${i}-${entry}`];
        sound.push(send(`s${i}-${entry}`, entry, parts));
      }
      if (i % 4 === 0) {
        void send(`b${i}`, (i / 4) % 4, ["first", CRASHING_PART, `own-b${i}`]);
      }
      await delay(50);
    }
    const fifthCrashMs = system.crashes[4]?.atMs ?? Number.POSITIVE_INFINITY;
    const afterwards = countArrivals(CRASHING_PART, fifthCrashMs + CONTACT_MS);
    assert.ok(
      afterwards <= MOST_AFTERWARDS,
      `${afterwards} requests, ${system.crashes.length} crashes`,
    );
    const answers = await Promise.all(sound.slice(-200));
    const served = answers.filter((answer) => answer?.isComplete === true);
    assert.ok(served.length >= 190, `${served.length} of 200 are served`);
  });
});
