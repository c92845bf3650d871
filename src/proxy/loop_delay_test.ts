import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LoopDelay } from "./loop_delay.js";

describe("delay of the event loop", () => {
  // A slow host would hold its connections until its callers give up.
  it("closes connections while the process is late, and none after", () => {
    const delay = new LoopDelay();
    for (let tick = 0; tick < 20; tick++) delay.record(15);
    assert.equal(delay.closeShare, 0);
    for (let tick = 0; tick < 4; tick++) delay.record(150);
    assert.ok(delay.closeShare > 0.2 && delay.closeShare < 0.6);
    for (let tick = 0; tick < 10; tick++) delay.record(900);
    assert.equal(delay.closeShare, 1);
    for (let tick = 0; tick < 20; tick++) delay.record(5);
    assert.equal(delay.closeShare, 0);
  });

  // One line in the log for each change, however the delay wavers.
  it("tells once that the process is late, and once that it is not", () => {
    const delay = new LoopDelay();
    const changes = [60, 60, 60, 60, 30, 50, 30, 60, 0, 0, 0, 0].filter(
      (lateMs) => delay.record(lateMs),
    );
    assert.equal(changes.length, 2);
    assert.equal(delay.isLate, false);
  });

  // One collection of garbage is no overload.
  it("does not mind a single delay", () => {
    const delay = new LoopDelay();
    delay.record(130);
    assert.equal(delay.closeShare, 0);
  });
});
