import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromptHold } from "../../schema/exchange/index.js";
import { SuspendClock } from "../suspend_clock.js";
import type { RequestFacts } from "../types.js";
import { type HeldParts, PromptHolds } from "./prompt_holds.js";

const SILENT = () => {};
const LOG = { debug: SILENT, info: SILENT, warn: SILENT, error: SILENT };
const HOLD_MS = 600_000;
const ROUND_MS = 400;
/** Time between two crashes that are not of one moment, ms. */
const INCIDENT_MS = 300;
const CONTACT_MS = 3_000;

class TestEntry {
  readonly holds: PromptHolds;
  readonly written: HeldParts[] = [];
  readonly removed: HeldParts[] = [];

  constructor(name: string, names: readonly string[], now: () => number) {
    this.holds = new PromptHolds({
      selfName: name,
      listSharers: () => names,
      onHold: (held) => this.written.push(held),
      onRelease: (held) => this.removed.push(held),
      clock: new SuspendClock({
        readMonotonicMs: now,
        readWallClockMs: now,
      }),
      log: LOG,
    });
  }
}

function createFacts(id: string, ...ids: string[]): RequestFacts {
  const parts = [...ids, `own-${id}`].map((part) => ({ id: part, tokens: 10 }));
  const counts = { promptTokens: 10, maxOutputTokens: 10 };
  return { id, host: "h", path: "/", parts, ...counts };
}

