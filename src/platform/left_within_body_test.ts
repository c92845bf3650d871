import assert from "node:assert/strict";
import { readdirSync } from "node:fs";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type BuiltEntry, BuiltSystem } from "./built_entry_fixtures_test.js";
import { createRequestText, RawCaller } from "./raw_caller_fixtures_test.js";

const CALLERS = 50;
/** Connections of the entry to its endpoint and the store come and go. */
const OTHER_DESCRIPTORS = 10;

function countDescriptors(entry: BuiltEntry): number {
  return readdirSync(`/proc/${entry.process.pid}/fd`).length;
}

// Each such caller cost a descriptor and an open request for good; without
// descriptors the entry serves nobody and hears of no new configuration.
describe("callers that leave within a request's body", () => {
  let system: BuiltSystem;
  beforeEach(async () => {
    system = new BuiltSystem();
    await system.start();
    await system.startEndpoint("i-1");
  });
  afterEach(async () => await system.close());

  for (const [name, options] of Object.entries({
    "that is to close after its answer": { lines: ["Connection: close"] },
    "of HTTP/1.0": { httpVersion: "1.0" },
    "that is to be kept": {},
  })) {
    for (const way of ["closes", "resets"] as const) {
      it(`leave nothing behind where one ${way} a connection ${name}`, async () => {
        const entry = await system.startEntry();
        await entry.call("/safe/a", "r1");
        const before = countDescriptors(entry);
        const callers = Array.from({ length: CALLERS }, (_, i) => {
          const caller = new RawCaller(entry.ports.callers);
          const bodyBytes = 10_000;
          caller.write(createRequestText(`b${i}`, { ...options, bodyBytes }));
          return caller;
        });
        await delay(200);
        for (const { socket } of callers) {
          if (way === "closes") socket.destroy();
          else socket.resetAndDestroy();
        }
        await delay(500);
        const added = countDescriptors(entry) - before;
        assert.ok(added < OTHER_DESCRIPTORS, `${added} more descriptors`);
      });
    }
  }
});
