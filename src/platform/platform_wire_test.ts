import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { platformWire } from "./platform_wire.js";

const HOST = ["Host", "shop.example"];

describe("head of a caller's request", () => {
  // Endpoints would answer to one of them, which looks like a foreign answer.
  it("has no id if it has two", () => {
    const parse = (...headers: string[]) =>
      platformWire.parseRequest("GET", "/", [...HOST, ...headers]);
    assert.equal(parse("Attempt-Id", "a", "attempt-id", "b"), undefined);
    assert.equal(parse("Attempt-Id", "a")?.id, "a");
  });

  // Tables are kept by these names: 5,000 sessions of 15 kB used up the memory.
  it("keeps no long name of a session or a part of its prompt", () => {
    const parse = (name: string) =>
      platformWire.parseRequest("GET", "/", [
        ...HOST,
        "Attempt-Id",
        "r1",
        "Session",
        name,
        "Prefix-Hash",
        `${name}:10,b:5`,
      ]);
    const long = parse("s".repeat(15_000));
    const longer = parse("s".repeat(15_001));
    assert.equal(long?.session?.length, 64);
    assert.equal(long?.parts[0]?.id.length, 64);
    assert.notEqual(long?.session, longer?.session);
    assert.notEqual(long?.parts[0]?.id, longer?.parts[0]?.id);
    assert.equal(parse("session-1")?.session, "session-1");
  });

  it("has the id that its endpoint will answer with, to the last byte", () => {
    const headers = ["Attempt-Id", "a\u00a0"];
    const request = platformWire.parseRequest("GET", "/", [
      ...HOST,
      ...headers,
    ]);
    const answer = platformWire.parseAnswer(headers);
    assert.equal(answer.requestId, request?.id);
  });
});
