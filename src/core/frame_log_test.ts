import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FrameLog, MAX_FRAME_BYTES } from "./frame_log.js";

describe("frame log", () => {
  it("counts the memory overhead of a short chunk, not only its text", () => {
    const log = new FrameLog("r1", 1);
    for (let index = 0; index < 20_000; index++) {
      log.append({ chunk: { data: Buffer.from("word") } });
    }
    // 20,000 frames of 4 bytes would otherwise all be kept, about 8 MB.
    assert.equal(log.listFrom(0), undefined);
    assert.ok(log.bytes <= MAX_FRAME_BYTES);
    assert.equal(log.listFrom(19_990)?.length, 10);
  });
});
