import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as core from "./core/index.js";
import * as library from "./index.js";
import * as schema from "./schema/index.js";

describe("library index", () => {
  // Two folders that export one name would both lose it without a message.
  it("exports all of core and schema, with nothing lost to a clash", () => {
    const names = [core, schema].flatMap(Object.keys);
    const missing = names.filter((name) => !Object.hasOwn(library, name));
    assert.deepEqual(missing, []);
    assert.equal(new Set(names).size, names.length);
    assert.equal(typeof library.startEntryRole, "function");
    assert.equal(typeof library.parseSettings, "function");
    assert.equal("default" in library, false);
  });
});
