import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  type Answer,
  createConfiguration,
  TestSystem,
} from "./entry_fixtures_test.js";
import {
  createReplicaSpec,
  PLAIN_ANSWER_BODY,
  type ReplicaOptions,
} from "./standins/replica.js";

const SILENCE_MS = 1_200;
const EVENT_COUNT = 8;
const EVENT_MS = 20;
const DEADLINE_MS = 4_000;
const REQUEST_IDS = ["r1", "r2", "r3", "r4"];
const STREAM = Array.from(
  { length: EVENT_COUNT },
  (_, id) => `id: ${id}\ndata: piece ${id}\n\n`,
).join("");

/** Where a sound endpoint falls silent before it goes on. */
const SILENCE = {
  head: { beforeHead: true },
  stream: { afterEvents: 3 },
  body: { inBody: true },
} as const;
type SilencePlace = (typeof SILENCE)[keyof typeof SILENCE];

describe("a request at a sound endpoint that falls silent", () => {
  let system: TestSystem;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(() => system.close());

  const createOptions = (
    id: string,
    place: SilencePlace,
    options: Partial<ReplicaOptions> = {},
  ): ReplicaOptions => ({
    id,
    streamEvents: EVENT_COUNT,
    delayMs: EVENT_MS,
    pause: { ...place, ms: SILENCE_MS },
    ...options,
  });

  async function startSilent(
    place: SilencePlace,
    options: Partial<ReplicaOptions> = {},
  ): Promise<void> {
    await system.start([createOptions("i-silent", place, options)]);
    await waitForEndpoints(1);
  }

  async function waitForEndpoints(count: number): Promise<void> {
    await system.waitFor(
      () =>
        system.logs.filter(({ event }) => event === "endpoint-added").length >=
        count,
    );
  }

  const send = (path: string, id = "r1"): Promise<Answer | undefined> =>
    system.call(path, { id, deadlineMs: DEADLINE_MS }).catch(() => undefined);

  function assertWhole(answer: Answer | undefined, body: string): void {
    assert.deepEqual(
      {
        status: answer?.status,
        body: answer?.body,
        isComplete: answer?.isComplete,
      },
      { status: 200, body, isComplete: true },
    );
  }

  /** Sends requests and expects the whole answer to each. */
  async function sendAll(path: string, body: string): Promise<void> {
    const answers = REQUEST_IDS.map((id) => send(path, id));
    for (const answer of answers) assertWhole(await answer, body);
  }

  /** Endpoints that can't go on with what the silent one runs. */
  const others: Readonly<Record<string, () => Promise<unknown>>> = {
    refuses: () => system.startReplica({ id: "i-other", isFull: true }),
    "is unreachable": async () => {
      const closed = await system.startReplica({ id: "i-closed" });
      closed.close();
      const port = system.replicaPorts.get("i-closed") ?? 0;
      system.store.delete("servers", "i-closed");
      system.store.put("servers", "i-other", createReplicaSpec(port));
    },
    fails: () => system.startReplica({ id: "i-other", isFailing: true }),
    "breaks off before its answer": () =>
      system.startReplica({ id: "i-other", breaksOffBeforeHead: true }),
  };

  for (const [what, startOther] of Object.entries(others)) {
    async function start(place: SilencePlace): Promise<void> {
      await startSilent(place);
      await startOther();
      await waitForEndpoints(2);
    }

    // The stream ended with its connection, although its endpoint went on.
    for (const [name, place] of [
      ["within it", SILENCE.stream],
      ["before it", SILENCE.head],
    ] as const) {
      it(`has its whole stream where another endpoint ${what}, ${name}`, async () => {
        await start(place);
        await sendAll("/stream/a", STREAM);
      });
    }

    for (const [name, place] of [
      ["within it", SILENCE.body],
      ["before it", SILENCE.head],
    ] as const) {
      it(`has its whole answer where another endpoint ${what}, ${name}`, async () => {
        await start(place);
        await sendAll("/safe/a", PLAIN_ANSWER_BODY);
      });
    }
  }

  it("has its whole stream where there is no other endpoint", async () => {
    await startSilent(SILENCE.stream);
    assertWhole(await send("/stream/a"), STREAM);
  });

  // Each of them was given up for the next one until no attempt was left.
  for (const [name, path, place, body] of [
    ["stream before it", "/stream/a", SILENCE.head, STREAM],
    ["stream within it", "/stream/a", SILENCE.stream, STREAM],
    ["answer before it", "/safe/a", SILENCE.head, PLAIN_ANSWER_BODY],
    ["answer within it", "/safe/a", SILENCE.body, PLAIN_ANSWER_BODY],
  ] as const) {
    it(`has its whole ${name} where all endpoints are silent`, async () => {
      await startSilent(place);
      for (const id of ["i-2", "i-3", "i-4"]) {
        await system.startReplica(createOptions(id, place));
      }
      await waitForEndpoints(4);
      await sendAll(path, body);
    });
  }

  // Two models had been asked, so one more attempt was allowed, and refused.
  it("has its whole stream after a second model was asked", async () => {
    const confidence = { small: 10, middle: 90 };
    await startSilent(SILENCE.stream, { confidence });
    await system.startReplica({ id: "i-other", isFull: true });
    await waitForEndpoints(2);
    await sendAll("/stream/sized/a", STREAM);
  });

  // The same while each second brings another version of the configuration.
  it("has its whole stream beside changes of the configuration", async () => {
    await startSilent(SILENCE.stream);
    await system.startReplica({ id: "i-full", isFull: true });
    await waitForEndpoints(2);
    let version = 1;
    const timer = setInterval(() => {
      version++;
      system.store.put("config", "main", createConfiguration(version));
    }, 200);
    try {
      await sendAll("/stream/a", STREAM);
    } finally {
      clearInterval(timer);
    }
  });

  // Both would produce the same events, and the caller might get some twice.
  it("is not worked on by two endpoints for long", async () => {
    await startSilent(SILENCE.stream);
    const answer = send("/stream/a");
    await system.waitFor(() => system.listRuns("r1").length > 0);
    await system.startReplica({
      id: "i-other",
      streamEvents: EVENT_COUNT,
      delayMs: EVENT_MS,
    });
    assertWhole(await answer, STREAM);
    const [first, second] = system.listRuns("r1");
    assert.equal(second?.state, "complete");
    assert.equal(first?.state, "left");
    assert.equal(first.sentEvents, 3, "the silent one has not gone on");
  });
});
