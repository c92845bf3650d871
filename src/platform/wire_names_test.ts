import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";

const SOURCES = fileURLToPath(new URL("../../src/", import.meta.url));
/** Some names that occur only on the platform's wire. */
const WIRE_NAME_PATTERN =
  /attempt-id|server-stamp|expect-instance|not-executed|hornbeamrill\/objects|HORNBEAMRILL_NODE_FILE|traffic_split|api_keys|cold_left_ms/i;

describe("names of the platform's wire", () => {
  // Such a name outside src/platform would tie the product to one platform.
  it("occur only in src/platform", () => {
    const filesWithWireNames = readdirSync(SOURCES, { recursive: true })
      .map(String)
      .filter((file) => file.endsWith(".ts") && !file.startsWith("platform/"))
      .filter((file) =>
        WIRE_NAME_PATTERN.test(readFileSync(join(SOURCES, file), "utf8")),
      );
    assert.deepEqual(filesWithWireNames, []);
  });
});
