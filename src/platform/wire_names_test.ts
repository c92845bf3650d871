import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const SOURCES = fileURLToPath(new URL("../../src/", import.meta.url));
/** Names that only the platform's wire has. */
const WIRE_NAMES =
  /attempt-id|server-stamp|expect-instance|not-executed|hornbeamrill\/objects|HORNBEAMRILL_NODE_FILE|traffic_split|api_keys|cold_left_ms/i;

describe("the platform's wire", () => {
  // A name of the wire outside its folder ties the product to one platform.
  it("is named only in its folder", () => {
    const strangers = readdirSync(SOURCES, { recursive: true })
      .map(String)
      .filter((file) => file.endsWith(".ts") && !file.startsWith("platform/"))
      .filter((file) =>
        WIRE_NAMES.test(readFileSync(join(SOURCES, file), "utf8")),
      );
    assert.deepEqual(strangers, []);
  });
});
