import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setImmediate as waitForTurn } from "node:timers/promises";
import { ReadTurns, type WaitingReader } from "./read_turns.js";

/** Time that a reader takes for each part, ms. */
const PART_MS = 1;

describe("turns of connections to endpoints", () => {
  let nowMs = 0;
  let controller = new AbortController();
  const processed: string[] = [];
  beforeEach(() => {
    controller = new AbortController();
    processed.length = 0;
  });
  afterEach(() => controller.abort());

  function createReader(
    turns: ReadTurns,
    endpoint: object,
    name: string,
  ): WaitingReader {
    const { signal } = controller;
    const reader: WaitingReader = {
      endpoint,
      processPart: () => {
        if (signal.aborted) return;
        turns.run(() => {
          nowMs += PART_MS;
          processed.push(name);
        });
        turns.wait(reader);
      },
    };
    turns.wait(reader);
    return reader;
  }

  const countParts = (name: string) =>
    processed.filter((other) => other === name).length;

  // Fifty connections to a faulty endpoint would leave a fiftieth of the time
  // to the answers of any other.
  it("are shared by endpoints, not by their connections", async () => {
    const turns = new ReadTurns(() => nowMs);
    const [faulty, sound] = [{}, {}];
    for (let i = 0; i < 50; i++) createReader(turns, faulty, `faulty-${i}`);
    createReader(turns, sound, "sound");
    while (processed.length < 200) await waitForTurn();
    assert.ok(countParts("sound") >= 100, `${countParts("sound")}`);
    const faultyParts = Array.from({ length: 50 }, (_, i) =>
      countParts(`faulty-${i}`),
    );
    assert.ok(Math.max(...faultyParts) - Math.min(...faultyParts) <= 1);
  });

  it("end before the loop's other work has waited long", async () => {
    const turns = new ReadTurns(() => nowMs);
    for (let i = 0; i < 10; i++) createReader(turns, {}, `reader-${i}`);
    for (let turn = 0; turn < 20; turn++) {
      const before = processed.length;
      await waitForTurn();
      assert.ok(processed.length - before <= 4 / PART_MS);
    }
    assert.ok(processed.length >= 10);
  });

  it("are refused while their time is used up", async () => {
    const turns = new ReadTurns(() => nowMs);
    assert.equal(turns.hasTimeLeft, true);
    turns.run(() => {
      nowMs += 100;
    });
    assert.equal(turns.hasTimeLeft, false);
    await waitForTurn();
    assert.equal(turns.hasTimeLeft, true);
  });

  it("pass over a connection that is closed", async () => {
    const turns = new ReadTurns(() => nowMs);
    const endpoint = {};
    turns.remove(createReader(turns, endpoint, "closed"));
    createReader(turns, endpoint, "open");
    while (processed.length === 0) await waitForTurn();
    assert.equal(countParts("closed"), 0);
  });
});
