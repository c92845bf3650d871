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

  it("finds the same boundaries whatever the line ends and chunks", () => {
    const bytes = fc
      .array(fc.constantFrom("\n", "\r", "\n\n", "\r\n", "x", "data:"))
      .map((parts) => Buffer.from(parts.join("")));
    fc.assert(
      fc.property(
        bytes,
        fc.array(fc.integer({ min: 1, max: 4 })),
        (data, sizes) => {
          const splitter = new EventSplitter();
          let forwarded = "";
          let offset = 0;
          for (const size of [...sizes, data.length]) {
            const chunk = data.subarray(offset, offset + size);
            // A buffer of the caller may be used again for other bytes.
            forwarded += splitter.push(Buffer.from(chunk)).toString();
            offset += size;
          }
          const rest = splitter.incompleteEvent.toString();
          assert.equal(forwarded + rest, data.toString());
          assert.match(forwarded, /^$|\n\r?\n$/);
          assert.doesNotMatch(rest, /\n\r?\n/);
        },
      ),
    );
  });

  it("keeps the events that it has returned", () => {
    const splitter = new EventSplitter();
    const first = splitter.push(Buffer.from("data: a\n\ndata"));
    const second = splitter.push(Buffer.from(": b\n\n"));
    splitter.push(Buffer.from("xxxxxxxxxxxxxxxxxxxxxxxxxxxx"));
    assert.equal(first.toString(), "data: a\n\n");
    assert.equal(second.toString(), "data: b\n\n");
  });

  // Joining the event with each chunk took 9 s, in which no other request went
  // on.
  for (const [name, text] of [
    ["a byte", "x"],
    ["a line end", "\nx"],
  ] as const) {
    it(`takes time in proportion to an event in chunks of ${name}`, () => {
      const splitter = new EventSplitter();
      const chunk = Buffer.from(text);
      const startedAtMs = performance.now();
      for (let i = 0; i < 300_000; i++) splitter.push(chunk);
      const ms = performance.now() - startedAtMs;
      assert.equal(splitter.incompleteEvent.length, 300_000 * chunk.length);
      assert.ok(ms < 2_000, `${ms} ms`);
    });
  }
});
