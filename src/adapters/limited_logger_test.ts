import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createLimitedLogger } from "./limited_logger.js";

describe("limited logger", () => {
  // Under heavy load a process must not spend its time on logging.
  it("drops lines over the limit, logs their number, and keeps warnings", () => {
    const lines: string[] = [];
    const record = (event: string, fields: object = {}) => {
      lines.push([event, ...Object.values(fields)].join(" "));
    };
    let nowMs = 0;
    const log = createLimitedLogger(
      { debug: record, info: record, warn: record, error: record },
      { linesPerSecond: 3, now: () => nowMs },
    );
    for (let i = 0; i < 10; i++) log.info("request-ended");
    log.warn("store-lost");
    nowMs = 1_000;
    log.info("request-ended");
    assert.deepEqual(lines, [
      "request-ended",
      "request-ended",
      "request-ended",
      "store-lost",
      "log-lines-dropped 7 1000",
      "request-ended",
    ]);
  });
});
