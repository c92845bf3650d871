import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import {
  API_KEY,
  createConfiguration,
  HOST,
  TestSystem,
} from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

const EVENTS = ["id: 0\ndata: a\n\n", "id: 1\ndata: b\n\n"];
const WHOLE = EVENTS.join("");

function createHead(requestId: string, framing: string): string {
  return `HTTP/1.1 200 OK\r\nAttempt-Id: ${requestId}\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n${framing}\r\n`;
}

const FRAMINGS = {
  "a length": {
    header: `Content-Length: ${WHOLE.length}\r\n`,
    encode: (text: string) => text,
    end: "",
  },
  chunks: {
    header: "Transfer-Encoding: chunked\r\n",
    encode: (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`,
    end: "0\r\n\r\n",
  },
  "neither length nor chunks": {
    header: "Connection: close\r\n",
    encode: (text: string) => text,
    end: "",
  },
};

const CUTS = {
  "before the head": { hasHead: false, pieces: [] },
  "within the head": { hasHead: "half", pieces: [] },
  "before the first event": { hasHead: true, pieces: [] },
  "within an event": { hasHead: true, pieces: [EVENTS[0] ?? "", "id: 1\nda"] },
  "between two events": { hasHead: true, pieces: [EVENTS[0] ?? ""] },
  "after the last event": { hasHead: true, pieces: EVENTS },
};

interface Received {
  readonly text: string;
  /** The connection was reset. */
  readonly isReset: boolean;
}

describe("a stream of an endpoint that breaks off", () => {
  let system: TestSystem;
  const closers: (() => void)[] = [];
  beforeEach(() => {
    system = new TestSystem();
  });
  afterEach(async () => {
    for (const close of closers.splice(0)) close();
    await system.close();
  });

  async function startEndpoint(answer: (socket: Socket, id: string) => void) {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        const id = /attempt-id: (\S+)/i.exec(data.toString())?.[1];
        if (id !== undefined) answer(socket, id);
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve),
    );
    closers.push(() => server.close());
    const address = server.address();
    assert.ok(address !== null && typeof address === "object");
    await system.startStore();
    system.store.put("config", "main", createConfiguration());
    system.store.put("servers", "i-1", createReplicaSpec(address.port));
    await system.startEntry();
    await system.waitFor(() => system.isReady);
  }

  function callEntry(
    version: string,
    id: string,
    deadlineMs = 1_000,
  ): Promise<Received> {
    return new Promise((resolve) => {
      const socket = connect({
        port: system.callerPort,
        host: "127.0.0.1",
        allowHalfOpen: true,
      });
      let text = "";
      socket.on("data", (data) => {
        text += data.toString();
        // A caller of HTTP/1.1 keeps the connection: the last chunk ends it.
        if (/^HTTP\/1\.1 .*\r\n0\r\n\r\n$/s.test(text)) socket.end();
      });
      socket.once("error", () => resolve({ text, isReset: true }));
      // A reset that comes with the last data is read as the end; then a write
      // fails at once.
      socket.once("end", () =>
        socket.write("\r\n", (error) => {
          resolve({ text, isReset: error instanceof Error });
          socket.destroy();
        }),
      );
      socket.once("close", () => resolve({ text, isReset: false }));
      socket.write(
        `POST /stream/a HTTP/${version}\r\nHost: ${HOST}\r\nAttempt-Id: ${id}\r\nAuthorization: Bearer ${API_KEY}\r\nDeadline-Ms: ${deadlineMs}\r\nContent-Length: 0\r\n\r\n`,
      );
      setTimeout(() => socket.destroy(), deadlineMs + 500).unref();
    });
  }

  for (const [name, { header, encode, end }] of Object.entries(FRAMINGS)) {
    for (const version of ["1.0", "1.1"]) {
      it(`with ${name} is whole for a caller of HTTP/${version} only if all came`, async () => {
        let cut: (typeof CUTS)[keyof typeof CUTS] = CUTS["before the head"];
        await startEndpoint((socket, id) => {
          const head = createHead(id, header);
          if (cut.hasHead === "half") socket.write(head.slice(0, 40));
          else if (cut.hasHead) socket.write(head);
          for (const piece of cut.pieces) socket.write(encode(piece));
          const isWhole = cut.pieces === EVENTS;
          if (isWhole && end !== "") socket.write(end);
          setTimeout(() => socket.end(), 30);
        });
        for (const [place, one] of Object.entries(CUTS)) {
          cut = one;
          const { text, isReset } = await callEntry(
            version,
            `r-${place.length}`,
          );
          const isSuccess = / 200 /.test(text.split("\r\n")[0] ?? "");
          const endsWell =
            version === "1.1" ? text.endsWith("0\r\n\r\n") : !isReset;
          const isClose = header.startsWith("Connection");
          // Without framing nothing tells an end between events from the end.
          const mayBeWhole =
            place === "after the last event" ||
            (isClose && cut.hasHead === true && place !== "within an event");
          if (place === "after the last event") {
            assert.ok(isSuccess && endsWell, `${place}: ${text}`);
          }
          assert.ok(
            mayBeWhole || !(isSuccess && endsWell),
            `${place}: ${JSON.stringify(text)}`,
          );
          assert.ok(!text.includes("id: 1\nda\n"));
          assert.ok(!/id: 1\nda$/.test(text), "half an event is passed on");
        }
      });
    }
  }

  it("is reset for a caller of HTTP/1.0 when the time to stop is over", async () => {
    await system.start([{ id: "i-1", streamEvents: 1_000, delayMs: 50 }]);
    const answer = callEntry("1.0", "r1", 4_000);
    await system.waitFor(() => system.listRuns("r1").length > 0);
    await system.stop();
    const { text, isReset } = await answer;
    assert.match(text, / 200 /);
    assert.equal(isReset, true);
  });
});
