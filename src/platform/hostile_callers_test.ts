import assert from "node:assert/strict";
import { Agent, request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { CallResult } from "./built_entry_fixtures_test.js";
import { HOST } from "./entry_fixtures_test.js";
import { createHead, HostileRun } from "./hostile_callers_fixtures_test.js";

const EMPTY_BODY = "Content-Length: 0";
const SMALL_CHUNK = "1\r\nx\r\n";
const LARGE_BODY_BYTES = 100_000;
const MEDIUM_BODY_BYTES = 60_000;
const ANSWER_BYTES = 1_000_000;

function createAnswerHead(id: string, line: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n${line}\r\n\r\n`;
}

function createPipeline(path: string, i: number, count: number): string {
  return Array.from({ length: count }, (_, j) =>
    createHead(path, `odd-${i}-${j}`, EMPTY_BODY),
  ).join("");
}

const isServed = ({ status }: CallResult) => status === 200;

describe("an entry and callers who use up its memory or time", () => {
  let run: HostileRun;
  beforeEach(() => {
    run = new HostileRun();
  });
  afterEach(() => run.close());

  /** An ordinary request with the time limit of its route. */
  const call = (
    id: string,
    { agent, bodyBytes = 0 }: { agent?: Agent; bodyBytes?: number } = {},
  ): Promise<CallResult> =>
    new Promise((resolve) => {
      const settle = (status: number) =>
        resolve({ id, status, isComplete: true, ms: 0 });
      const outgoing = sendRequest({
        host: "127.0.0.1",
        port: run.entry.ports.callers,
        path: "/safe/sound",
        method: "POST",
        agent: agent ?? false,
        headers: { host: HOST, "attempt-id": id },
      });
      outgoing.once("response", (answer) => {
        answer.resume();
        answer.once("close", () => settle(answer.statusCode ?? 0));
      });
      outgoing.once("error", () => settle(0));
      outgoing.end(Buffer.alloc(bodyBytes));
    });
  /** One with a body that is refused where callers' bodies fill the memory. */
  const callWithLargeBody = (id: string) =>
    call(id, { bodyBytes: LARGE_BODY_BYTES });

  // One read of a socket brings 700 requests, each of which cost 3 kB of heap.
  it("lives with unread pipelined requests", async () => {
    await run.start();
    run.connect(60, (socket, i) => {
      socket.pause();
      socket.write(createPipeline("/safe/a", i, 10_000));
    });
    await run.waitUntilQuiet();
    const after = await run.callUntil(isServed);
    run.assertSound();
    assert.equal(after.status, 200);
  });

  // What follows a response that closes the connection was read to the end.
  it("lives with requests behind streams while it stops", async () => {
    await run.start();
    const streams: Socket[] = [];
    let answerLate = () => {};
    await run.system.startOddEndpoint("i-odd", (socket, id) => {
      if (id === "late") {
        const head = createAnswerHead(id, "Content-Length: 2");
        answerLate = () => socket.end(`${head}ok`);
        return;
      }
      streams.push(socket);
      const head = createAnswerHead(id, "Content-Type: text/event-stream");
      socket.write(`${head}id: 0\ndata: {}\n\n`);
    });
    // Also waits until the entry knows the endpoint.
    await run.callUntil(
      () => streams.length > 0,
      async (id) => {
        run.connect(1, (s) =>
          s.write(createHead("/odd-stream/a", id, EMPTY_BODY)),
        );
        return { id, status: 0, isComplete: false, ms: 0 };
      },
    );
    run.connect(20, (socket, i) => {
      socket.write(createHead("/odd-stream/a", `stream-${i}`, EMPTY_BODY));
    });
    const late = run.entry.call("/odd/a", "late", 10_000);
    await run.callUntil(() => streams.length > 20);
    run.entry.process.sendTerminate();
    for (const [i, socket] of run.sockets.entries()) {
      socket.write(createPipeline("/safe/a", i, 15_000));
    }
    await run.waitUntilQuiet();
    answerLate();
    const { status } = await late;
    const exit = await run.entry.process.exited;
    run.assertBounds();
    assert.notEqual(status, 0);
    assert.deepEqual(exit, { code: 0, signal: undefined });
  });

  // Heads were in no budget, and only those above 64 kB were refused.
  it("lives with large heads", async () => {
    await run.start();
    await run.system.startOddEndpoint("i-odd", () => undefined);
    const filler = `X-Filler: ${"x".repeat(45_000)}\r\n${EMPTY_BODY}`;
    run.connect(200, (socket, i) => {
      socket.pause();
      for (let j = 0; j < 8; j++) {
        socket.write(createHead("/odd/a", `odd-${i}-${j}`, filler));
      }
    });
    await run.waitUntilQuiet();
    const after = await run.callUntil(isServed);
    run.assertSound();
    assert.equal(after.status, 200);
  });

  // Bodies were held until their responses were read, which never happened.
  it("serves large bodies beside callers who read no response", async () => {
    await run.start();
    await run.system.startOddEndpoint("i-odd", (socket, id) => {
      const head = createAnswerHead(
        id,
        `Connection: close\r\nContent-Length: ${ANSWER_BYTES}`,
      );
      socket.end(head + "x".repeat(ANSWER_BYTES));
    });
    // One after another, so that their responses fill the memory.
    for (let i = 0; i < 4; i++) {
      run.connect(1, (socket) => {
        socket.pause();
        socket.write(createPipeline("/odd/a", i, 16));
      });
      await run.waitUntilQuiet();
    }
    const after = await run.callUntil(isServed, callWithLargeBody);
    run.assertSound();
    assert.equal(after.status, 200);
  });

  // 150 reads of 11,000 chunks each were parsed in one turn of the event loop.
  it("serves others beside bodies in one-byte chunks", async () => {
    await run.start();
    const body = `${SMALL_CHUNK.repeat(96_000)}0\r\n\r\n`;
    const framing = "Transfer-Encoding: chunked";
    run.connect(150, (socket, i) => {
      socket.write(createHead("/once/a", `odd-${i}`, framing));
    });
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    await call("before", { agent });
    await run.waitUntilQuiet();
    // The request and the bodies have come when the process goes on.
    run.entry.process.freeze();
    const after = call("after", { agent });
    await run.waitUntilQuiet();
    for (const socket of run.sockets) socket.write(body);
    await run.waitUntilQuiet();
    run.entry.process.resume();
    const { status } = await after;
    agent.destroy();
    run.assertSound();
    assert.equal(status, 200);
  });

  // Bodies that had stopped held all of the memory until their time was over.
  it("serves a large body beside bodies that have stopped", async () => {
    await run.start();
    const line = `Content-Length: ${MEDIUM_BODY_BYTES}`;
    run.connect(450, (socket, i) => {
      socket.write(createHead("/once/a", `odd-${i}`, line));
      socket.write(Buffer.alloc(MEDIUM_BODY_BYTES / 2));
    });
    await run.waitUntilQuiet();
    const { status } = await callWithLargeBody("after");
    run.assertSound();
    assert.equal(status, 200);
  });

  // A pause has a time limit, but any further byte began it anew.
  it("serves large bodies beside bodies that never end", async () => {
    await run.start();
    const line = `Content-Length: ${MEDIUM_BODY_BYTES}`;
    run.connect(300, (socket, i) => {
      socket.write(createHead("/once/a", `odd-${i}`, line));
      socket.write(Buffer.alloc(MEDIUM_BODY_BYTES / 2));
    });
    await run.waitUntilQuiet();
    for (const socket of run.sockets) {
      socket.write(Buffer.alloc(MEDIUM_BODY_BYTES / 3));
    }
    await run.waitUntilQuiet();
    const timer = setInterval(() => {
      for (const socket of run.sockets) socket.write("x");
    }, 1_000);
    try {
      const after = await run.callUntil(isServed, callWithLargeBody);
      run.assertSound();
      assert.equal(after.status, 200);
    } finally {
      clearInterval(timer);
    }
  });
});
