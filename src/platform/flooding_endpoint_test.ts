import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  type BuiltEntry,
  BuiltSystem,
  HOST_MEMORY_MB,
  writeEndlessly,
} from "./built_entry_fixtures_test.js";

/** Time in which sound callers call beside the flood, ms. */
const CALL_MS = 2_000;
const FLOODED_REQUESTS = 50;
const FLOODED_DEADLINE_MS = 1_800;
/** Time for the last words of a request whose time is up, ms. */
const END_MARGIN_MS = 700;
const CHUNKED = "Transfer-Encoding: chunked\r\n";
const EVENT_STREAM = "Content-Type: text/event-stream\r\n";

const formatHead = (id: string, fields: string, status = "200 OK") =>
  `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nServer-Stamp: s\r\n${fields}\r\n`;
const formatChunks = (data: string) =>
  `${data.length.toString(16)}\r\n${data}\r\n`.repeat(5_000);

interface Flood {
  readonly name: string;
  readonly path: string;
  readonly createStart: (id: string) => string;
  readonly rest: string;
}

const streamFloods = [
  ["one event in small chunks", formatChunks("x")],
  ["an event of many short lines", formatChunks("data:x\n")],
  ["small events", formatChunks("data:x\n\n")],
  ["comments", formatChunks(":x\n\n")],
  ["empty lines in small chunks", formatChunks("\n")],
].map(([name = "", rest = ""]) => ({
  name,
  path: "/odd-stream/",
  createStart: (id: string) => formatHead(id, EVENT_STREAM + CHUNKED),
  rest,
}));

const floods: readonly Flood[] = [
  ...streamFloods,
  {
    name: "empty lines up to the end of a connection",
    path: "/odd-stream/",
    createStart: (id) => formatHead(id, `${EVENT_STREAM}Connection: close\r\n`),
    rest: "\n".repeat(65_536),
  },
  {
    name: "informational heads",
    path: "/odd/",
    createStart: () => "",
    rest: "HTTP/1.1 103 E\r\n\r\n".repeat(3_000),
  },
  {
    name: "blank lines before a head",
    path: "/odd/",
    createStart: () => "",
    rest: "\r\n".repeat(32_768),
  },
  {
    name: "blanks of a header",
    path: "/odd/",
    createStart: () => "HTTP/1.1 200 OK\r\nX-A:",
    rest: " ".repeat(65_536),
  },
  {
    name: "zeros of a chunk's size",
    path: "/odd/",
    createStart: (id) => formatHead(id, CHUNKED),
    rest: "0".repeat(65_536),
  },
  {
    name: "a refusal in small chunks",
    path: "/odd/",
    createStart: (id) =>
      formatHead(id, `Not-Executed: 1\r\n${CHUNKED}`, "503 No"),
    rest: formatChunks("x"),
  },
];

// All callers share one thread, so an endpoint that sends as fast as it can
// held up the requests to all others until their time was up.
describe("an entry whose endpoint sends as fast as it can", () => {
  let system: BuiltSystem;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-sound");
  });
  afterEach(async () => await system.close());

  /** Calls a sound endpoint beside requests at the faulty one. */
  async function callBeside(entry: BuiltEntry, path: string) {
    const soundCalls = new AbortController();
    const sound = entry.callRepeatedly(soundCalls.signal);
    const flooded = Promise.all(
      Array.from({ length: FLOODED_REQUESTS }, (_, i) =>
        entry.call(`${path}a`, `odd-${i}`, FLOODED_DEADLINE_MS),
      ),
    );
    await delay(CALL_MS);
    soundCalls.abort();
    return { sound: await sound, flooded: await flooded };
  }

  for (const { name, path, createStart, rest } of floods) {
    it(`answers others in time beside ${name}`, async (test) => {
      const bytes = Buffer.from(rest);
      await system.startOddEndpoint("i-odd", (socket, id) => {
        socket.write(createStart(id));
        writeEndlessly(socket, bytes);
      });
      const entry = await system.startEntry();
      const { sound, flooded } = await callBeside(entry, path);
      const slowestMs = Math.max(...sound.map(({ ms }) => ms));
      test.diagnostic(
        `${entry.peakMemoryMb} MB, slowest of ${sound.length} sound calls ` +
          `${Math.round(slowestMs)} ms`,
      );
      assert.equal(entry.exit, undefined);
      const { peakMemoryMb } = entry;
      assert.ok(peakMemoryMb < HOST_MEMORY_MB, `${peakMemoryMb} MB`);
      assert.deepEqual(
        sound.filter(({ status }) => status !== 200),
        [],
      );
      assert.deepEqual(
        flooded.filter(
          ({ status, isComplete, ms }) =>
            (status === 200 && isComplete) ||
            ms > FLOODED_DEADLINE_MS + END_MARGIN_MS,
        ),
        [],
      );
    });
  }
});
