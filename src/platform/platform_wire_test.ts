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
