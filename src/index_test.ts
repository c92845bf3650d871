import assert from "node:assert/strict";
import { describe, it } from "node:test";
import * as core from "./core/index.js";
import * as library from "./index.js";
import * as schema from "./schema/index.js";

describe("library index", () => {
  // `export *` silently drops a name that two modules export.
  it("exports all names of core and schema, none dropped as a duplicate", () => {
    const names = [core, schema].flatMap(Object.keys);
    const missing = names.filter((name) => !Object.hasOwn(library, name));
    assert.deepEqual(missing, []);
    assert.equal(new Set(names).size, names.length);
    assert.equal(typeof library.startEntryRole, "function");
    assert.equal(typeof library.parseSettings, "function");
    assert.equal("default" in library, false);
  });
});
