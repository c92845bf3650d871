import assert from "node:assert/strict";
import { connect } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  API_KEY,
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";
import {
  createRequestText,
  parseAnswers,
  RawCaller,
} from "./raw_caller_fixtures_test.js";
import { writeEndlessly } from "./standins/endless_bytes.js";

/** Time limit for a request's head, ms; checked once a second. */
const HEADER_TIMEOUT_MS = 500;
const RUN_MS = 2_500;

const ENDLESS_CHUNK = `8000\r\n${"x".repeat(32_768)}\r\n`;
/** Above what the system's own buffers of a connection hold. */
const MAX_SENT_BYTES = 32_000_000;

const FOLLOWING_BYTES = {
  "the begin of another request": "POST /once/b HT",
  "bytes that are no request": "\u0000\r\n\r\n",
  "a head that is too large": `GET /${"x".repeat(70_000)}`,
};

// Node's server answers what it can't parse by itself, also while it is still
// to answer the request before: the caller takes that for this one's answer.
// Closing the connection at once would lose the answer of a run.
describe("a running order whose caller goes on to write", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  for (const [name, bytes] of Object.entries(FOLLOWING_BYTES)) {
    it(`gets its own answer and the close after ${name}`, async () => {
      await system.startStore();
      const configuration = createConfiguration();
      Object.assign(configuration.limits, {
        header_timeout_ms: HEADER_TIMEOUT_MS,
      });
      system.store.put("config", "main", configuration);
      await system.startReplica({ id: "i-1", delayMs: RUN_MS });
      await system.startEntry();
      await system.waitFor(() => system.isReady);
      const socket = connect(system.callerPort, "127.0.0.1");
      closers.push(() => socket.destroy());
      let text = "";
      let isClosed = false;
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        text += data.toString();
      });
      socket.once("close", () => {
        isClosed = true;
      });
      socket.write(
        `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: r1\r\nAuthorization: Bearer ${API_KEY}\r\nDeadline-Ms: 4000\r\nContent-Length: 5\r\n\r\norder`,
      );
      await system.waitFor(() => system.listRuns("r1").length === 1);
      socket.write(bytes);
      await system.waitFor(() => isClosed);
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.equal(parseAnswers(text).length, 1);
    });
  }
});

// 408 and 400 promise that the request has not run and never will.
describe("a caller that goes on after it was refused", () => {
  let system: TestSystem;
  let caller: RawCaller | undefined;
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    caller?.close();
    await system.close();
  });

  it("has nothing run after 408 for its overdue head", async () => {
    await system.startStore();
    const configuration = createConfiguration();
    Object.assign(configuration.limits, {
      header_timeout_ms: HEADER_TIMEOUT_MS,
    });
    system.store.put("config", "main", configuration);
    await system.startReplica({ id: "i-1" });
    await system.startEntry();
    await system.waitFor(() => system.isReady);
    await system.call("/safe/a", { id: "r0" });
    const slowCaller = new RawCaller(system.callerPort);
    caller = slowCaller;
    const text = createRequestText("r1", { path: "/once/a" });
    slowCaller.write(text.slice(0, 30));
    await system.waitFor(() => slowCaller.text.includes("HTTP/1.1 408 "));
    slowCaller.write(text.slice(30));
    await delay(200);
    assert.equal(system.listRuns("r1").length, 0);
  });

  it("gets 400 for a body that can't be read, behind a running order", async () => {
    await system.start([{ id: "i-1", delayMs: 300 }]);
    const brokenCaller = new RawCaller(system.callerPort);
    caller = brokenCaller;
    const path = "/once/a";
    brokenCaller.write(createRequestText("r1", { path }));
    await system.waitFor(() => system.listRuns("r1").length === 1);
    const chunked = createRequestText("r2", { path, body: "no chunk\r\n" });
    brokenCaller.write(
      chunked.replace(/Content-Length: \d+/, "Transfer-Encoding: chunked"),
    );
    await system.waitFor(() => brokenCaller.isClosed);
    assert.deepEqual(
      brokenCaller.answers.map(({ status }) => status),
      [200, 400],
    );
    assert.equal(system.listRuns("r2").length, 0);
  });

  // Each request of a crowd that names none of them was refused on its own.
  it("gets one refusal and the close for requests that nothing names", async () => {
    await system.start([{ id: "i-1" }]);
    const brokenCaller = new RawCaller(system.callerPort);
    caller = brokenCaller;
    brokenCaller.write("GET /safe/a HTTP/1.1\r\n\r\n".repeat(300));
    await system.waitFor(() => brokenCaller.isClosed);
    assert.deepEqual(
      brokenCaller.answers.map(({ status }) => status),
      [400],
    );
    assert.ok(brokenCaller.answers.at(-1)?.isLastOfConnection);
  });

  // The refusal waited until the body had come, which it need not do.
  it("gets the refusal before the body of a request that nothing names", async () => {
    await system.start([{ id: "i-1" }]);
    const brokenCaller = new RawCaller(system.callerPort);
    caller = brokenCaller;
    brokenCaller.write(
      "POST /safe/a HTTP/1.1\r\nContent-Length: 90000\r\n\r\n",
    );
    await system.waitFor(() => brokenCaller.answers.length > 0);
    assert.equal(brokenCaller.answers[0]?.status, 400);
  });

  const REFUSED_BODIES = {
    "that announces to be too large": "Content-Length: 100000000000",
    "without end": "Transfer-Encoding: chunked",
  };
  for (const [name, line] of Object.entries(REFUSED_BODIES)) {
    // It was read as fast as it came until the connection was closed.
    it(`has little read of a body ${name}`, async () => {
      await system.start([{ id: "i-1" }]);
      const brokenCaller = new RawCaller(system.callerPort);
      caller = brokenCaller;
      const { socket } = brokenCaller;
      const text = createRequestText("r1", { body: "" });
      brokenCaller.write(text.replace(/Content-Length: \d+/, line));
      writeEndlessly(socket, Buffer.from(ENDLESS_CHUNK));
      await system.waitFor(() => brokenCaller.isClosed, 10_000);
      const sentBytes = socket.bytesWritten - socket.writableLength;
      assert.ok(sentBytes < MAX_SENT_BYTES, `${sentBytes} bytes`);
    });
  }

  // A second answer would be taken for that to the caller's next request.
  it("gets no second refusal when the rest of its body can't be read", async () => {
    await system.start([{ id: "i-1" }]);
    const brokenCaller = new RawCaller(system.callerPort);
    caller = brokenCaller;
    const chunk = "x".repeat(110_000);
    const text = createRequestText("r1", {
      body: `${chunk.length.toString(16)}\r\n${chunk}\r\n`,
    });
    brokenCaller.write(
      text.replace(/Content-Length: \d+/, "Transfer-Encoding: chunked"),
    );
    await system.waitFor(() => brokenCaller.answers.length === 1);
    brokenCaller.write("no chunk\r\n");
    await system.waitFor(() => brokenCaller.isClosed);
    assert.deepEqual(
      brokenCaller.answers.map(({ status }) => status),
      [413],
    );
    assert.equal(brokenCaller.text.split("HTTP/1.1 ").length, 2);
  });
});
