import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FrameLog, MAX_FRAME_BYTES } from "./frames.js";

describe("the frames of an attempt", () => {
  it("count what a short chunk takes in memory, not only its text", () => {
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
