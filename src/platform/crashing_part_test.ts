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
    await waitUntilKnown(entryCount, endpointCount);
  }

  async function waitUntilKnown(entries: number, endpoints: number) {
    const isAdded = ({ event }: { event: string }) =>
      event === "endpoint-added";
    await system.waitFor(
      () => system.logs.filter(isAdded).length >= entries * endpoints,
    );
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
        // Prompts that differ have bodies that differ.
        body: prefix,
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

  /** Sends requests with the part until no more of them reach an endpoint. */
  async function sendUntilHeld(entryCount: number): Promise<void> {
    for (let entry = 0; entry < entryCount; entry++) {
      await send(`s${entry}`, entry, ["first", `own-${entry}`]);
    }
    for (let i = 0; i < 4; i++) {
      await send(`h${i}`, i % entryCount, ["first", CRASHING_PART, `own-${i}`]);
      // Crashes at the same moment count once.
      await delay(300);
    }
    await system.waitFor(() => listHeldBy().size === entryCount);
  }

  function listHeldBy(): Set<unknown> {
    const held = system.logs.filter(
      ({ event }) => event === "prompt-part-held",
    );
    return new Set(held.map(({ entry }) => entry));
  }

  it("has its requests refused at once, as not run", async () => {
    await start(1, 4);
    await sendUntilHeld(1);
    const sentMs = performance.now();
    const answer = await send("x", 0, ["other", CRASHING_PART, "own"]);
    assert.ok(performance.now() - sentMs < 100);
    assert.equal(answer?.status, 503);
    assert.match(answer.body, /^prompt-held: /);
    assert.ok(Number(answer.headers["retry-after"]) >= 60);
    assert.equal(system.listRuns("x").length, 0);
  });

  it("is refused before the body of the request has come", async () => {
    await start(1, 4);
    await sendUntilHeld(1);
    const answer = await system.call("/stream/a", {
      id: "x",
      headers: {
        "prefix-hash": `${CRASHING_PART}:9,own:9`,
        "content-length": "50000",
      },
      body: "only the beginning",
      isBodyOpen: true,
    });
    assert.equal(answer.status, 503);
  });

  it("is known to entries that all start anew", async () => {
    await start(2, 4);
    await sendUntilHeld(2);
    await system.waitFor(
      () => system.store.listNames("prompt-holds").length > 0,
    );
    system.abortEntries();
    await system.startEntry();
    await system.waitFor(() => system.isReady);
    await system.waitFor(() =>
      system.logs.some(
        ({ event, source }) =>
          event === "prompt-part-held" && source === "store",
      ),
    );
    const answer = await send("x", 0, ["first", CRASHING_PART, "own"]);
    assert.equal(answer?.status, 503);
    assert.equal(system.listRuns("x").length, 0);
  });

  it("is served again once an operator has released it", async () => {
    await start(2, 4);
    await sendUntilHeld(2);
    await delay(RESTART_MS + 500);
    for (const replica of system.replicas.values()) {
      replica.options.crashesOn = undefined;
    }
    const text = await system.releasePromptPart(CRASHING_PART);
    assert.equal(text, "1 released\n");
    await system.waitFor(async () => {
      const answers = await Promise.all(
        [0, 1].map((i) => send(`x${i}`, i, ["first", CRASHING_PART, "own"])),
      );
      return answers.every((answer) => answer?.isComplete);
    });
    await system.waitFor(
      () => system.store.listNames("prompt-holds").length === 0,
    );
  });

  // Its connections break as in a crash, but no part of a prompt is to blame.
  it("is not found where whole data centres end with all requests", async () => {
    await system.start([], {}, 2);
    const running: Promise<unknown>[] = [];
    for (let round = 0; round < 4; round++) {
      for (let i = 0; i < 6; i++) {
        await system.startReplica({ id: `i-${round}-${i}`, delayMs: 60 });
      }
      await delay(150);
      for (let i = 0; i < 40; i++) {
        const parts = ["first", `m${i % 9}`, `own-${round}-${i}`];
        running.push(send(`r${round}-${i}`, i % 2, parts));
        await delay(5);
      }
      for (let i = 0; i < 6; i++) {
        system.replicas.get(`i-${round}-${i}`)?.close();
        system.store.delete("servers", `i-${round}-${i}`);
      }
    }
    await Promise.all(running);
    assert.equal(listHeldBy().size, 0);
  });

  it("ends few endpoints where a cascade asks a second model", async () => {
    const confidence = { small: 5, middle: 5, large: 90 };
    await system.start([], {}, 1);
    for (let i = 0; i < 8; i++) {
      await system.startCrashingReplica(
        { id: `i-${i}`, confidence, crashesOn: new Set([CRASHING_PART]) },
        60_000,
      );
    }
    await waitUntilKnown(1, 8);
    for (let i = 0; i < 6; i++) {
      await system
        .call("/stream/sized/a", {
          id: `c${i}`,
          body: `prompt ${i}`,
          headers: { "prefix-hash": `${CRASHING_PART}:9,own-${i}:9` },
        })
        .catch(() => undefined);
    }
    assert.ok(system.crashes.length <= 4, `${system.crashes.length} crashes`);
  });
});
