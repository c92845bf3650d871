import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { PromptHomes } from "./prompt_homes.js";

const IDS = Array.from({ length: 12 }, (_, index) => `i-${index}`);

describe("homes of shared prompt parts", () => {
  // Every endpoint would read a part again that each entry sends elsewhere.
  it("are the same for all entries", () => {
    const homes = new PromptHomes().list("m p", IDS);
    assert.equal(homes.length, 2);
    assert.deepEqual(new PromptHomes().list("m p", IDS), homes);
    assert.notDeepEqual(new PromptHomes().list("m q", IDS), homes);
  });

  // A remembered home that is gone would leave the part without one.
  it("follow the endpoints that come and go", () => {
    const homes = new PromptHomes();
    const [first = ""] = homes.list("m p", IDS);
    const left = IDS.filter((id) => id !== first);
    assert.ok(!homes.list("m p", left).includes(first));
    assert.deepEqual(homes.list("m p", IDS)[0], first);
  });
});
