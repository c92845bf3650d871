import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { setImmediate as waitForTurn } from "node:timers/promises";
import {
  MAX_AHEAD_PARTS,
  MAX_PARTS_PER_TURN,
  MIN_REST_PARTS,
  READ_LEVEL,
  type ReadLevel,
  ReadSchedule,
  type ScheduledReader,
} from "./read_schedule.js";

/** Time that a costly part takes: small chunks of a body, ms. */
const COSTLY_PART_MS = 3;
const CROWD = 800;

describe("the schedule of callers' connections", () => {
  let nowMs = 0;
  let schedule: ReadSchedule;
  let controller: AbortController;
  const parsed: string[] = [];
  beforeEach(() => {
    controller = new AbortController();
    parsed.length = 0;
    schedule = new ReadSchedule(() => nowMs);
  });
  afterEach(() => controller.abort());

  interface ReaderOptions {
    readonly level: ReadLevel;
    readonly partMs?: number;
    /** It has no end of bytes to parse. */
    readonly isEndless?: boolean;
  }

  const addReader = (
    name: string,
    { level, partMs = 0, isEndless = true }: ReaderOptions,
  ): ScheduledReader => {
    const { signal } = controller;
    const reader: ScheduledReader = {
      processPart: () => {
        if (signal.aborted) return;
        schedule.run(() => {
          nowMs += partMs;
          parsed.push(name);
        });
        if (isEndless) schedule.wait(reader, level);
      },
    };
    schedule.wait(reader, level);
    return reader;
  };
  const addCrowd = (name: string, options: ReaderOptions, count = CROWD) => {
    for (let i = 0; i < count; i++) addReader(name, options);
  };
  const count = (name: string) =>
    parsed.filter((other) => other === name).length;

  it("has the next turn parse a request behind a crowd that sends ahead", async () => {
    addCrowd("ahead", { level: READ_LEVEL.ahead });
    await waitForTurn();
    addReader("new", { level: READ_LEVEL.request, isEndless: false });
    await waitForTurn();
    assert.equal(count("new"), 1);
    assert.ok(count("ahead") <= 2 * MAX_AHEAD_PARTS, `${count("ahead")}`);
  });

  it("has the next turn parse a request beside costly bodies", async () => {
    const level = READ_LEVEL.rest;
    addCrowd("body", { level, partMs: COSTLY_PART_MS });
    await waitForTurn();
    addReader("new", { level: READ_LEVEL.request, isEndless: false });
    await waitForTurn();
    assert.equal(count("new"), 1);
    assert.ok(count("body") <= 2 * MIN_REST_PARTS, `${count("body")}`);
  });

  it("parses the requests of a crowd of new connections in their order", async () => {
    const options = { level: READ_LEVEL.request, isEndless: false };
    addCrowd("new", options);
    addReader("last", options);
    const turns = Math.ceil((CROWD + 1) / MAX_PARTS_PER_TURN);
    for (let i = 0; i < turns; i++) {
      assert.equal(count("last"), 0);
      await waitForTurn();
    }
    assert.equal(count("last"), 1);
  });

  it("goes on with bodies beside a crowd that asks without end", async () => {
    addCrowd("new", { level: READ_LEVEL.request });
    addCrowd("body", { level: READ_LEVEL.rest });
    for (let i = 0; i < 10; i++) await waitForTurn();
    assert.ok(count("body") >= 10 * MIN_REST_PARTS, `${count("body")}`);
  });

  it("goes on with what is sent ahead beside all others", async () => {
    addCrowd("new", { level: READ_LEVEL.request });
    addCrowd("body", { level: READ_LEVEL.rest, partMs: COSTLY_PART_MS });
    addReader("ahead", { level: READ_LEVEL.ahead });
    for (let i = 0; i < 10; i++) await waitForTurn();
    assert.ok(count("ahead") >= 10, `${count("ahead")}`);
  });

  // Node accepts one connection in each turn: a crowd that comes again when it
  // is closed would have each new caller wait for what others send ahead.
  it("parses little that is sent ahead while connections come", async () => {
    addCrowd("ahead", { level: READ_LEVEL.ahead });
    for (let i = 0; i < CROWD; i++) {
      schedule.addConnection();
      await waitForTurn();
    }
    assert.ok(count("ahead") > 0);
    assert.ok(count("ahead") < CROWD / 2, `${count("ahead")}`);
  });

  it("ends each turn, so that other work goes on", async () => {
    for (const level of Object.values(READ_LEVEL)) addCrowd("any", { level });
    const most = MAX_PARTS_PER_TURN + MIN_REST_PARTS + MAX_AHEAD_PARTS;
    for (let i = 0; i < 10; i++) {
      const before = parsed.length;
      await waitForTurn();
      assert.ok(parsed.length - before <= most);
    }
  });

  it("lets a part be parsed at once only where none comes before it", async () => {
    assert.ok(schedule.mayParse(READ_LEVEL.request));
    assert.ok(schedule.mayParse(READ_LEVEL.rest));
    assert.ok(!schedule.mayParse(READ_LEVEL.ahead));
    const reader = addReader("new", { level: READ_LEVEL.request });
    assert.ok(!schedule.mayParse(READ_LEVEL.rest));
    schedule.remove(reader);
    assert.ok(schedule.mayParse(READ_LEVEL.rest));
    schedule.run(() => {
      nowMs += 100;
    });
    assert.ok(!schedule.mayParse(READ_LEVEL.request));
    await waitForTurn();
    assert.ok(schedule.mayParse(READ_LEVEL.request));
  });
});
