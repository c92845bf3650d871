import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import type { CallResult } from "./built_entry_fixtures_test.js";
import { createHead, HostileRun } from "./hostile_callers_fixtures_test.js";
import { CALLER_WAYS } from "./standins/caller_crowd.js";

const CALLERS = 300;
/** Memory of the host where only heads come, MB. */
const LOW_MEMORY_MB = 100;
const IDLE_CALLERS = 150;
/** Within the limit of a body. */
const LARGE_BODY_BYTES = 900_000;
const MAX_BODY_BYTES = 1_000_000;

type Send = (socket: Socket, i: number) => void;

/** What callers send, with the routes of the test. */
const WAYS: Readonly<Record<string, Send>> = Object.fromEntries(
  Object.entries(CALLER_WAYS).map(([name, send]) => [
    name,
    (socket: Socket, i: number) =>
      send(socket, `odd-${i}`, {
        maxBodyBytes: MAX_BODY_BYTES,
        createHead: (id, line) =>
          createHead(name.includes("ahead") ? "/safe/a" : "/once/a", id, line),
      }),
  ]),
);

const isServed = ({ status }: CallResult) => status === 200;

describe("an entry beside callers that exceed its limits", () => {
  let run: HostileRun;
  beforeEach(() => {
    run = new HostileRun();
  });
  afterEach(() => run.close());

  /** Calls while they stay and after they have left. */
  const assertServesOn = async () => {
    const beside = await run.callUntil(isServed);
    run.assertSound();
    assert.equal(beside.status, 200);
    await run.leave();
    const after = await run.callUntil(isServed);
    run.assertSound();
    run.assertLeft();
    assert.equal(after.status, 200);
  };

  /** Callers send a request each, read the answer and stay. */
  const connectIdleCallers = async (
    path: string,
    bodyBytes: number,
    answerBytes: number,
  ) => {
    for (let i = 0; i < IDLE_CALLERS; i++) {
      let readBytes = 0;
      run.connect(1, (socket) => {
        socket.on("data", ({ length }) => {
          readBytes += length;
        });
        const line = `Content-Length: ${bodyBytes}`;
        socket.write(createHead(path, `odd-${i}`, line));
        socket.write(Buffer.alloc(bodyBytes));
      });
      await run.waitUntil(() => readBytes >= answerBytes);
    }
  };

  for (const [name, send] of Object.entries(WAYS)) {
    it(`keeps its bounds beside ${name}`, async () => {
      await run.start();
      run.connect(CALLERS, send);
      await run.waitUntilQuiet();
      await assertServesOn();
    });
  }

  it("keeps its bounds beside twice as many heads that stop short", async () => {
    await run.start({}, { memoryMb: LOW_MEMORY_MB });
    const send = WAYS["heads that stop short"] ?? assert.fail();
    run.connect(2 * CALLERS, send);
    await run.waitUntilQuiet();
    await assertServesOn();
  });

  it("keeps its bounds beside all of them, who come again", async () => {
    await run.start();
    const sends = Object.values(WAYS);
    run.connectAgain(CALLERS, (socket, i) =>
      sends[i % sends.length]?.(socket, i),
    );
    for (let i = 0; i < 10; i++) await run.callUntil(isServed);
    await assertServesOn();
  });

  // Each open connection kept the body of its last request, which nobody needs.
  it("keeps its bounds beside idle callers who have sent large bodies", async () => {
    await run.start();
    await connectIdleCallers("/safe/a", LARGE_BODY_BYTES, 1);
    await assertServesOn();
  });

  it("keeps its bounds beside idle callers who have large answers", async () => {
    await run.start();
    await run.system.startOddEndpoint("i-odd", (socket, id) => {
      const head = `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\nConnection: close\r\n`;
      socket.write(`${head}Content-Length: ${LARGE_BODY_BYTES}\r\n\r\n`);
      socket.end(Buffer.alloc(LARGE_BODY_BYTES));
    });
    await connectIdleCallers("/odd/a", 0, LARGE_BODY_BYTES);
    await assertServesOn();
  });

  // Endpoints, the store and others could not be reached any more.
  it("keeps to its descriptors beside many who send nothing", async () => {
    const maxDescriptors = CALLERS;
    await run.start({}, { maxDescriptors });
    run.connect(2 * CALLERS, () => undefined);
    await run.waitUntilQuiet();
    await assertServesOn();
    const { peakDescriptors } = run;
    assert.ok(peakDescriptors < maxDescriptors, `${peakDescriptors}`);
  });
});
