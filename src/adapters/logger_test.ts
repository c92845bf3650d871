import assert from "node:assert/strict";
import { Writable } from "node:stream";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createLogger, type LogFields } from "./logger.js";

function createCapture(level: "debug" | "info" = "info") {
  let text = "";
  const output = new Writable({
    write(chunk, _encoding, done) {
      text += chunk;
      done();
    },
  });
  const fields = { role: "entry" };
  const log = createLogger({ level }, { output, fields });
  return { log, read: () => text };
}

const LINE_PATTERN =
  /^time=[\w.:-]+ level=\w+ event=\S+ role=entry( [\w.-]+=([\w.:/+-]+|"([^"\\]|\\.)*"))*$/;

describe("logs", () => {
  it("writes one key=value line for each event and quotes where needed", () => {
    const { log, read } = createCapture();
    log.info("request", { class: "chat", ms: 12, detail: 'a "b"\nc', x: "" });
    log.warn("hold", { absent: undefined, error: new Error("no way") });
    const [first = "", second = ""] = read().split("\n");
    assert.match(
      first,
      / event=request role=entry class=chat ms=12 detail="a \\"b\\"\\nc" x=""$/,
    );
    assert.match(second, / level=warn .* error="Error: no way"$/);
  });

  it("leaves out events below the level", () => {
    const { log, read } = createCapture();
    log.debug("attempt-failed");
    assert.equal(read(), "");
  });

  // A field named pid or level once replaced bunyan's own, or was dropped.
  it("keeps fields whose names bunyan uses itself", () => {
    const { log, read } = createCapture();
    log.info("started", { pid: 7, level: "x", time: "y", name: "z" });
    assert.match(read(), /level=info event=started .* pid=7 level=x time=y/);
  });

  it("writes a value that neither JSON nor toString can represent", () => {
    const { log, read } = createCapture();
    log.info("event", { value: { toString: 0, count: 0n } });
    assert.match(read(), /value="\{ toString: 0, count: 0n \}"/);
  });

  it("writes one line and never throws, whatever the fields (fuzz)", () => {
    const value = fc.oneof(
      fc.anything({ withBigInt: true, withDate: true }),
      fc.constantFrom("a\u2028b", "a\u0085b", "\r\n"),
    );
    const fields = fc.dictionary(fc.string({ maxLength: 8 }), value);
    const property = fc.property(fields, (input) => {
      const { log, read } = createCapture();
      log.info("event", input as LogFields);
      const text = read();
      assert.match(text.slice(0, -1), LINE_PATTERN);
      assert.doesNotMatch(text.slice(0, -1), /[\n\r\u0085\u2028\u2029]/);
    });
    fc.assert(property, { numRuns: 500, interruptAfterTimeLimit: 10_000 });
  });
});
