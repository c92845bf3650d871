import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { EventSequence } from "./event_sequence.js";
import { EventSplitter } from "./event_splitter.js";

const createStream = (count: number) =>
  Array.from({ length: count }, (_, id) => `id: ${id}\ndata: x${id}\n\n`).join(
    "",
  );

describe("event splitter", () => {
  // The rest of a partial event never comes when another endpoint resumes, so
  // the caller would join the part with the next event.
  it("returns complete events only, however the bytes are chunked", () => {
    fc.assert(
      fc.property(
        fc.nat({ max: 12 }),
        fc.array(fc.integer({ min: 1, max: 20 })),
        fc.nat({ max: 300 }),
        (count, sizes, byteCount) => {
          const bytes = Buffer.from(createStream(count)).subarray(0, byteCount);
          const splitter = new EventSplitter();
          let forwarded = "";
          const sequence = new EventSequence();
          sequence.beginAnswer();
          let offset = 0;
          for (const size of [...sizes, bytes.length]) {
            if (offset >= bytes.length) break;
            const blocks = splitter.push(bytes.subarray(offset, offset + size));
            offset += size;
            const { events, fault } = sequence.accept(blocks);
            assert.equal(fault, undefined);
            forwarded += events.toString();
          }
          const text = bytes.toString();
          const end = text.lastIndexOf("\n\n");
          const whole = end < 0 ? "" : text.slice(0, end + 2);
          assert.equal(forwarded, whole);
          const ids = [...whole.matchAll(/id: (\d+)/g)];
          assert.equal(
            sequence.lastEventId,
            ids.length === 0 ? undefined : ids.length - 1,
          );
        },
      ),
    );
  });
});
