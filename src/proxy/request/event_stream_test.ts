import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EventCutter } from "./event_stream.js";

const createStream = (count: number) =>
  Array.from({ length: count }, (_, id) => `id: ${id}\ndata: x${id}\n\n`).join(
    "",
  );

describe("event cutter", () => {
  // Half an event passed on would be joined to another run's next one.
  it("passes on whole events only, however the bytes come", () => {
    fc.assert(
      fc.property(
        fc.nat({ max: 12 }),
        fc.array(fc.integer({ min: 1, max: 20 })),
        fc.nat({ max: 300 }),
        (count, sizes, kept) => {
          const bytes = Buffer.from(createStream(count)).subarray(0, kept);
          const cutter = new EventCutter();
          let passed = "";
          let lastId: number | undefined;
          let at = 0;
          for (const size of [...sizes, bytes.length]) {
            if (at >= bytes.length) break;
            const cut = cutter.push(bytes.subarray(at, at + size));
            at += size;
            passed += cut.events.toString();
            lastId = cut.lastId ?? lastId;
          }
          const text = bytes.toString();
          const end = text.lastIndexOf("\n\n");
          const whole = end < 0 ? "" : text.slice(0, end + 2);
          assert.equal(passed, whole);
          const ids = [...whole.matchAll(/id: (\d+)/g)];
          assert.equal(lastId, ids.length === 0 ? undefined : ids.length - 1);
        },
      ),
    );
  });
});
