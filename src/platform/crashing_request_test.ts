import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { delay } from "../testbed/delay.js";
import { type Answer, TestSystem } from "./entry_fixtures_test.js";
import type { ReplicaOptions } from "./standins/replica.js";

/** Time after the third crash in which entries learn what led to it, ms. */
const CONTACT_MS = 3_000;
/** Retries of the request that may reach endpoints after that. */
const MOST_AFTERWARDS = 3;
const RESTART_MS = 1_000;
const BAD = "bad";

type Call = Parameters<TestSystem["call"]>[1];

interface Kind {
  readonly name: string;
  readonly path: string;
  readonly fields: Call;
}

const ORDER: Kind = { name: "an order", path: "/once/a", fields: {} };
const LOOKUP: Kind = {
  name: "a look-up without a body",
  path: "/safe/",
  fields: { method: "GET" },
};
const STREAM: Kind = {
  name: "a stream",
  path: "/stream/a",
  fields: { headers: { "prefix-hash": "first:100,doc:100,own:100" } },
};

/** A look-up differs from others by its path, other requests by their body. */
function isBad({ path, body }: { path: string; body: string }): boolean {
  return body === BAD || path === `${LOOKUP.path}${BAD}`;
}

describe("a request under which endpoints crash", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  async function start(
    entryCount: number,
    endpointCount: number,
    options: Partial<ReplicaOptions> = {},
  ): Promise<void> {
    await system.start([], {}, entryCount);
    for (let i = 0; i < endpointCount; i++) {
      const id = `i-${i}`;
      await system.startCrashingReplica(
        { delayMs: 10, crashesOnRequest: isBad, ...options, id },
        RESTART_MS,
      );
    }
    const isAdded = ({ event }: { event: string }) =>
      event === "endpoint-added";
    await system.waitFor(
      () => system.logs.filter(isAdded).length >= entryCount * endpointCount,
    );
  }

  function send(
    { path, fields }: Kind,
    id: string,
    content: string,
    entry = 0,
  ): Promise<Answer | undefined> {
    const isLookup = fields?.method === "GET";
    return system
      .call(isLookup ? `${path}${content}` : path, {
        ...fields,
        id,
        entry,
        body: isLookup ? "" : content,
      })
      .catch(() => undefined);
  }

  function countBadRuns(sinceMs: number): number {
    return [...system.replicas.values()]
      .flatMap((replica) => replica.runs)
      .filter((run) => run.startedAtMs > sinceMs && isBad(run)).length;
  }

  function listHeldBy(): Set<unknown> {
    const held = system.logs.filter(
      ({ event }) => event === "prompt-part-held",
    );
    return new Set(held.map(({ entry }) => entry));
  }

  /** Repeats the request until all entries refuse it. */
  async function sendUntilHeld(kind: Kind, entryCount: number): Promise<void> {
    for (let i = 0; listHeldBy().size < entryCount; i++) {
      assert.ok(i < 20, `held by ${listHeldBy().size} entries`);
      await send(kind, `h${i}`, BAD, i % entryCount);
      // Crashes at the same moment count once.
      await delay(300);
    }
  }

  // Endpoints ended one after the other, as long as the request came again.
  for (const crashesBeforeHead of [true, false]) {
    for (const kind of [ORDER, LOOKUP, STREAM]) {
      const when = crashesBeforeHead ? "before" : "after";
      it(`reaches few endpoints as ${kind.name}, cut ${when} the head`, async () => {
        await start(4, 8, { crashesBeforeHead });
        const sound: Promise<Answer | undefined>[] = [];
        const endMs = performance.now() + 2 * CONTACT_MS + 1_500;
        for (let i = 0; performance.now() < endMs; i++) {
          for (let entry = 0; entry < 4; entry++) {
            // Sound requests come again as well, and run beside the other one.
            sound.push(send(kind, `s${i}-${entry}`, `sound-${i % 5}`, entry));
          }
          if (i % 4 === 0) void send(kind, `b${i}`, BAD, (i / 4) % 4);
          await delay(50);
        }
        const thirdMs = system.crashes[2]?.atMs ?? Number.POSITIVE_INFINITY;
        const afterwards = countBadRuns(thirdMs + CONTACT_MS);
        assert.ok(
          afterwards <= MOST_AFTERWARDS,
          `${afterwards} requests, ${system.crashes.length} crashes`,
        );
        const answers = await Promise.all(sound.slice(-200));
        const served = answers.filter((answer) => answer?.isComplete === true);
        const whole = served.filter((answer) => answer?.status === 200);
        assert.ok(whole.length >= 190, `${whole.length} of 200 are served`);
      });
    }
  }

  // Its parts were held, so all requests that share them were refused.
  it("is refused alone, not what shares its parts, path or caller", async () => {
    await start(1, 6);
    await sendUntilHeld(STREAM, 1);
    await delay(RESTART_MS + 500);
    const sound = await send(STREAM, "x1", "sound");
    assert.equal(sound?.status, 200);
    assert.ok(sound.isComplete);
    assert.equal((await send(STREAM, "x2", BAD))?.status, 503);
    assert.equal((await send(ORDER, "x3", "sound"))?.status, 200);
  });

  it("is refused at once, as not run", async () => {
    await start(1, 6, { crashesBeforeHead: true });
    await sendUntilHeld(ORDER, 1);
    const sentMs = performance.now();
    const answer = await send(ORDER, "x", BAD);
    assert.ok(performance.now() - sentMs < 100);
    assert.equal(answer?.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) >= 60);
    assert.equal(system.listRuns("x").length, 0);
  });

  // A caller that is told "not run" sends an order again.
  it("is never refused as not run once an endpoint began it", async () => {
    await start(2, 8, { crashesBeforeHead: true });
    for (let i = 0; i < 12; i++) {
      const answer = await send(ORDER, `b${i}`, BAD, i % 2);
      const hasRun = system.listRuns(`b${i}`).length > 0;
      assert.equal(answer?.status, hasRun ? 502 : 503);
      await delay(300);
    }
    assert.ok(system.crashes.length >= 3);
  });

  it("is known to entries that all start anew", async () => {
    await start(2, 8, { crashesBeforeHead: true });
    await sendUntilHeld(ORDER, 2);
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
    const answer = await send(ORDER, "x", BAD);
    assert.equal(answer?.status, 503);
    assert.equal(system.listRuns("x").length, 0);
  });

  it("is served again once an operator has released it", async () => {
    await start(1, 6, { crashesBeforeHead: true });
    await sendUntilHeld(ORDER, 1);
    await delay(RESTART_MS + 500);
    for (const replica of system.replicas.values()) {
      replica.options.crashesOnRequest = undefined;
    }
    const held = system.logs.find(({ event }) => event === "prompt-part-held");
    const text = await system.releasePromptPart(String(held?.parts));
    assert.equal(text, "1 released\n");
    await system.waitFor(
      async () => (await send(ORDER, `x${Math.random()}`, BAD))?.status === 200,
    );
  });

  // The connection ends as in a crash, but the endpoint lives on.
  for (const kind of [ORDER, LOOKUP, STREAM]) {
    it(`is not found where the answers to ${kind.name} are lost`, async () => {
      await start(1, 5, { losesAnswers: true });
      for (let i = 0; i < 6; i++) {
        await send(kind, `l${i}`, "sound");
        await delay(300);
      }
      for (const replica of system.replicas.values()) {
        replica.options.losesAnswers = false;
      }
      await system.waitFor(
        async () =>
          (await send(kind, `x${Math.random()}`, "sound"))?.status === 200,
      );
      assert.equal(listHeldBy().size, 0);
    });
  }

  // Its requests break as under a bad request, though none is to blame.
  it("is not found where endpoints end that answer it meanwhile", async () => {
    await start(2, 8, { crashesOnRequest: ({ body }) => body === "end" });
    const running: Promise<Answer | undefined>[] = [];
    for (let i = 0; i < 60; i++) {
      for (let entry = 0; entry < 2; entry++) {
        running.push(send(LOOKUP, `s${i}-${entry}`, "hot", entry));
      }
      // Each of them ends an endpoint, and no two are one request.
      if (i % 8 === 0) {
        const end = { method: "PUT", body: "end", id: `e${i}` };
        void system.call(`/once/e${i}`, end).catch(() => undefined);
      }
      await delay(50);
    }
    await Promise.all(running);
    assert.ok(system.crashes.length >= 6, `${system.crashes.length} crashes`);
    assert.equal(listHeldBy().size, 0);
  });
});
