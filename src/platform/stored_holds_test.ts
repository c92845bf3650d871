import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { ok } from "neverthrow";
import type { LogFields } from "../adapters/logger.js";
import type { PromptHold } from "../schema/exchange/index.js";
import { StoredHolds } from "./stored_holds.js";

const HELD_AT_MS = 1_700_000_000_000;
const SOUND = {
  parts: ["first", "bad"],
  crashes: 3,
  failed_trials: 1,
  held_at_ms: HELD_AT_MS,
};
const CHUNKS = 10_000;

/** Loads the holds with these specs; returns what is kept of them. */
async function loadHolds(specs: readonly unknown[]) {
  const kept: PromptHold[] = [];
  const skipped: (LogFields | undefined)[] = [];
  const ignore = () => {};
  const objects = specs.map((spec, index) => ({
    name: `hold-${index}`,
    revision: 2,
    createdRevision: 2,
    isDeleting: false,
    spec,
    status: null,
  }));
  const page = { objects, skipReasons: [], hasMore: false, storeRevision: 2 };
  const holds = new StoredHolds({
    store: {
      list: async () => ok(page),
      put: () => Promise.reject(new Error("not expected")),
      delete: () => Promise.reject(new Error("not expected")),
    },
    promptHolds: { mergeHolds: (reports) => kept.push(...reports) },
    now: () => 0,
    readWallClockMs: () => HELD_AT_MS + 5_000,
    log: {
      debug: ignore,
      info: ignore,
      error: ignore,
      warn: (_event, fields) => skipped.push(fields),
    },
    signal: new AbortController().signal,
  });
  await holds.load();
  return { kept, skipped };
}

describe("holds that are read from the store", () => {
  // Entries report them to each other: an odd one would be in every message.
  for (const [name, odd] of Object.entries({
    "no object": 7,
    "no parts": { ...SOUND, parts: [] },
    "an empty part": { ...SOUND, parts: ["bad", ""] },
    "a part that is no text": { ...SOUND, parts: ["bad", 7] },
    "a huge part": { ...SOUND, parts: ["x".repeat(CHUNKS)] },
    "many parts": { ...SOUND, parts: Array(CHUNKS).fill("bad") },
    "no time": { ...SOUND, held_at_ms: undefined },
    "an endless time": { ...SOUND, held_at_ms: Number.POSITIVE_INFINITY },
    "a fraction of a crash": { ...SOUND, crashes: 1.5 },
    "a negative count": { ...SOUND, failed_trials: -1_000 },
    "a count that is a text": { ...SOUND, crashes: "3" },
  })) {
    it(`leave out one with ${name}, with one log line`, async () => {
      const { kept, skipped } = await loadHolds([SOUND, odd, SOUND]);
      assert.equal(kept.length, 2);
      assert.deepEqual(kept[0]?.parts, SOUND.parts);
      assert.equal(kept[0]?.ageMs, 5_000);
      assert.equal(skipped.length, 1);
      assert.ok(JSON.stringify(skipped).length < 200);
    });
  }

  it("throw nothing and keep the sound ones, whatever is beside them", async () => {
    const field = fc.oneof(fc.jsonValue(), fc.double(), fc.constant(undefined));
    const spec = fc.oneof(
      fc.jsonValue(),
      fc
        .record({
          parts: fc.oneof(fc.array(fc.string()), field),
          crashes: field,
          failed_trials: field,
          held_at_ms: field,
        })
        .map((fields) => ({ ...SOUND, ...fields })),
    );
    await fc.assert(
      fc.asyncProperty(fc.array(spec), async (specs) => {
        const { kept, skipped } = await loadHolds([...specs, SOUND]);
        assert.equal(kept.length + skipped.length, specs.length + 1);
        assert.deepEqual(kept.at(-1)?.parts, SOUND.parts);
        for (const { parts, crashes } of kept) {
          assert.ok(parts.length <= 8 && crashes >= 0);
        }
      }),
      { numRuns: 500 },
    );
  });
});