describe("PromptHolds", () => {
  let nowMs = 0;
  const now = () => nowMs;

  function createEntries(count: number): TestEntry[] {
    nowMs = 0;
    const names = Array.from({ length: count }, (_, i) => `e${i}`);
    return names.map((name) => new TestEntry(name, names, now));
  }

  function exchange(one: TestEntry, other: TestEntry): void {
    for (const [to, from] of [
      [one, other],
      [other, one],
    ] as const) {
      to.holds.mergeHolds(from.holds.listHoldReports());
      to.holds.mergeCrashes(from.holds.listCrashReports());
    }
  }

  function crash({ holds }: TestEntry, endpoint: string, facts: RequestFacts) {
    return holds.recordCrash(endpoint, facts, 10);
  }

  function holdPart(entry: TestEntry, part = "bad"): void {
    nowMs = 0;
    for (const endpoint of ["a", "b", "c"]) {
      crash(entry, `${part}-${endpoint}`, createFacts("r", part));
      nowMs += INCIDENT_MS;
    }
  }

  it("adds up crashes of which each entry saw one", () => {
    const entries = createEntries(3);
    const [first, second, third] = entries;
    assert.ok(first && second && third);
    for (const [i, entry] of entries.entries()) {
      crash(entry, `ep-${i}`, createFacts(`r${i}`, "bad"));
      nowMs += 2_000;
    }
    exchange(first, second);
    exchange(second, third);
    const facts = createFacts("next", "bad");
    assert.deepEqual(second.holds.find(facts)?.parts, ["bad"]);
    assert.deepEqual(third.holds.find(facts)?.parts, ["bad"]);
    assert.equal(first.holds.find(facts), undefined);
    assert.equal(second.written.length, 1);
  });

  const PART = {
    name: "requests with a part",
    createFacts: (id: string) => createFacts(id, "first", "bad"),
    /** Crashes from which on the part has to be known. */
    crashes: 5,
  };
  const REPETITION = {
    name: "repetitions of a request",
    createFacts: (id: string) => ({
      ...createFacts(id, "first"),
      fingerprint: "bad",
    }),
    crashes: 3,
  };
  const cases = [PART, REPETITION].flatMap((kind) =>
    [4, 68].map((count) => ({ ...kind, count })),
  );

  // The rule allows three requests in all, not three from each entry.
  for (const kind of cases) {
    const { count, name } = kind;
    it(`lets few ${name} through at ${count} entries`, () => {
      const entries = createEntries(count);
      let random = 7;
      const draw = (below: number) => {
        random = (random * 1_103_515_245 + 12_345) % 2 ** 31;
        return Math.floor((random / 2 ** 31) * below);
      };
      const crashes: number[] = [];
      for (let i = 0; nowMs < 30_000; nowMs += 100, i++) {
        const entry = entries[draw(count)];
        assert.ok(entry);
        const facts = kind.createFacts(`b${i}`);
        for (let attempt = 0; attempt < 3; attempt++) {
          const isRetry = attempt > 0;
          if (entry.holds.admit(facts) !== undefined) break;
          if (isRetry && entry.holds.isSuspect(facts)) break;
          crashes.push(nowMs);
          crash(entry, `ep-${crashes.length}`, facts);
        }
        for (const other of entries) {
          other.holds.recordAnswer(createFacts("s", "first", "m1"));
          if (nowMs % ROUND_MS !== 0) continue;
          for (let k = 0; k < 3; k++) {
            exchange(other, entries[draw(count)] ?? other);
          }
        }
      }
      const knownMs = crashes[kind.crashes - 1] ?? Number.POSITIVE_INFINITY;
      const late = crashes.filter((atMs) => atMs > knownMs + CONTACT_MS);
      assert.ok(late.length <= 3, `${late.length} of ${crashes.length}`);
      const sound = createFacts("s", "first", "m1");
      assert.ok(entries.every(({ holds }) => holds.find(sound) === undefined));
    });
  }

  // A hold may come before the reports of the crashes that led to it.
  it("blames no request that ran beside one that is held", () => {
    const [finder, other] = createEntries(2);
    assert.ok(finder && other);
    const bad = { ...createFacts("b"), fingerprint: "bad" };
    const sound = { ...createFacts("s"), fingerprint: "sound" };
    for (const endpoint of ["a", "b", "c", "d"]) {
      crash(finder, endpoint, bad);
      crash(finder, endpoint, sound);
      nowMs += INCIDENT_MS;
    }
    assert.ok(finder.holds.find(bad));
    other.holds.mergeHolds(finder.holds.listHoldReports());
    for (const endpoint of ["a", "b", "c", "d"]) {
      const prompts = [bad, sound].map(({ fingerprint }) => ({
        ids: [`request:${fingerprint}`],
        runMs: 10,
      }));
      other.holds.mergeCrashes([{ endpoint, ageMs: 10, prompts }]);
      nowMs += INCIDENT_MS;
    }
    assert.ok(other.holds.find(bad));
    assert.equal(finder.holds.find(sound), undefined);
    assert.equal(other.holds.find(sound), undefined);
  });

  it("narrows to the part that remains once the others are answered", () => {
    const [entry] = createEntries(1);
    assert.ok(entry);
    for (const endpoint of ["a", "b", "c"]) {
      crash(entry, endpoint, createFacts("r", "first", "bad"));
      nowMs += INCIDENT_MS;
    }
    const [held] = entry.holds.listHeld();
    assert.deepEqual(held?.parts, ["first", "bad"]);
    assert.equal(entry.holds.find(createFacts("s", "first")), undefined);
    entry.holds.recordAnswer(createFacts("s", "first"));
    assert.deepEqual(
      entry.holds.find(createFacts("x", "other", "bad"))?.parts,
      ["bad"],
    );
  });

  it("has one entry try the part once when the hold is over", () => {
    const entries = createEntries(4);
    for (const entry of entries) holdPart(entry);
    nowMs = HOLD_MS - 1;
    const isTried = (entry: TestEntry, id: string) =>
      entry.holds.admit(createFacts(id, "bad")) === undefined;
    assert.equal(entries.filter((entry) => isTried(entry, "t0")).length, 0);
    nowMs = HOLD_MS + 1_000;
    const trying = entries.filter((entry) => isTried(entry, "t1"));
    assert.equal(trying.length, 1);
    const [tester] = trying;
    assert.ok(tester);
    assert.equal(isTried(tester, "t2"), false);
    assert.equal(tester.holds.find(createFacts("t1", "bad")), undefined);
  });

  it("holds the part twice as long after a trial that fails", () => {
    const entries = createEntries(2);
    for (const entry of entries) holdPart(entry);
    nowMs = HOLD_MS + 1_000;
    const trial = createFacts("t", "bad");
    const tester = entries.find(({ holds }) => !holds.admit(trial));
    const other = entries.find((entry) => entry !== tester);
    assert.ok(tester && other);
    crash(tester, "d", trial);
    exchange(tester, other);
    nowMs += 1.9 * HOLD_MS;
    for (const { holds } of entries) {
      assert.ok(holds.admit(createFacts("u", "bad")));
    }
  });

  it("ends for all entries once a trial is answered", () => {
    const entries = createEntries(2);
    for (const entry of entries) holdPart(entry);
    nowMs = HOLD_MS + 1_000;
    const trial = createFacts("t", "bad");
    const tester = entries.find(({ holds }) => !holds.admit(trial));
    const other = entries.find((entry) => entry !== tester);
    assert.ok(tester && other);
    tester.holds.recordAnswer(trial);
    nowMs += ROUND_MS;
    exchange(tester, other);
    for (const { holds } of entries) {
      assert.equal(holds.find(createFacts("u", "bad")), undefined);
    }
  });

  it("ends for all entries when an operator releases the part", () => {
    const [one, other] = createEntries(2);
    assert.ok(one && other);
    holdPart(one);
    exchange(one, other);
    nowMs = 5_000;
    assert.equal(other.holds.releasePart("bad"), 1);
    exchange(one, other);
    assert.equal(one.holds.find(createFacts("u", "bad")), undefined);
    assert.deepEqual([one.removed.length, other.removed.length], [0, 1]);
    assert.equal(one.holds.releasePart("unknown"), 0);
  });

  // A version that breaks answers off would otherwise never be rolled back.
  it("lays a crash to the endpoint until the part is held", () => {
    const [entry] = createEntries(1);
    assert.ok(entry);
    entry.holds.recordAnswer(createFacts("s", "first"));
    const facts = createFacts("r", "first", "bad");
    assert.equal(crash(entry, "a", facts), false);
    nowMs += INCIDENT_MS;
    assert.equal(crash(entry, "b", facts), false);
    nowMs += INCIDENT_MS;
    assert.equal(crash(entry, "c", facts), true);
    assert.equal(crash(entry, "d", createFacts("s", "first")), false);
  });

  // A message whose numbers don't fit in their fields can't be encoded.
  it("can be reported however long it is held", () => {
    const [entry] = createEntries(1);
    assert.ok(entry);
    holdPart(entry);
    for (const days of [1, 50, 1_000]) {
      nowMs = days * 86_400_000;
      const [report] = entry.holds.listHoldReports();
      assert.ok(report);
      assert.ok(PromptHold.decode(PromptHold.encode(report).finish()).isHeld);
    }
  });

  it("reports few holds and crashes however many there are", () => {
    const [entry] = createEntries(1);
    assert.ok(entry);
    for (let i = 0; i < 300; i++) holdPart(entry, `bad-${i}`);
    assert.ok(entry.holds.listHeld().length <= 100);
    const { holds } = entry;
    const reports = [holds.listHoldReports(), holds.listCrashReports()];
    assert.ok(JSON.stringify(reports).length < 10_000);
  });
});
