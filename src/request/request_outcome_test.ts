import assert from "node:assert/strict";
import { describe, it } from "node:test";
import type { EndpointStatus } from "../schema/index.js";
import { listReceiptHolders } from "./request_outcome.js";

function createStatus(
  endpoint: string,
  dataCentre: string,
  leaving = false,
): EndpointStatus {
  return {
    endpoint,
    dataCentre,
    leaving,
    epoch: "e1",
    kind: "model",
    versions: [],
    services: [],
    limit: 1,
    inFlight: 0,
    queued: 0,
    meanServiceMs: 0,
    revision: 1,
    cold: false,
    slots: 1,
  };
}

const OPTIONS = { dataCentre: "dc1", endpoint: "a", random: () => 0.99 };

describe("the holders of a receipt's copy", () => {
  it("begin in another data centre, so its loss never takes both copies", () => {
    const statuses = [
      createStatus("a", "dc1"),
      createStatus("b", "dc1"),
      createStatus("c", "dc2"),
      createStatus("d", "dc2"),
    ];
    const names = listReceiptHolders(statuses, OPTIONS);
    assert.deepEqual(names, ["d", "a", "b", "c"]);
  });

  it("leave out endpoints that leave, and begin beside the last step else", () => {
    const statuses = [
      createStatus("b", "dc1"),
      createStatus("a", "dc1"),
      createStatus("c", "dc2", true),
    ];
    assert.deepEqual(listReceiptHolders(statuses, OPTIONS), ["a", "b"]);
  });
});
