import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { TestSystem } from "./entry_fixtures_test.js";
import { createReplicaSpec } from "./standins/replica.js";

const CALLS = 20;

describe("an endpoint's write that the store carries out late", () => {
  let system: TestSystem;
  afterEach(async () => await system.close());

  const putRecord = (fields: object) => {
    const port = system.replicaPorts.get("i-2") ?? 0;
    const spec = createReplicaSpec(port, { born: 1_000, ...fields });
    system.store.put("servers", "i-2", spec);
  };

  async function countRunsAtLeavingEndpoint(): Promise<number> {
    for (let i = 0; i < CALLS; i++)
      await system.call("/once/a", { id: `${i}` });
    return system.replicas.get("i-2")?.runs.length ?? 0;
  }

  const waitForEvent = (event: string) =>
    system.waitFor(() => system.logs.some((line) => line.event === event));

  async function startWithTwoEndpoints(): Promise<void> {
    system = new TestSystem();
    await system.start([{ id: "i-1" }, { id: "i-2" }]);
    putRecord({ seq: 5 });
  }

  // Requests were sent to an endpoint that leaves until its next heartbeat.
  it("does not undo that it leaves", async () => {
    await startWithTwoEndpoints();
    putRecord({ seq: 7, state: "draining" });
    await waitForEvent("endpoint-leaving");
    putRecord({ seq: 6 });
    await waitForEvent("endpoint-record-outdated");
    assert.equal(await countRunsAtLeavingEndpoint(), 0);
    const ignored = system.logs.filter(
      ({ event }) => event === "endpoint-record-outdated",
    );
    assert.equal(ignored.length, 1);
  });

  it("does not undo its removal", async () => {
    await startWithTwoEndpoints();
    putRecord({ seq: 7 });
    system.store.delete("servers", "i-2");
    await waitForEvent("endpoint-removed");
    putRecord({ seq: 6 });
    await waitForEvent("endpoint-record-outdated");
    assert.equal(await countRunsAtLeavingEndpoint(), 0);
  });
});
