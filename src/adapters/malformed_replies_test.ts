import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { after, before, describe, it } from "node:test";
import fc from "fast-check";
import { checkAnswer, createAnswer } from "../standins/answers.js";
import {
  createLocalTarget,
  expectErr,
  expectFailure,
  NEVER_ABORTED,
  type RawServer,
  SUITE_TIMEOUT_MS,
  startRawServer,
} from "../standins/testing.js";
import {
  type CompletionChunk,
  createHttpEngine,
  createHttpHostList,
  createHttpObjectStore,
  createHttpRatingService,
  createHttpService,
} from "./index.js";

/** Limits the time of a test; each run takes about a millisecond. */
const RUNS = {
  numRuns: 150,
  interruptAfterTimeLimit: 20_000,
  markInterruptAsFailure: true,
};

let reply: Uint8Array = new Uint8Array();
let resetsConnection = false;
let server: RawServer;

function answer(socket: Socket): void {
  socket.write(reply);
  if (resetsConnection) socket.resetAndDestroy();
  else socket.end();
}

before(async () => {
  server = await startRawServer(answer);
});
after(() => server.close());

function createReply(status: number, body: string | Uint8Array): Buffer {
  const length = Buffer.byteLength(body);
  const head = `HTTP/1.1 ${status} X\r\nContent-Length: ${length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), Buffer.from(body)]);
}

function createEvents(events: string[]): string[] {
  return events.map((event) => `data: ${event}\n\n`);
}

function createStream(events: string[]): Buffer {
  const chunks = createEvents(events).map(
    (event) => `${Buffer.byteLength(event).toString(16)}\r\n${event}\r\n`,
  );
  const head =
    "HTTP/1.1 200 OK\r\nEngine-Start-Id: s1\r\nTransfer-Encoding: chunked\r\n\r\n";
  return Buffer.from(`${head}${chunks.join("")}0\r\n\r\n`);
}

const REQUEST_NAMES = { requestId: "r1", version: "v" };
const ANSWER = createAnswer({ ...REQUEST_NAMES, chunks: 8, acceptable: true });
const USAGE = { prompt_tokens: 3, completion_tokens: 8 };
const EVENTS = [
  ...ANSWER.map((content) => ({ choices: [{ delta: { content } }] })),
  { choices: [], usage: USAGE },
]
  .map((event) => JSON.stringify(event))
  .concat("[DONE]");

async function complete() {
  const engine = createHttpEngine(createLocalTarget(server.port));
  let text = "";
  const onChunk = (chunk: CompletionChunk) => {
    text += chunk.text;
  };
  const request = { ...REQUEST_NAMES, body: "{}", priority: "batch" } as const;
  const result = await engine.complete(request, onChunk, NEVER_ABORTED);
  return { result, text };
}

async function write() {
  const store = createHttpObjectStore(createLocalTarget(server.port));
  return await store.write({ key: "k", value: 1, ifVersion: 0 }, NEVER_ABORTED);
}

async function callService() {
  const service = createHttpService(createLocalTarget(server.port));
  const call = { method: "POST", path: "/o", body: "{}", contentType: "" };
  return await service.callService(call, NEVER_ABORTED);
}

/** Starts the calls whose result must be an object with a known schema. */
function listReads() {
  const target = createLocalTarget(server.port);
  const ratings = createHttpRatingService(target);
  const store = createHttpObjectStore(target);
  return [
    store.read("k", NEVER_ABORTED),
    store.list({ prefix: "" }, NEVER_ABORTED),
    createHttpHostList(target).readHosts(NEVER_ABORTED),
    ratings.readRatings(0, NEVER_ABORTED),
    createHttpEngine(target).readLoad(NEVER_ABORTED),
  ];
}

/** Any bytes, or a complete reply with any status and any JSON or text. */
const anyReply = fc.oneof(
  fc.uint8Array({ maxLength: 200 }),
  fc
    .record({
      status: fc.integer({ min: 200, max: 599 }),
      body: fc.oneof(fc.json(), fc.string()),
    })
    .map(({ status, body }) => createReply(status, body)),
);

function readStatus(bytes: Uint8Array): number {
  const text = Buffer.from(bytes).toString("latin1");
  return Number(/^HTTP\/1\.1 (\d{3})/.exec(text)?.[1] ?? 0);
}

describe("malformed replies", { timeout: SUITE_TIMEOUT_MS }, () => {
  it("never accepts a malformed reply as an answer or as proof of no effect", async () => {
    await fc.assert(
      fc.asyncProperty(anyReply, fc.boolean(), async (bytes, withReset) => {
        reply = bytes;
        resetsConnection = withReset;
        const status = readStatus(bytes);
        const asked = await complete();
        assert.ok(asked.result.isErr());
        const refused = status >= 400 && status < 500;
        if (!refused) assert.notEqual(asked.result.error.ran, "no");
        const written = await write();
        if (written.isOk()) assert.equal(status, 200);
        else if (!refused && status !== 503) {
          assert.equal(written.error.kind, "outcome-unknown");
        }
        const called = await callService();
        if (called.isOk()) assert.ok(status >= 200 && status < 500);
        else if (status !== 429) assert.equal(called.error.ran, "unknown");
        // A 404 reply may also mean that the object is absent (undefined).
        for (const read of listReads()) {
          const result = await read;
          assert.ok(
            result.isErr() || result.value === undefined || status === 200,
          );
        }
      }),
      RUNS,
    );
  });

  it("accepts an answer as complete only when its stream came to the end", async () => {
    const whole = createStream(EVENTS);
    resetsConnection = false;
    reply = whole;
    const { result, text } = await complete();
    assert.deepEqual(result._unsafeUnwrap(), {
      promptTokens: 3,
      outputTokens: 8,
      chunks: 8,
      engineStartId: "s1",
    });
    assert.ok(checkAnswer(text).isWhole);
    const endMark = whole.indexOf("[DONE]\n\n") + "[DONE]\n\n".length;
    const head = "HTTP/1.1 200 OK\r\nEngine-Start-Id: s1\r\n\r\n";
    const unframed = Buffer.from(`${head}${createEvents(EVENTS).join("")}`);
    await fc.assert(
      fc.asyncProperty(
        fc.nat(endMark - 1),
        fc.boolean(),
        async (at, isChunked) => {
          const full = isChunked ? whole : unframed;
          reply = full.subarray(0, Math.min(at, full.length - 1));
          for (resetsConnection of [false, true]) {
            const { kind, ran } = await expectErr((await complete()).result);
            assert.equal(kind, "truncated");
            assert.notEqual(ran, "no");
          }
        },
      ),
      RUNS,
    );
  });

  it("reports an answer with a broken event as malformed", async () => {
    resetsConnection = false;
    const index = fc.nat(EVENTS.length - 1);
    const invalidEvent = fc
      .oneof(fc.json(), fc.string())
      .filter((text) => !/[\r\n]/.test(text) && !text.includes('"choices"'));
    await fc.assert(
      fc.asyncProperty(index, invalidEvent, async (at, event) => {
        reply = createStream(EVENTS.with(at, event));
        const { result } = await complete();
        assert.equal(result._unsafeUnwrapErr().kind, "malformed");
      }),
      RUNS,
    );
  });

  it("never accepts a truncated reply as a result", async () => {
    resetsConnection = false;
    const body = JSON.stringify({ key: "k", version: 1, value: 1 });
    const full = createReply(200, body);
    await fc.assert(
      fc.asyncProperty(fc.nat(full.length - 1), async (length) => {
        reply = full.subarray(0, length);
        await expectFailure(write(), "outcome-unknown");
        await expectFailure(callService(), "broken unknown");
        for (const read of listReads()) assert.ok((await read).isErr());
      }),
      RUNS,
    );
  });
});
