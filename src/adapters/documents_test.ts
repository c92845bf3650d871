import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import {
  type DocumentProblem,
  formatDocumentFailure,
  parseSettings,
  parseTicket,
} from "./documents.js";

const ENTRY = `{
  // An entry.
  "role": "entry", "name": "entry-a", "host": "h1", "dataCentre": "dc1",
  "listen": { "address": "127.0.0.1", "controlPort": 7001, "callerPort": 7002, "operatorPort": 7003 },
  "objectStore": { "address": "127.0.0.1", "port": 7100 },
  "hostList": { "address": "127.0.0.1", "port": 7101 },
  "sessionKey": "0123456789abcdef", /* trailing comma: */
}`;

function listProblems(text: string): readonly DocumentProblem[] {
  const failure = parseSettings(text, "a.jsonc")._unsafeUnwrapErr();
  assert.equal(failure.file, "a.jsonc");
  return failure.problems;
}

describe("settings and ticket files", () => {
  it("accepts comments and trailing commas, which operators use", () => {
    assert.equal(parseSettings(ENTRY, "a.jsonc")._unsafeUnwrap().host, "h1");
  });

  // Each problem must tell the operator where in the file it is.
  const invalidDocuments: [string, string, string, DocumentProblem][] = [
    [
      "a value out of range",
      "7003",
      "70030",
      {
        line: 4,
        key: "listen.operatorPort",
        value: 70030,
        expected: "must be <= 65535",
      },
    ],
    [
      "a wrong type",
      '"h1"',
      "7",
      { line: 3, key: "host", value: 7, expected: "must be string" },
    ],
    [
      "a value that is not one of the choices",
      '"entry",',
      '"entri",',
      {
        line: 3,
        key: "role",
        value: "entri",
        expected: "one of entry, endpoint",
      },
    ],
    [
      "a key that does not exist",
      '"sessionKey": "0123456789abcdef"',
      '"sessionkey": "0123456789abcdef"',
      {
        line: 7,
        key: "sessionkey",
        value: "0123456789abcdef",
        expected: "no such key",
      },
    ],
    [
      "a missing key",
      '"host": "h1", ',
      "",
      {
        line: 1,
        key: "host",
        value: undefined,
        expected: "a value; the key is missing",
      },
    ],
    [
      "a key that the role needs",
      ', "callerPort": 7002',
      "",
      {
        line: 4,
        key: "listen.callerPort",
        value: undefined,
        expected: 'a value; role "entry" needs it',
      },
    ],
    [
      "a repeated key",
      '"controlPort": 7001',
      '"controlPort": 7001, "controlPort": 7009',
      {
        line: 4,
        key: "listen.controlPort",
        value: "controlPort",
        expected: "each key once",
      },
    ],
    [
      "a key that would become the prototype",
      '"objectStore"',
      '"__proto__"',
      {
        line: 5,
        key: "__proto__",
        value: "__proto__",
        expected: "no such key",
      },
    ],
    [
      "broken JSON",
      '"host":',
      '"host"',
      {
        line: 3,
        key: "",
        value: '"h1"',
        expected: "valid JSON (ColonExpected)",
      },
    ],
  ];
  for (const [name, from, to, problem] of invalidDocuments) {
    it(`reports line, key, value and expectation for ${name}`, () => {
      const problems = listProblems(ENTRY.replace(from, to));
      assert.deepEqual(problems[0], problem);
      const failure = {
        kind: "invalid-document",
        file: "a",
        problems,
      } as const;
      const [line = ""] = formatDocumentFailure(failure).split("\n");
      assert.ok(line.startsWith(`a:${problem.line}: ${problem.key}`));
      assert.ok(line.endsWith(`expected ${problem.expected}`));
    });
  }

  it("requires exactly one of engine and service for an endpoint", () => {
    const engine = `"engine": { "address": "::1", "port": 1, "slots": 2, "slotsWhileCold": 1 },`;
    const service = `"service": { "address": "::1", "port": 1, "slots": 2, "names": ["order"] },`;
    const createSettings = (keys: string) =>
      ENTRY.replace('"entry",', `"endpoint", ${keys}`);
    assert.ok(parseSettings(createSettings(engine), "a").isOk());
    for (const keys of ["", engine + service]) {
      const [problem] = listProblems(createSettings(keys));
      assert.equal(problem?.key, "engine or service");
    }
  });

  it("rejects nesting that would exhaust the stack, and limits the listed problems", () => {
    assert.equal(listProblems("[".repeat(500_000)).length, 1);
    assert.equal(listProblems("{,".repeat(5_000)).length, 20);
  });

  it("reports a repeated subject of a ticket, and a ticket without a subject", () => {
    const repeated = `{"number": 1, "rollouts": [
      {"version": "a", "share": 0}, {"version": "a", "share": 1}]}`;
    for (const [text, value] of [
      [repeated, "rollout/a"],
      ['{"number": 1}', "no subject"],
    ] as const) {
      const [problem] = parseTicket(text, "t")._unsafeUnwrapErr().problems;
      assert.equal(problem?.value, value);
    }
    const [problem] = parseTicket(
      repeated.replace("1}", "7}"),
      "t",
    )._unsafeUnwrapErr().problems;
    assert.deepEqual([problem?.line, problem?.key], [2, "rollouts.1.share"]);
  });

  it("gives a document or at least one problem for any text (fuzz)", () => {
    const mutated = fc
      .tuple(fc.nat(ENTRY.length), fc.nat(8), fc.string({ maxLength: 6 }))
      .map(
        ([start, deleted, text]) =>
          ENTRY.slice(0, start) + text + ENTRY.slice(start + deleted),
      );
    const text = fc.oneof(mutated, fc.json(), fc.string());
    const property = fc.property(text, (input) => {
      for (const parse of [parseSettings, parseTicket]) {
        const parsed = parse(input, "f");
        if (parsed.isOk()) continue;
        assert.ok(parsed.error.problems.length > 0);
        for (const problem of parsed.error.problems) {
          assert.ok(problem.line >= 1 && problem.expected !== "");
        }
        assert.doesNotMatch(
          formatDocumentFailure(parsed.error),
          /^(?!f:\d+: )/m,
        );
      }
    });
    fc.assert(property, { numRuns: 2_000, interruptAfterTimeLimit: 10_000 });
  });
});
