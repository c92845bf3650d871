import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { LoopDelay } from "./loop_delay.js";

describe("event loop delay", () => {
  // Otherwise a slow host keeps its connections until its callers time out.
  it("closes connections only while the process is late", () => {
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

  // Each change writes a log line; two thresholds keep a delay that varies
  // around one of them from writing many.
  it("reports once that the process is late and once that it recovered", () => {
    const delay = new LoopDelay();
    const changes = [60, 60, 60, 60, 30, 50, 30, 60, 0, 0, 0, 0].filter(
      (lateMs) => delay.record(lateMs),
    );
    assert.equal(changes.length, 2);
    assert.equal(delay.isLate, false);
  });

  // A single garbage collection is no overload.
  it("ignores a single long delay", () => {
    const delay = new LoopDelay();
    delay.record(130);
    assert.equal(delay.closeShare, 0);
  });
});
