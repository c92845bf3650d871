import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import {
  assertSoundBeside,
  type BuiltEntry,
  BuiltSystem,
} from "./built_entry_fixtures_test.js";
import { HOST_MEMORY_MB } from "./soak/fleet.js";
import { writeEndlessly } from "./standins/endless_bytes.js";

const SMALL_CHUNKS = Buffer.from("1\r\nx\r\n".repeat(10_000));
const RUN_MS = 2_500;

const CHUNKED_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

function writeWhole(socket: Socket, text: string): void {
  socket.end(
    `HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: ${Buffer.byteLength(text)}\r\n\r\n${text}`,
  );
}

/** A page of a list that never ends: each has new names. */
function createPage(pageNumber: number): string {
  const items = Array.from({ length: 200 }, (_, i) => ({
    metadata: { name: `i-${pageNumber}-${i}`, revision: 1, created: 1 },
    spec: { text: "x".repeat(2_000) },
    status: {},
  }));
  return JSON.stringify({ at: 1, items, has_more: true });
}

/** Values that take little room in the answer and much in memory. */
const MANY_VALUES = `{"at":1,"items":[${"{},".repeat(2_600_000)}{}]}`;

// Without a bound the process ended at its memory limit as it started.
describe("an entry whose store or peer sends without measure", () => {
  let system: BuiltSystem;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-sound");
  });
  afterEach(async () => await system.close());

  const assertLives = (entry: BuiltEntry) => {
    assert.equal(entry.exit, undefined);
    const { peakMemoryMb } = entry;
    assert.ok(peakMemoryMb < HOST_MEMORY_MB, `${peakMemoryMb} MB`);
  };

  let pageNumber = 0;
  const STORE_ANSWERS: Record<string, (socket: Socket) => void> = {
    "an answer in small chunks": (socket) => {
      socket.write(CHUNKED_HEAD);
      writeEndlessly(socket, SMALL_CHUNKS);
    },
    "an answer of countless values": (socket) => {
      writeWhole(socket, MANY_VALUES);
    },
    "a list without end": (socket) => {
      writeWhole(socket, createPage(pageNumber++));
    },
  };
  for (const [name, answer] of Object.entries(STORE_ANSWERS)) {
    it(`stays within its memory beside ${name} of the store`, async () => {
      const storePort = await system.startRawServer(answer);
      const entry = await system.startEntry({ storePort });
      await delay(RUN_MS);
      assertLives(entry);
    });
  }

  it("stays within its memory beside a peer's answer in small chunks", async () => {
    const port = await system.startRawServer((socket) => {
      socket.write(CHUNKED_HEAD);
      writeEndlessly(socket, SMALL_CHUNKS);
    });
    const entry = await system.startEntry({ seeds: [`127.0.0.1:${port}`] });
    await assertSoundBeside(entry, RUN_MS, () => delay(RUN_MS));
  });
});
