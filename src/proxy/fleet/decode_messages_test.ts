import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { Exchange, News, NewsQuestion } from "../../schema/exchange/index.js";
import { MAX_PART_ID_LENGTH, MAX_PROMPT_PARTS } from "../placing/index.js";
import {
  decodeExchange,
  decodeNews,
  decodeNewsQuestion,
} from "./decode_messages.js";

type Message = Parameters<typeof Exchange.fromPartial>[0];

const MAX_UINT32 = 2 ** 32 - 1;
const PLACE = {
  name: "e1",
  incarnation: "a1",
  address: "127.0.0.1",
  port: 65_535,
  dataCentre: "",
  ageMs: MAX_UINT32,
};
const IDS = Array.from({ length: MAX_PROMPT_PARTS + 1 }, (_, i) =>
  String(i).padEnd(MAX_PART_ID_LENGTH, "x"),
);
const TALLY = {
  origin: "a1",
  route: "r",
  isTarget: true,
  answers: 3,
  failures: 3,
  timed: 2,
  logSlowness: -9.5,
};
const REPORT = {
  service: "svc",
  target: "v2",
  createdRevision: 2 ** 60,
  elapsedMs: MAX_UINT32,
  tallies: [TALLY],
  failing: [{ origin: "a1", endpoint: "i-1", failures: 3 }],
};
const SESSION = { service: "svc", session: "s".repeat(16_000), version: "v1" };
const LIMIT = { endpoint: "i-1", startedAtMs: 1.5e12, isLimited: true };
const SOUND = {
  sender: PLACE,
  peers: [PLACE],
  rollouts: [REPORT],
  sessions: [{ ...SESSION, ageMs: 0 }],
  limits: [{ ...LIMIT, perSecond: 0.25, ageMs: 0 }],
  configVersion: 7,
  crashes: [
    { endpoint: "i-1", ageMs: 0, prompts: [{ ids: IDS, runMs: MAX_UINT32 }] },
  ],
  holds: [{ parts: IDS, isHeld: true, crashes: 3, failedTrials: 1, ageMs: 0 }],
};

const tallyOf = (odd: Partial<typeof TALLY>): Message => ({
  rollouts: [{ ...REPORT, tallies: [{ ...TALLY, ...odd }] }],
});

const ODD_PARTS: readonly [kind: string, message: Message][] = [
  ["sender", { sender: { ...PLACE, port: 0 } }],
  ["sender", { sender: { ...PLACE, port: 65_536 } }],
  ["sender", { sender: { ...PLACE, address: "localhost" } }],
  ["peers", { peers: [{ ...PLACE, name: "" }] }],
  ["peers", { peers: Array.from({ length: 201 }, () => PLACE) }],
  ["configVersion", { configVersion: Number.NaN }],
  ["configVersion", { configVersion: Number.POSITIVE_INFINITY }],
  ["configVersion", { configVersion: -1 }],
  ["rollouts", { rollouts: [{ ...REPORT, createdRevision: Number.NaN }] }],
  ["tallies", tallyOf({ failures: 4 })],
  ["tallies", tallyOf({ timed: 4 })],
  ["tallies", tallyOf({ logSlowness: Number.NaN })],
  ["tallies", tallyOf({ logSlowness: 1e9 })],
  ["sessions", { sessions: [{ ...SESSION, version: "v".repeat(1_000) }] }],
  ["limits", { limits: [{ ...LIMIT, perSecond: Number.NaN }] }],
  ["limits", { limits: [{ ...LIMIT, perSecond: -1 }] }],
  ["limits", { limits: [{ ...LIMIT, perSecond: 1e300 }] }],
  [
    "prompts",
    { crashes: [{ endpoint: "i", prompts: [{ ids: ["x".repeat(33)] }] }] },
  ],
  ["holds", { holds: [{ parts: [] }] }],
  ["holds", { holds: [{ parts: [...IDS, "x"] }] }],
];

const encode = (message: Message) =>
  Exchange.encode(Exchange.fromPartial(message)).finish();

describe("a message of another entry", () => {
  // What is left out of a sound message is lost to all other entries.
  it("is taken whole if all it says can be", () => {
    const decoded = decodeExchange(encode(SOUND))._unsafeUnwrap();
    assert.deepEqual(decoded.oddKinds, []);
    assert.deepEqual(decoded.message, Exchange.fromPartial(SOUND));
  });

  for (const [index, [kind, odd]] of ODD_PARTS.entries()) {
    it(`is taken without its odd ${kind} (case ${index + 1})`, () => {
      const data = encode({ ...SOUND, ...odd });
      const { message, oddKinds } = decodeExchange(data)._unsafeUnwrap();
      assert.deepEqual(oddKinds, [kind]);
      assert.doesNotThrow(() => Exchange.encode(message).finish());
      const again = decodeExchange(encode(message))._unsafeUnwrap();
      assert.deepEqual(again.oddKinds, []);
    });
  }

  // An era that is too high has all later answers of the store refused.
  for (const odd of [Number.NaN, Number.POSITIVE_INFINITY, -1, 1e300]) {
    it(`is no question or news with the number ${odd}`, () => {
      const position = { kind: "k", revision: odd };
      for (const message of [{ era: odd }, { era: 1, positions: [position] }]) {
        const question = NewsQuestion.fromPartial(message);
        const data = NewsQuestion.encode(question).finish();
        assert.ok(decodeNewsQuestion(data).isErr());
      }
      for (const message of [{ era: odd }, { era: 1, views: [position] }]) {
        const data = News.encode(News.fromPartial(message)).finish();
        assert.ok(decodeNews(data).isErr());
      }
    });
  }
});
