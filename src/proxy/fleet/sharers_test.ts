import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Sharers } from "./sharers.js";

describe("entries that share an allowance", () => {
  // Others that it knew go on; alone it would have all of the allowance.
  it("are counted by an entry that hears of none, however long", () => {
    const sharers = new Sharers();
    sharers.record("e1", 0);
    sharers.record("e2", 1_000);
    assert.equal(sharers.count(1_000), 3);
    assert.equal(sharers.count(3_600_000), 3);
  });

  // They may be cut off together, for longer than a peer is listed.
  it("are counted for ten minutes while others are heard of", () => {
    const sharers = new Sharers();
    sharers.record("e1", 0);
    sharers.record("e2", 600_000);
    assert.equal(sharers.count(600_000), 3);
    sharers.record("e2", 600_001);
    assert.equal(sharers.count(600_001), 2);
  });

  // Until its grace period ends an entry may retry what it still runs.
  it("are counted for a while after they leave", () => {
    const sharers = new Sharers();
    sharers.record("e1", 0);
    sharers.recordLeaving("e1", 1_000);
    assert.equal(sharers.count(31_000), 2);
    assert.equal(sharers.count(31_001), 1);
  });

  it("are counted once if they leave and start again", () => {
    const sharers = new Sharers();
    sharers.recordLeaving("e1", 0);
    sharers.record("e1", 1_000);
    assert.equal(sharers.count(1_000), 2);
    assert.equal(sharers.count(40_000), 2);
  });
});
