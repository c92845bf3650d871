import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listSuspectIds, MAX_PART_ID_LENGTH } from "../placing/index.js";
import { hashRequest } from "./request_fingerprint.js";

const ORDER = {
  caller: "farm",
  method: "POST",
  host: "shop.example",
  path: "/orders/",
  parts: ["first", "second"],
  body: Buffer.from("order"),
};

describe("the fingerprint of a request", () => {
  it("is the same for each repetition of one request only", () => {
    const fingerprint = hashRequest(ORDER);
    assert.equal(hashRequest({ ...ORDER, host: "Shop.example" }), fingerprint);
    const others = [
      { ...ORDER, caller: "mill" },
      { ...ORDER, method: "PUT" },
      { ...ORDER, host: "other.example" },
      { ...ORDER, path: "/orders/2" },
      { ...ORDER, parts: ["first", "other"] },
      { ...ORDER, body: Buffer.from("order2") },
      // The border between two fields counts.
      { ...ORDER, path: "/orders", body: Buffer.from("/order") },
    ];
    const all = [fingerprint, ...others.map(hashRequest)];
    assert.equal(new Set(all).size, all.length);
  });

  // A longer id would be left out of the stored holds.
  it("gives an id that fits beside those of parts", () => {
    const fingerprint = hashRequest(ORDER);
    const [id = ""] = listSuspectIds({ parts: [], fingerprint });
    assert.ok(id.length <= MAX_PART_ID_LENGTH);
  });

  // A caller could have another one's request refused.
  it("can't be named by a part of another caller's prompt", () => {
    const fingerprint = hashRequest(ORDER);
    const [id = ""] = listSuspectIds({ parts: [], fingerprint });
    const parts = [id, "own"].map((part) => ({ id: part, tokens: 1 }));
    assert.ok(!listSuspectIds({ parts }).includes(id));
  });
});
