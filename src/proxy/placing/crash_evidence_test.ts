import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { CrashEvidence } from "./crash_evidence.js";
import { listSharedPartIds } from "./suspect_ids.js";

const MINUTE_MS = 60_000;

function listCausingParts(evidence: CrashEvidence, nowMs = MINUTE_MS) {
  return evidence.listCauses(nowMs).map(({ parts }) => parts);
}

/** Records a crash by default of requests that were just sent. */
function recordCrash(
  evidence: CrashEvidence,
  crash: {
    readonly endpoint: string;
    readonly atMs: number;
    readonly prompts: readonly (readonly string[])[];
    readonly runMs?: number;
    readonly isOwn?: boolean;
  },
): void {
  const { endpoint, atMs, prompts, runMs = 10, isOwn = true } = crash;
  const crashPrompts = prompts.map((parts) => ({ parts, runMs }));
  evidence.recordCrash({ endpoint, atMs, isOwn, prompts: crashPrompts }, atMs);
}

describe("CrashEvidence", () => {
  function createEvidence(
    crashes: Record<string, readonly (readonly string[])[]>,
    evidence = new CrashEvidence(),
  ): CrashEvidence {
    let atMs = 1_000 + 300 * evidence.listCrashes(0).length;
    for (const [endpoint, prompts] of Object.entries(crashes)) {
      recordCrash(evidence, { endpoint, atMs, prompts });
      atMs += 300;
    }
    return evidence;
  }

  it("finds the part that three crashes have in common", () => {
    const evidence = createEvidence({
      a: [["f1", "bad"]],
      b: [["f2", "bad"]],
    });
    assert.deepEqual(listCausingParts(evidence), []);
    createEvidence({ c: [["f1", "bad"]] }, evidence);
    assert.deepEqual(listCausingParts(evidence), [["bad"]]);
  });

  // A first part that is wrongly blamed takes a whole route out of service.
  it("clears parts that endpoints answer, before or after the crashes", () => {
    const before = new CrashEvidence();
    before.recordAnswer(["first", "account"], 10);
    const crashes = {
      a: [["first", "account", "bad"]],
      b: [["first", "account", "bad"]],
      c: [["first", "account", "bad"]],
    };
    createEvidence(crashes, before);
    assert.deepEqual(listCausingParts(before), [["bad"]]);
    const after = createEvidence(crashes);
    after.recordAnswer(["first", "account"], 2_000);
    assert.deepEqual(listCausingParts(after), [["bad"]]);
  });

  it("blames parts together while nothing tells them apart", () => {
    const evidence = createEvidence({
      a: [["first", "bad"]],
      b: [["first", "bad"]],
      c: [["first", "bad"]],
    });
    assert.deepEqual(listCausingParts(evidence), [["first", "bad"]]);
  });

  it("clears prompts that only ran beside the one with the part", () => {
    const evidence = createEvidence({
      a: [["bad"], ["m1"], ["m2"]],
      b: [["bad"], ["m1"]],
      c: [["m1"], ["bad"]],
      d: [["bad"], ["m3"]],
    });
    assert.deepEqual(listCausingParts(evidence), [["bad"]]);
  });

  it("waits for a further crash where two parts explain the same ones", () => {
    const evidence = createEvidence({
      a: [["bad"], ["m1"]],
      b: [["bad"], ["m1"]],
      c: [["bad"], ["m1"]],
    });
    assert.deepEqual(listCausingParts(evidence), []);
    createEvidence({ d: [["bad"]] }, evidence);
    assert.deepEqual(listCausingParts(evidence), [["bad"]]);
  });

  it("finds two such parts at once", () => {
    const evidence = createEvidence({
      a: [["first", "bad1"]],
      b: [["first", "bad2"]],
      c: [["first", "bad1"]],
      d: [["first", "bad2"]],
      e: [["first", "bad1"]],
      f: [["first", "bad2"]],
    });
    evidence.recordAnswer(["first"], 5_000);
    assert.deepEqual(listCausingParts(evidence).sort(), [["bad1"], ["bad2"]]);
  });

  // A power loss or the end of a data centre breaks many requests at once.
  it("blames no part when many endpoints end with their requests", () => {
    const evidence = new CrashEvidence();
    for (let i = 0; i < 20; i++) evidence.recordAnswer(["f1", "f2"], i);
    const crashes = Object.fromEntries(
      Array.from({ length: 20 }, (_, i) => [
        `e${i}`,
        [0, 1, 2].map((j) => [`f${1 + (j % 2)}`, `m${(i * 3 + j) % 40}`]),
      ]),
    );
    createEvidence(crashes, evidence);
    assert.deepEqual(listCausingParts(evidence), []);
  });

  it("counts crashes at the same moment once", () => {
    const evidence = new CrashEvidence();
    const crash = (endpoint: string, atMs: number, runMs: number) =>
      recordCrash(evidence, { endpoint, atMs, runMs, prompts: [["m1"]] });
    for (const [i, name] of ["a", "b", "c", "d"].entries()) {
      crash(name, 1_000 + 10 * i, 100);
    }
    assert.deepEqual(listCausingParts(evidence), []);
    // Sent after the crashes before.
    crash("e", 1_090, 40);
    assert.deepEqual(listCausingParts(evidence), []);
    crash("f", 1_150, 30);
    assert.deepEqual(listCausingParts(evidence), [["m1"]]);
  });

  it("counts what other entries saw at the same moment once", () => {
    const evidence = new CrashEvidence();
    for (const [i, endpoint] of ["a", "b", "c", "d"].entries()) {
      const atMs = 1_000 + 60 * i;
      recordCrash(evidence, {
        endpoint,
        atMs,
        isOwn: false,
        prompts: [["m1"]],
      });
    }
    assert.deepEqual(listCausingParts(evidence), []);
  });

  it("does not count a moment of which it explains few crashes", () => {
    const evidence = new CrashEvidence();
    evidence.recordAnswer(["known"], 10);
    for (const atMs of [1_000, 2_000, 3_000, 4_000]) {
      for (const name of ["a", "b", "c"]) {
        const prompts = [name === "a" ? ["m1"] : ["known"]];
        recordCrash(evidence, { endpoint: name + atMs, atMs, prompts });
      }
    }
    assert.deepEqual(listCausingParts(evidence), []);
  });

  it("counts crashes since the last answer to a part answered before", () => {
    const evidence = new CrashEvidence();
    evidence.recordAnswer(["known"], 10);
    const ends = (names: string) =>
      createEvidence(
        Object.fromEntries([...names].map((name) => [name, [["known"]]])),
        evidence,
      );
    ends("abcde");
    assert.deepEqual(listCausingParts(evidence), []);
    ends("f");
    assert.deepEqual(listCausingParts(evidence), [["known"]]);
    evidence.recordAnswer(["known"], 9_000);
    assert.deepEqual(listCausingParts(evidence), []);
  });

  // A caller may put another one's first part beside parts of its own.
  it("keeps another caller's answered part out of several bad prompts", () => {
    const evidence = new CrashEvidence();
    evidence.recordAnswer(["victim"], 10);
    const crashes = Object.fromEntries(
      Array.from({ length: 9 }, (_, i) => [
        `e${i}`,
        [["victim", `bad${i % 3}`]],
      ]),
    );
    createEvidence(crashes, evidence);
    assert.deepEqual(listCausingParts(evidence).sort(), [
      ["bad0"],
      ["bad1"],
      ["bad2"],
    ]);
  });

  // A request that comes again takes its parts with it.
  it("blames a request, not the parts that sound requests share with it", () => {
    const evidence = createEvidence({
      a: [["first", "doc", "request:bad"]],
      b: [["first", "doc", "request:bad"], ["request:m1"]],
      c: [
        ["first", "doc", "request:bad"],
        ["first", "doc", "request:m2"],
      ],
    });
    assert.deepEqual(listCausingParts(evidence), [["request:bad"]]);
  });

  it("blames a part under which several requests crash endpoints", () => {
    const evidence = createEvidence({
      a: [["first", "bad", "request:r1"]],
      b: [["first", "bad", "request:r1"]],
      c: [["first", "bad", "request:r1"]],
    });
    evidence.recordAnswer(["first"], 5_000);
    assert.deepEqual(listCausingParts(evidence), [["request:r1"]]);
    evidence.removeSuspects({ parts: ["request:r1"] });
    assert.deepEqual(listCausingParts(evidence), []);
    createEvidence({ d: [["first", "bad", "request:r2"]] }, evidence);
    assert.deepEqual(listCausingParts(evidence), [["bad"]]);
  });

  // One that many callers send runs in each crash of a small service.
  it("blames a request that was answered before only after six crashes", () => {
    const evidence = new CrashEvidence();
    evidence.recordAnswer(["request:bad", "request:hot"], 10);
    const crashes = {
      a: [["request:bad"], ["request:hot"]],
      b: [["request:bad"]],
      c: [["request:bad"], ["request:hot"]],
      d: [["request:bad"], ["request:hot"]],
      e: [["request:bad"]],
    };
    createEvidence(crashes, evidence);
    assert.equal(evidence.isSuspect(["request:bad"], 3_000), true);
    assert.deepEqual(listCausingParts(evidence), []);
    recordCrash(evidence, {
      endpoint: "f",
      atMs: 3_500,
      prompts: [["request:bad"]],
    });
    assert.deepEqual(listCausingParts(evidence), [["request:bad"]]);
  });

  it("clears requests that are answered between the crashes", () => {
    const evidence = createEvidence({
      a: [["request:hot"]],
      b: [["request:hot"]],
    });
    evidence.recordAnswer(["request:hot"], 1_500);
    createEvidence({ c: [["request:hot"]] }, evidence);
    assert.equal(evidence.isSuspect(["request:hot"], 3_000), false);
    assert.deepEqual(listCausingParts(evidence), []);
  });

  // What ran beside a cause that is held would be next to take the blame.
  it("takes no more suspects of a crash whose cause is held", () => {
    const crashes = {
      a: [["request:bad"]],
      b: [["request:bad"]],
      c: [["request:bad"]],
    };
    const evidence = createEvidence(crashes);
    evidence.removeSuspects({ parts: ["request:bad"] });
    for (const [i, endpoint] of ["a", "b", "c"].entries()) {
      const atMs = 1_000 + 300 * i;
      const prompts = [["request:m1"]];
      recordCrash(evidence, { endpoint, atMs, prompts, isOwn: false });
    }
    assert.deepEqual(evidence.listCrashes(3_000), []);
  });

  // What accepts connections for an endpoint that has ended broke sound requests,
  // which filled the evidence in place of the one that had ended it.
  it("does not suspect requests sent after the endpoint had ended", () => {
    const evidence = new CrashEvidence();
    for (const [i, endpoint] of ["a", "b", "c"].entries()) {
      const atMs = 1_000 + 300 * i;
      recordCrash(evidence, { endpoint, atMs, prompts: [["f", "bad"]] });
      recordCrash(evidence, {
        endpoint,
        atMs: atMs + 100,
        prompts: [["f", "sound"]],
        runMs: 90,
      });
    }
    assert.deepEqual(listCausingParts(evidence), [["f", "bad"]]);
    evidence.recordAnswer(["f"], 2_000);
    assert.ok(!evidence.isSuspect(["f", "sound"], 2_000));
  });

  it("suspects a part from the second crash on", () => {
    const evidence = createEvidence({ a: [["first", "bad"]] });
    evidence.recordAnswer(["first"], 2_000);
    assert.equal(evidence.isSuspect(["first", "bad"], 3_000), false);
    createEvidence({ b: [["first", "bad"]] }, evidence);
    assert.equal(evidence.isSuspect(["first", "bad"], 3_000), true);
    assert.equal(evidence.isSuspect(["first", "m1"], 3_000), false);
  });

  it("forgets crashes after ten minutes", () => {
    const evidence = createEvidence({ a: [["bad"]], b: [["bad"]] });
    assert.equal(evidence.listCrashes(11 * MINUTE_MS).length, 0);
    assert.equal(evidence.isSuspect(["bad"], 11 * MINUTE_MS), false);
  });

  it("keeps few crashes and few parts of each when callers invent them", () => {
    const evidence = new CrashEvidence();
    for (let i = 0; i < 1_000; i++) {
      const parts = Array.from({ length: 50 }, (_, j) => ({
        id: `${i}-${j}-${"x".repeat(500)}`,
        tokens: 1,
      }));
      const prompts = [listSharedPartIds(parts)];
      recordCrash(evidence, { endpoint: `e${i}`, atMs: i, prompts });
    }
    const crashes = evidence.listCrashes(1_000);
    assert.ok(JSON.stringify(crashes).length < 20_000);
  });
});
