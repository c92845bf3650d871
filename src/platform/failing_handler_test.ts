import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it, mock } from "node:test";
import { Catalog } from "../proxy/fleet/catalog.js";
import { AttemptRunner } from "../proxy/request/attempt_runner.js";
import { TestSystem } from "./entry_fixtures_test.js";

// An error in the entry's own code must not leave the caller without an answer.
describe("a request whose handling throws", () => {
  let system: TestSystem;
  beforeEach(async () => {
    system = new TestSystem();
    await system.start([{ id: "i-1" }]);
  });
  afterEach(async () => {
    mock.restoreAll();
    await system.close();
  });

  const throwError = () => {
    throw new Error("a fault");
  };

  it("is refused as not run before it is passed on", async () => {
    mock.method(Catalog.prototype, "findRoute", throwError);
    const answer = await system.call("/once/a");
    assert.equal(answer.status, 503);
    assert.ok(Number(answer.headers["retry-after"]) > 0);
    assert.equal(system.listRuns("r1").length, 0);
  });

  it("is answered 502 once it may have run", async () => {
    const run = AttemptRunner.prototype.run;
    mock.method(
      AttemptRunner.prototype,
      "run",
      async function (this: AttemptRunner, spec: Parameters<typeof run>[0]) {
        await run.call(this, spec);
        throwError();
      },
    );
    const answer = await system.call("/once/a");
    assert.equal(answer.status, 502);
    assert.equal(answer.headers["retry-after"], undefined);
    assert.equal(system.listRuns("r1").length, 1);
  });

  it("is logged and counted", async () => {
    mock.method(Catalog.prototype, "findRoute", throwError);
    await system.call("/once/a");
    const lines = system.logs.filter(({ event }) => event === "request-failed");
    assert.deepEqual(
      lines.map(({ request, error }) => [request, error]),
      [["r1", "Error: a fault"]],
    );
  });
});
