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

describe("listReceiptHolders", () => {
  it("starts in another data centre, so that one loss never takes both copies", () => {
    const statuses = [
      createStatus("a", "dc1"),
      createStatus("b", "dc1"),
      createStatus("c", "dc2"),
      createStatus("d", "dc2"),
    ];
    const names = listReceiptHolders(statuses, OPTIONS);
    assert.deepEqual(names, ["d", "a", "b", "c"]);
  });

  it("omits leaving endpoints, and starts at the last step's without a remote one", () => {
    const statuses = [
      createStatus("b", "dc1"),
      createStatus("a", "dc1"),
      createStatus("c", "dc2", true),
    ];
    assert.deepEqual(listReceiptHolders(statuses, OPTIONS), ["a", "b"]);
  });
});
