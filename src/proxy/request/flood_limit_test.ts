import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { isFlood } from "./flood_limit.js";

/** Bytes on the connection for a body of which each chunk has `bytes`. */
const countChunked = (bodyBytes: number, bytes: number) =>
  (bodyBytes / bytes) * (bytes.toString(16).length + 4 + bytes);

describe("limit of an endpoint's flood", () => {
  const HEAD_BYTES = 16_384;

  // It would cut answers that callers wait for.
  it("allows answers of sound endpoints, however long", () => {
    assert.equal(isFlood(HEAD_BYTES, 0), false);
    for (const bytes of [4, 8, 100, 16_384]) {
      for (const bodyBytes of [0, bytes, 100 * bytes, 1e5 * bytes, 1e9]) {
        const received = HEAD_BYTES + countChunked(bodyBytes, bytes);
        assert.equal(isFlood(received, bodyBytes), false);
      }
    }
  });

  it("tells bytes that bring nothing, or next to it, soon", () => {
    assert.equal(isFlood(40_000, 0), true);
    assert.equal(isFlood(countChunked(12_000, 1), 12_000), true);
  });
});
