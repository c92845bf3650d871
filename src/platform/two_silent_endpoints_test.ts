import assert from "node:assert/strict";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as pauseMs } from "node:timers/promises";
import { TestSystem } from "./entry_fixtures_test.js";
import { createReplicaSpec, PLAIN_ANSWER_BODY } from "./standins/replica.js";

const EVENT_COUNT = 8;
const DEADLINE_MS = 4_000;
/** Overlap of two endpoints that the platform counts as run twice, ms. */
const TWICE_MS = 400;
const EVENTS = Array.from(
  { length: EVENT_COUNT },
  (_, id) => `id: ${id}\ndata: piece ${id}\n\n`,
);
const STREAM = EVENTS.join("");
const EVENT_STREAM = { "Content-Type": "text/event-stream" };
const PLAIN = { "Content-Length": PLAIN_ANSWER_BODY.length };

/** What an endpoint does with a request. */
type Act = (
  response: ServerResponse,
  firstEvent: number,
) => Promise<unknown> | unknown;

interface Run {
  readonly startedAtMs: number;
  endedAtMs: number;
}

const isSilent: Act = () => {};
const beginStream: Act = (response) =>
  response.writeHead(200, EVENT_STREAM).flushHeaders();
const sendStreamAfter =
  (ms: number): Act =>
  async (response, firstEvent) => {
    await pauseMs(ms);
    response.writeHead(200, EVENT_STREAM);
    response.end(EVENTS.slice(firstEvent).join(""));
  };
const pauseInStream =
  (ms: number): Act =>
  async (response) => {
    response.writeHead(200, EVENT_STREAM);
    response.write(EVENTS.slice(0, 3).join(""));
    await pauseMs(ms);
    response.end(EVENTS.slice(3).join(""));
  };
const pauseBeforeAnswer =
  (ms: number): Act =>
  async (response) => {
    await pauseMs(ms);
    response.writeHead(200, PLAIN).end(PLAIN_ANSWER_BODY);
  };
const pauseInAnswer =
  (ms: number): Act =>
  async (response) => {
    response.writeHead(200, PLAIN).write(PLAIN_ANSWER_BODY.slice(0, 9));
    await pauseMs(ms);
    response.end(PLAIN_ANSWER_BODY.slice(9));
  };

describe("a request at endpoints that are silent one after the other", () => {
  let system: TestSystem;
  let runs: Run[];
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
    runs = [];
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  /** Registers an endpoint; the attempts in turn are answered by `acts`. */
  async function startEndpoint(id: string, acts: readonly Act[]) {
    const answer = (request: IncomingMessage, response: ServerResponse) => {
      request.resume();
      const act = acts[Math.min(runs.length, acts.length - 1)];
      const run = {
        startedAtMs: performance.now(),
        endedAtMs: Number.POSITIVE_INFINITY,
      };
      runs.push(run);
      response.once("close", () => {
        run.endedAtMs = performance.now();
      });
      response.setHeader("Attempt-Id", String(request.headers["attempt-id"]));
      response.setHeader("Server-Stamp", `stamp-${id}`);
      void act?.(response, Number(request.headers["last-event-id"] ?? -1) + 1);
    };
    const server = createServer(answer);
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => {
      server.close();
      server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    system.store.put("servers", id, createReplicaSpec(port));
  }

  /** What the caller of an entry with some endpoints gets. */
  async function send(path: string, acts: readonly Act[], endpointCount = 2) {
    await system.start([]);
    for (let i = 1; i <= endpointCount; i++)
      await startEndpoint(`i-${i}`, acts);
    const countEndpoints = () =>
      system.logs.filter(({ event }) => event === "endpoint-added").length;
    await system.waitFor(() => countEndpoints() === endpointCount);
    const answer = await system
      .call(path, { deadlineMs: DEADLINE_MS })
      .catch(() => undefined);
    return { body: answer?.body, isComplete: answer?.isComplete };
  }

  function assertNoLongOverlap(): void {
    for (const [i, run] of runs.entries()) {
      for (const earlier of runs.slice(0, i)) {
        const endMs = Math.min(
          run.endedAtMs,
          earlier.endedAtMs,
          performance.now(),
        );
        const overlapMs = endMs - run.startedAtMs;
        assert.ok(overlapMs < TWICE_MS, `two worked for ${overlapMs} ms`);
      }
    }
  }

  const whole = (body: string) => ({ body, isComplete: true });

  // The first was given up for one that had shown nothing, and the caller got
  // nothing more until its deadline.
  for (const ms of [700, 1_100, 1_500]) {
    for (const [name, other] of Object.entries({
      "sends nothing": isSilent,
      "sends only a head": beginStream,
    })) {
      it(`has its whole stream where the first pauses for ${ms} ms and the second ${name}`, async () => {
        const answer = await send("/stream/a", [pauseInStream(ms), other]);
        assert.deepEqual(answer, whole(STREAM));
        assertNoLongOverlap();
      });
    }
  }

  for (const [name, path, act, body] of [
    ["stream before it", "/stream/a", sendStreamAfter(1_200), STREAM],
    [
      "answer before it",
      "/safe/a",
      pauseBeforeAnswer(1_200),
      PLAIN_ANSWER_BODY,
    ],
    ["answer within it", "/safe/a", pauseInAnswer(1_200), PLAIN_ANSWER_BODY],
  ] as const) {
    it(`has its whole ${name} where the second sends nothing`, async () => {
      assert.deepEqual(await send(path, [act, isSilent]), whole(body));
      assertNoLongOverlap();
    });
  }

  // Nothing tells a pause from an end, so the second must get its time at last.
  for (const [name, path, gone, slow, body] of [
    [
      "stream",
      "/stream/a",
      pauseInStream(60_000),
      sendStreamAfter(600),
      STREAM,
    ],
    ["answer", "/safe/a", isSilent, pauseBeforeAnswer(600), PLAIN_ANSWER_BODY],
  ] as const) {
    it(`has its whole ${name} where the first is gone and the second slow`, async () => {
      assert.deepEqual(await send(path, [gone, slow]), whole(body));
      assertNoLongOverlap();
    });
  }

  it("has its whole stream before callers leave it where two endpoints are gone", async () => {
    const acts = [pauseInStream(60_000), isSilent, sendStreamAfter(20)];
    const startedAtMs = performance.now();
    assert.deepEqual(await send("/stream/a", acts, 3), whole(STREAM));
    assert.ok(performance.now() - startedAtMs < 2_500);
    assertNoLongOverlap();
  });
});
